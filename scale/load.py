"""An open-loop load generator: requests are sent when due, however many are still without a response.

`python -m scale.load HOST:PORT` writes a line `begun` when it starts, and the samples as one JSON list at the
end.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Iterable
from typing import NamedTuple, cast

import click
import httptools
import uvloop
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from balancer import SECOND

__all__ = ["FOREIGN_BODY", "LoadGenerator", "Sample", "arrival_times", "histogram", "request_bytes"]

FOREIGN_BODY = -1
"""Status of a sample whose 200 response has the body of a fake endpoint's response to another request."""
FAKE_ENDPOINT_BODY = b"served "
"""What the body of a fake endpoint's response begins with; the ID of the request follows."""
TIMEOUT_MARGIN_S = 0.5
"""Time in addition to the request's timeout for which the client waits for a response, seconds."""
HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
MAX_HISTOGRAM_US = 60_000_000
"""Upper limit of a histogram, microseconds; longer durations are counted as this value."""


class Sample(NamedTuple):
    """One request: when it was due, sent and done (monotonic ns), its status and the time in the endpoint."""

    request_id: str
    is_health_check: bool
    """Whether it is a health check of the gateway, which is not forwarded to an endpoint."""
    due_ns: int
    sent_ns: int
    done_ns: int
    status: int
    """Status code; 0 if no complete response was received, `FOREIGN_BODY` for one to another request."""
    endpoint_ns: int
    """Time spent in the endpoint, from `Server-Timing`; -1 if none was reported."""

    @property
    def added_latency_ns(self) -> int:
        """Time from the due time to the response, less the time in the endpoint.

        It counts from the due time so that a delay in the generator or behind earlier requests is included
        (otherwise: coordinated omission).
        """
        return self.done_ns - self.due_ns - max(self.endpoint_ns, 0)


class _Response(NamedTuple):
    status: int
    endpoint_ns: int
    done_ns: int
    body: bytes = b""

    def status_for(self, request_id: str) -> int:
        """Return the status, or `FOREIGN_BODY` if the response is that of a request with another ID."""
        is_foreign = self.body.startswith(FAKE_ENDPOINT_BODY) and not self.body.endswith(request_id.encode())
        return FOREIGN_BODY if is_foreign else self.status


def arrival_times(rate: float, seconds: float, seed: int) -> list[float]:
    """Return the due times of Poisson arrivals at `rate` requests per second, in seconds from the start."""
    generator = random.Random(f"arrivals {seed}")
    due, times = generator.expovariate(rate), []
    while due < seconds:
        times.append(due)
        due += generator.expovariate(rate)
    return times


