"""Helpers for tests of race conditions: they control which of several events the gateway handles first."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from gateway.timers import Timer, Timers
from tests.support.loopback import FakeEndpoint

__all__ = ["BlockingClient", "CapturedTimers", "DelayedConnects", "UnreportedConnects"]

ProtocolFactory = Callable[[], asyncio.Protocol]


class BlockingClient:
    """A client on a blocking socket, without an event loop: each action is complete when its call returns."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def half_close(self) -> None:
        """Shut down the sending side of the connection."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class CapturedTimers:
    """Captures the balancer's timers, so that a test can make them expire before the next socket is read."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, timers: Timers) -> None:
        self._call_at = timers.call_at
        self._callbacks: dict[int, Callable[[int], None]] = {}
        monkeypatch.setattr(timers, "call_at", self.call_at)

    def call_at(self, due_ns: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        if isinstance(argument, int):  # a balancer's timer token; the gateway's own timers pass objects
            self._callbacks[argument] = callback
            return Timer(callback, argument)
        return self._call_at(due_ns, callback, argument)

    def expire(self, token: int) -> None:
        """Call the callback of the timer with this token."""
        self._callbacks[token](token)


class DelayedConnects:
    """Delays the event loop's connection attempts to an endpoint until a test sets `connect_allowed`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, endpoint: FakeEndpoint) -> None:
        loop = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        self._address = endpoint.address
        self.connect_called = asyncio.Event()
        self.connect_allowed = asyncio.Event()
        monkeypatch.setattr(loop, "create_connection", self.create_connection)

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str, port: int, **options: Any
    ) -> Any:
        if f"{host}:{port}" == self._address:
            self.connect_called.set()
            await self.connect_allowed.wait()
        return await self._create_connection(protocol_factory, host, port, **options)


class UnreportedConnects:
    """Connects to an endpoint at once; reports it to the gateway only if a test calls `report_connected`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, endpoint: FakeEndpoint) -> None:
        loop = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        self._address = endpoint.address
        self.connected: asyncio.Queue[tuple[asyncio.Protocol, asyncio.Transport]] = asyncio.Queue()
        monkeypatch.setattr(loop, "create_connection", self.create_connection)

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str, port: int, **options: Any
    ) -> Any:
        if f"{host}:{port}" != self._address:
            return await self._create_connection(protocol_factory, host, port, **options)
        transport, _ = await self._create_connection(asyncio.Protocol, host, port, **options)
        self.connected.put_nowait((protocol_factory(), transport))
        return None

    @staticmethod
    def report_connected(protocol: asyncio.Protocol, transport: asyncio.Transport) -> None:
        """Report to a protocol of the gateway that its connection is established."""
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
