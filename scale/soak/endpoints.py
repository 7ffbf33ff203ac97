"""Endpoints of the soak, which record each request that arrives."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any, cast

__all__ = ["RecordingEndpoints"]

SERVICE_TIME_S = (0.005, 0.05)
"""Range of the time from a request to its response, seconds."""
HEAD_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def _header(head: bytes, name: bytes) -> bytes:
    _, found, rest = head.partition(b"\r\n" + name + b": ")
    return rest.split(b"\r\n", 1)[0] if found else b""


class RecordingEndpoints:
    """Some endpoints; `arrivals` has the monotonic times, s, at which requests arrived, by X-Request-ID."""

    def __init__(self, random: Random, unanswered_share: float) -> None:
        self.arrivals: defaultdict[str, list[float]] = defaultdict(list)
        self._random = random
        self._unanswered_share = unanswered_share
        self._servers: list[asyncio.Server] = []

    async def start(self, count: int) -> list[dict[str, Any]]:
        """Listen on this number of addresses; return their entries of the endpoint list."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            server = await loop.create_server(lambda: _Connection(self._respond), "127.0.0.1", 0)
            self._servers.append(server)
        return [
            {
                "instanceId": f"s-{number}",
                "hostPort": "{}:{}".format(*server.sockets[0].getsockname()),
                "zone": "a",
                "machineType": "m",
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for number, server in enumerate(self._servers)
        ]

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def _respond(self, request_id: str, transport: asyncio.Transport) -> None:
        self.arrivals[request_id].append(time.monotonic())
        if self._random.random() >= self._unanswered_share:
            service_time_s = self._random.uniform(*SERVICE_TIME_S)
            asyncio.get_running_loop().call_later(service_time_s, _write_response, transport)


def _write_response(transport: asyncio.Transport) -> None:
    if not transport.is_closing():
        transport.write(RESPONSE)


class _Connection(asyncio.Protocol):
    """A connection to an endpoint, with one request at a time."""

    def __init__(self, respond: Callable[[str, asyncio.Transport], None]) -> None:
        self._respond = respond
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, found, body = self._received.partition(HEAD_END)
        length = int(_header(head, b"Content-Length") or b"0")
        if found and len(body) >= length:
            self._received = body[length:]
            self._respond(_header(head, b"X-Request-ID").decode(), self._transport)