def histogram(durations_ns: Iterable[int]) -> HdrHistogram:
    """Return a histogram in microseconds, rounded down, at least 1, with three significant digits."""
    counts = HdrHistogram(1, MAX_HISTOGRAM_US, 3)
    for duration_ns in durations_ns:
        counts.record_value(min(MAX_HISTOGRAM_US, max(1, duration_ns // 1000)))
    return counts


def request_bytes(request_id: str, class_name: str, tenant: str, timeout_ms: int) -> bytes:
    """Return a request of a class that is safe to repeat, as the gateway's protocol requires of clients."""
    return (
        f"GET /{class_name} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {class_name}\r\nX-Tenant-Id: {tenant}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
    ).encode()


class _ClientConnection(asyncio.Protocol):
    """A keep-alive connection of a client; it carries one request at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[_Response] | None = None
        self._endpoint_ns = -1
        self._body = b""
        self.is_open = False
        self.response_started = False
        """Whether any data of the response was received."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports have another base class
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio.Protocol
        self.is_open = False
        if self._response is not None and not self._response.done():
            self._response.set_exception(ConnectionResetError())

    def send(self, request: bytes) -> asyncio.Future[_Response]:
        """Send a request; return a future of the response.

        The future fails with ConnectionResetError if the connection closes before the response is complete.
        """
        self._endpoint_ns, self.response_started, self._body = -1, False, b""
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def data_received(self, data: bytes) -> None:
        self.response_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"server-timing":
            self._endpoint_ns = round(float(value.rpartition(b"dur=")[2]) * 1e6)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.is_open = False
        if self._response is not None and not self._response.done():
            self._response.set_result(
                _Response(self._parser.get_status_code(), self._endpoint_ns, time.monotonic_ns(), self._body)
            )

    def close(self) -> None:
        """Abort the connection."""
        self.is_open = False
        self._transport.abort()


class LoadGenerator:
    """The clients of one gateway; all requests have the same class, tenant and timeout."""

    def __init__(self, address: tuple[str, int], class_name: str, tenant: str, timeout_ms: int) -> None:
        self._address = address
        self._request_fields = (class_name, tenant, timeout_ms)
        self._timeout_s = timeout_ms / 1e3 + TIMEOUT_MARGIN_S
        self._idle: list[_ClientConnection] = []
        self.connections_opened = 0

    async def run(self, times: Iterable[float], health_check_s: float = 0.0) -> list[Sample]:
        """Send requests at these times (s from now, ascending); return a sample for each, by due time.

        With `health_check_s` above 0, health checks of the gateway are sent at that interval too, from now to
        the last request.
        """
        schedule = [(due, False) for due in times]
        if health_check_s and schedule:
            checks = int(schedule[-1][0] / health_check_s) + 1
            schedule += [(number * health_check_s, True) for number in range(checks)]
        start_ns, tasks = time.monotonic_ns(), []
        for number, (due, is_health_check) in enumerate(sorted(schedule)):
            due_ns = start_ns + int(due * SECOND)
            while (wait_ns := due_ns - time.monotonic_ns()) > 0:  # noqa: ASYNC110 - timers may fire early
                await asyncio.sleep(wait_ns / SECOND)
            tasks.append(
                asyncio.create_task(self._send_and_measure(f"{number:016x}", is_health_check, due_ns))
            )
        samples = await asyncio.gather(*tasks)
        for connection in self._idle:
            connection.close()
        return samples

    async def _send_and_measure(self, request_id: str, is_health_check: bool, due_ns: int) -> Sample:
        sent_ns = time.monotonic_ns()
        request = HEALTH_CHECK if is_health_check else request_bytes(request_id, *self._request_fields)
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self.send(request)
        except (OSError, TimeoutError):
            response = _Response(0, -1, time.monotonic_ns())
        return Sample(
            request_id,
            is_health_check,
            due_ns,
            sent_ns,
            response.done_ns,
            response.status_for(request_id),
            response.endpoint_ns,
        )

    async def send(self, request: bytes) -> _Response:
        """Send on an idle connection, else on a new one; resend once if the idle one has been closed."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                try:
                    return await self._send_on(connection, request)
                except ConnectionResetError:
                    if connection.response_started:
                        raise
                    break
        _, connection = await asyncio.get_running_loop().create_connection(_ClientConnection, *self._address)
        self.connections_opened += 1
        return await self._send_on(connection, request)

    async def _send_on(self, connection: _ClientConnection, request: bytes) -> _Response:
        try:
            response = await connection.send(request)
        except asyncio.CancelledError:
            connection.close()  # the request timed out or was cancelled
            raise
        if connection.is_open:
            self._idle.append(connection)
        return response


@click.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--rate", type=click.FloatRange(0, min_open=True), default=86.0, show_default=True)
@click.option("--seconds", type=click.FloatRange(0, min_open=True), default=12.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--class", "class_name", required=True, help="Request class that is safe to repeat.")
@click.option("--tenant", required=True)
@click.option("--timeout-ms", type=click.IntRange(1), default=1000, show_default=True)
@click.option(
    "--probe-ms",
    "health_check_ms",
    type=click.FloatRange(0),
    default=20.0,
    show_default=True,
    help="Interval of health checks of the gateway; 0 for none.",
)
def main(
    address: str,
    rate: float,
    seconds: float,
    seed: int,
    class_name: str,
    tenant: str,
    timeout_ms: int,
    health_check_ms: float,
) -> None:
    """Send requests with Poisson arrivals to the gateway at HOST:PORT and write the samples as JSON."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(
            f"{address!r} is not an address of the form HOST:PORT", param_hint="HOST:PORT"
        )
    generator = LoadGenerator((host, int(port)), class_name, tenant, timeout_ms)
    click.echo("begun")
    times = arrival_times(rate, seconds, seed)
    click.echo(json.dumps(uvloop.run(generator.run(times, health_check_ms / 1e3))))


if __name__ == "__main__":
    main()
