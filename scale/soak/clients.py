"""Clients of the soak: they use their connections until these are closed, also while a gateway shuts down."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .scenario import CLASS_NAMES

__all__ = ["CLOSED", "NO_RESPONSE", "Clients", "Gateway", "Result"]

NO_RESPONSE = 0
"""Status of a request whose client has waited in vain, or has left."""
CLOSED = -1
"""Status of a request whose connection was closed without a response."""
ANSWER_GRACE_S = 1.5
"""Time after its timeout for which a client waits for a response, to tell a late one from none, seconds."""
LEAVING_SHARE = 0.05
"""Share of the requests whose client closes its connection before it has a response."""
MAX_PAUSE_S = 0.06
"""Longest pause of a client between two requests, seconds."""


@dataclass
class Gateway:
    """What a client sees of a gateway."""

    name: str
    address: tuple[str, int]
    takes_connections: bool = True
    """Whether the front still sends new connections to it."""
    incarnation: int = 0
    """Incremented by each restart."""


@dataclass
class Result:
    """What became of one request on one connection."""

    request_id: str
    class_name: str
    gateway: str
    incarnation: int
    is_new_connection: bool
    timeout_s: float
    sent_at: float
    status: int = NO_RESPONSE
    """Status of the response; `NO_RESPONSE` or `CLOSED` if there was none."""
    closes_connection: bool = False
    """Whether the response, or the lack of one, ends the use of the connection."""
    ended_at: float = 0.0
    left_at: float = 0.0
    """When the client closed its connection before the response; 0 if it did not."""


class _Connection:
    def __init__(self, gateway: Gateway, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.gateway, self.incarnation = gateway, gateway.incarnation
        self.reader, self.writer = reader, writer
        self.is_new = True


class Clients:
    """A number of clients, each with one connection at a time."""

    def __init__(
        self, random: Random, longest_timeout_s: float, choose: Callable[[], Gateway | None]
    ) -> None:
        """`choose` returns the gateway of a new connection; None if none takes connections."""
        self.results: list[Result] = []
        self.max_lag_s = 0.0
        """Longest delay of this process itself, seconds."""
        self._random = random
        self._longest_timeout_s = longest_timeout_s
        self._choose = choose
        self._is_ending = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, count: int) -> None:
        """Start the clients."""
        self._tasks = [asyncio.create_task(self._run(number)) for number in range(count)]
        self._tasks.append(asyncio.create_task(self._measure_lag()))

    async def end(self) -> None:
        """Let the clients complete their requests."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    async def _measure_lag(self) -> None:
        while not self._is_ending:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due)

    async def _run(self, client: int) -> None:
        connection: _Connection | None = None
        number = 0
        while not self._is_ending:
            number += 1
            class_name = self._random.choice(CLASS_NAMES)
            timeout_s = round(self._longest_timeout_s * self._random.uniform(0.4, 1.0), 3)
            request_id = f"c{client}-{number}"
            is_leaving = self._random.random() < LEAVING_SHARE
            for _ in range(2):  # a request that crosses the close of its connection is sent once more
                connection = connection or await self._connect()
                if connection is None:
                    break
                was_new = connection.is_new
                result = await self._exchange(connection, request_id, class_name, timeout_s, is_leaving)
                if result.closes_connection:
                    connection.writer.close()
                    connection = None
                if result.status != CLOSED or was_new:
                    break
            await asyncio.sleep(self._random.uniform(0, MAX_PAUSE_S))
        if connection is not None:
            connection.writer.close()

    async def _connect(self) -> _Connection | None:
        gateway = self._choose()
        if gateway is None:
            return None
        try:
            return _Connection(gateway, *await asyncio.open_connection(*gateway.address))
        except OSError:
            return None

    async def _exchange(
        self, connection: _Connection, request_id: str, class_name: str, timeout_s: float, is_leaving: bool
    ) -> Result:
        gateway = connection.gateway
        result = Result(
            request_id,
            class_name,
            gateway.name,
            connection.incarnation,
            connection.is_new,
            timeout_s,
            time.monotonic(),
        )
        self.results.append(result)
        connection.is_new = False
        try:
            connection.writer.write(_request(request_id, class_name, timeout_s))
            if is_leaving:
                await asyncio.sleep(self._random.uniform(0, 0.02))
                result.left_at = time.monotonic()
                result.closes_connection = True
            else:
                async with asyncio.timeout(timeout_s + ANSWER_GRACE_S):
                    result.status, result.closes_connection = await _read_response(connection.reader)
        except TimeoutError:
            result.closes_connection = True
        except (OSError, asyncio.IncompleteReadError):
            result.status = CLOSED
            result.closes_connection = True
        result.ended_at = time.monotonic()
        return result


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a response, and whether the gateway closes the connection after it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(status_line.split()[1]), headers.get("connection") == "close"


def _request(request_id: str, class_name: str, timeout_s: float) -> bytes:
    method = "GET" if class_name == "read" else "POST"
    lines = [
        f"{method} /{class_name}/item HTTP/1.1",
        "Host: app.svc",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {class_name}",
        "X-Tenant-Id: tenant",
        f"X-Timeout-Ms: {round(timeout_s * 1000)}",
    ]
    if class_name == "keyed":
        lines.append(f"Idempotency-Key: key-{request_id}")
    if class_name != "read":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
