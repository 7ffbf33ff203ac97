"""Fake endpoints: one process that responds at the addresses of all endpoints of a fleet.

`python -m scale.backend LISTENERS` listens on that many addresses of 127.0.0.0/8, writes them to standard
output as one JSON list of `host:port`, and exits when its standard input ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import NamedTuple, cast

import click
import httptools
import uvloop

__all__ = ["ExtraResponses", "FakeEndpoints", "UnknownColumnError", "listener_address"]

FULL_UTILIZATION_IN_FLIGHT = 16
"""Requests in flight at which an endpoint reports a utilization of 1."""
COLUMN_VALUES: dict[str, Callable[[int], float]] = {
    "outstanding": lambda in_flight: in_flight,
    "backlog": lambda _: 0,
    "utilization": lambda in_flight: round(min(1.0, in_flight / FULL_UTILIZATION_IN_FLIGHT), 3),
}
"""Supported columns of a load report, each with its value as a function of the requests in flight."""


class UnknownColumnError(ValueError):
    """A load report has a column that the fake endpoints do not support."""


def listener_address(number: int) -> str:
    """Return the IPv4 address of listener `number` (0 to 65,023), in 127.64.0.0/16 without .0 and .255."""
    return f"127.64.{number // 254}.{number % 254 + 1}"


class ExtraResponses(NamedTuple):
    """Second responses to one request, on the same connection: a fault of an endpoint."""

    every: int
    """One listener in `every` sends them."""
    share: float
    """Share of its responses that it sends again."""
    delay_s: float
    """Time from the first response to the second, seconds."""


class FakeEndpoints:
    """Fake endpoints that respond as the gateway's protocol requires of endpoints.

    Service times are exponential with a mean of `mean_s` seconds; each depends only on the seed and the ID of
    the request.  `columns` are the columns of the load report in the settings; without any, responses carry
    no report.  Raises UnknownColumnError.
    """

    def __init__(
        self, seed: int, mean_s: float, columns: Sequence[str] = (), extra: ExtraResponses | None = None
    ) -> None:
        if unknown := [name for name in columns if name not in COLUMN_VALUES]:
            raise UnknownColumnError(f"unsupported columns of the load report: {', '.join(unknown)}")
        self._seed = seed
        self._mean_s = mean_s
        self._columns = columns
        self._extra = extra
        self._random = random.Random(f"extra {seed}")
        self.connections = 0
        """Number of connections that were opened."""
        self.extra_responses = 0
        """Number of responses that were sent again."""
        self._servers: list[asyncio.Server] = []

    async def start(self, listeners: int) -> list[str]:
        """Start `listeners` listeners; return their addresses, `host:port`."""
        loop = asyncio.get_running_loop()
        addresses = []
        for number in range(listeners):
            listener = socket.socket()
            listener.bind((listener_address(number), 0))
            sends_extra = self._extra is not None and number % self._extra.every == 0
            make_connection = partial(_Connection, self, _Endpoint(sends_extra))
            self._servers.append(await loop.create_server(make_connection, sock=listener, backlog=1024))
            addresses.append("{}:{}".format(*listener.getsockname()))
        return addresses

    def close(self) -> None:
        """Close all listeners."""
        for server in self._servers:
            server.close()

    def service_time_s(self, request_id: bytes) -> float:
        """Return the service time of the request with this ID, in seconds."""
        return random.Random(b"%d:%b" % (self._seed, request_id)).expovariate(1 / self._mean_s)

    def extra_delay_s(self) -> float | None:
        """Draw the time until this response is sent again, in seconds; None if it is not."""
        if self._extra is None or self._random.random() >= self._extra.share:
            return None
        return self._extra.delay_s

    def response(self, request_id: bytes, elapsed_ns: int, in_flight: int) -> bytes:
        """Return a complete 200 response; `Server-Timing` has the time in the endpoint, milliseconds."""
        body = b"served " + request_id
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Timing: app;dur=%.6f\r\n" % (
            len(body),
            elapsed_ns / 1e6,
        )
        if self._columns:
            report = {name: COLUMN_VALUES[name](in_flight) for name in self._columns}
            head += b"X-Server-Load: %b\r\n" % json.dumps(report).encode()
        return b"%b\r\n%b" % (head, body)


class _Endpoint:
    """State that the connections to one address share."""

    def __init__(self, sends_extra: bool) -> None:
        self.in_flight = 0
        self.sends_extra = sends_extra


class _Connection(asyncio.Protocol):
    """A connection from a gateway; it carries one request at a time."""

    def __init__(self, fake_endpoints: FakeEndpoints, endpoint: _Endpoint) -> None:
        self._fake_endpoints = fake_endpoints
        self._endpoint = endpoint
        self._parser = httptools.HttpRequestParser(self)
        self._request_id = b""
        self._service_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports have another base class
        self._fake_endpoints.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio.Protocol
        if self._service_timer is not None:
            self._service_timer.cancel()
            self._endpoint.in_flight -= 1
        del self._parser  # breaks the reference cycle between parser and connection

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(b"400 Bad Request")

    def on_message_begin(self) -> None:
        self._request_id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._request_id = value

    def on_message_complete(self) -> None:
        if not self._request_id:
            self._reject(b"404 Not Found")
            return
        self._endpoint.in_flight += 1
        self._service_timer = asyncio.get_running_loop().call_later(
            self._fake_endpoints.service_time_s(self._request_id),
            self._finish,
            self._request_id,
            time.monotonic_ns(),
        )

    def _finish(self, request_id: bytes, started_ns: int) -> None:
        self._service_timer = None
        self._endpoint.in_flight -= 1
        elapsed_ns = time.monotonic_ns() - started_ns
        response = self._fake_endpoints.response(request_id, elapsed_ns, self._endpoint.in_flight)
        self._transport.write(response)
        if self._endpoint.sends_extra and (delay_s := self._fake_endpoints.extra_delay_s()) is not None:
            asyncio.get_running_loop().call_later(delay_s, self._send_again, response)

    def _send_again(self, response: bytes) -> None:
        if not self._transport.is_closing():
            self._fake_endpoints.extra_responses += 1
            self._transport.write(response)

    def _reject(self, status: bytes) -> None:
        self._transport.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % status)
        self._transport.close()


async def _serve(fake_endpoints: FakeEndpoints, listeners: int) -> None:
    input_ended = asyncio.Event()

    def read_input() -> None:
        if not os.read(sys.stdin.fileno(), 4096):
            input_ended.set()

    asyncio.get_running_loop().add_reader(sys.stdin, read_input)
    print(json.dumps(await fake_endpoints.start(listeners)), flush=True)
    await input_ended.wait()
    asyncio.get_running_loop().remove_reader(sys.stdin)
    fake_endpoints.close()


@click.command()
@click.argument("listeners", type=click.IntRange(1, 65_024))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--mean-ms", type=click.FloatRange(0, min_open=True), default=10.0, show_default=True)
@click.option("--column", "columns", multiple=True, type=click.Choice(sorted(COLUMN_VALUES)))
def main(listeners: int, seed: int, mean_ms: float, columns: tuple[str, ...]) -> None:
    """Serve requests at the addresses of LISTENERS endpoints until standard input ends."""
    uvloop.run(_serve(FakeEndpoints(seed, mean_ms / 1e3, columns), listeners))


if __name__ == "__main__":
    main()
