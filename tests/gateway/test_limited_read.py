"""Reads of at most a part of what peers send, in each iteration of the event loop."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest

from gateway.discovery import DiscoveryCall
from gateway.limited_read import READ_SIZE_BYTES, LimitedReadProtocol
from gateway.upstream.connection import EndpointConnection
from tests.support.loopback import wait_until

SENT_BYTES = 10 * READ_SIZE_BYTES


class RecordingProtocol(LimitedReadProtocol):
    """Records what it receives; it pauses reading if `is_paused`."""

    def __init__(self) -> None:
        super().__init__()
        self.received = b""
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # not a subclass in uvloop

    def data_received(self, data: bytes) -> None:
        self.received += data

    def may_read(self) -> bool:
        return not self.is_paused


async def connect() -> tuple[RecordingProtocol, socket.socket]:
    """Return a connected protocol whose peer has sent `SENT_BYTES` and the end of the stream."""
    listener = socket.create_server(("127.0.0.1", 0))
    protocol = RecordingProtocol()
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: protocol, *listener.getsockname())
    peer, _ = listener.accept()
    listener.close()
    peer.setblocking(True)
    return protocol, peer


async def test_each_iteration_reads_a_part_and_all_bytes_arrive() -> None:
    """A peer that sends fast was read alone, up to 8 MB in one iteration of the event loop."""
    protocol, peer = await connect()
    data = bytes(range(256)) * (SENT_BYTES // 256)
    peer.sendall(data)
    peer.close()
    while len(protocol.received) < SENT_BYTES:
        before = len(protocol.received)
        await asyncio.sleep(0)
        assert len(protocol.received) - before <= 2 * READ_SIZE_BYTES  # sleep may span two reads
    assert protocol.received == data


async def test_reading_that_was_paused_meanwhile_does_not_resume() -> None:
    protocol, peer = await connect()
    protocol.is_paused = True
    peer.sendall(b"x" * SENT_BYTES)
    await wait_until(lambda: bool(protocol.received))
    for _ in range(20):
        await asyncio.sleep(0)
    assert len(protocol.received) == READ_SIZE_BYTES
    peer.close()


@pytest.mark.parametrize("protocol", [EndpointConnection, DiscoveryCall])
def test_connections_that_the_gateway_opens_are_limited(protocol: type) -> None:
    assert issubclass(protocol, LimitedReadProtocol)
