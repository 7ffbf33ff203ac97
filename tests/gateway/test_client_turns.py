"""Turns of client connections: how much one client can keep the gateway from serving the others."""

from __future__ import annotations

import asyncio

import pytest

from balancer import SECOND
from gateway.client.connection import ClientConnection
from gateway.client.exchange import Exchange
from gateway.client.request_parser import ParsedRequest
from gateway.client.response_queue import MAX_PIPELINED, MAX_QUEUED
from gateway.client.server import ClientServer
from gateway.client.turn_queue import CONNECTIONS_PER_ITERATION, REQUESTS_PER_TURN
from gateway.limited_read import READ_SIZE_BYTES
from gateway.timers import now_ns
from tests.support.loopback import (
    CLOSING_RESPONSE,
    Client,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.stub_balancers import SingleAttemptBalancer

FLOOD_BYTES = 256 * 1024
SHORT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
FLOODS = {
    "unknown path": SHORT_REQUEST,
    "readiness": b"GET /health/ready HTTP/1.1\r\n\r\n",
    "no time left": request(X_Timeout_Ms="0"),
    "pipelined": request(),
}
"""Requests that are answered at once, by kind; the last one is accepted for the first of each pipeline."""


class IterationCounter:
    """Counts the requests that a server handles in each iteration of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, server: ClientServer) -> None:
        self.total = self.maximum = 0
        self._current = 0
        self._handle = server.handle_request
        monkeypatch.setattr(server, "handle_request", self._count)
        self._loop = asyncio.get_running_loop()
        self._loop.call_soon(self._start_iteration)

    def _count(self, exchange: Exchange, request: ParsedRequest, arrived_ns: int) -> None:
        self.total += 1
        self._current += 1
        self.maximum = max(self.maximum, self._current)
        self._handle(exchange, request, arrived_ns)

    def _start_iteration(self) -> None:
        self._current = 0
        self._loop.call_soon(self._start_iteration)


async def connect_floods(harness: GatewayHarness, count: int, flood: bytes) -> list[Client]:
    """Connect clients that send many requests in one write and never read."""
    clients = [await harness.connect() for _ in range(count)]
    for client in clients:
        client.send(flood * (FLOOD_BYTES // len(flood)))
    return clients


@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("flood", FLOODS.values(), ids=FLOODS)
async def test_one_iteration_handles_few_of_many_requests(
    flood: bytes, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """review/2: the gateway handled all requests of one read, and answered nobody meanwhile."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(reply=None), make_balancer=SingleAttemptBalancer)
        counter = IterationCounter(monkeypatch, harness.gateway.server)
        clients = await connect_floods(harness, count, flood)
        await wait_until(lambda: counter.total > 4 * count * REQUESTS_PER_TURN)
        # A turn of each connection that was read, and the turns of those that wait.
        assert counter.maximum <= (count + CONNECTIONS_PER_ITERATION) * REQUESTS_PER_TURN
        for client in clients:
            client.writer.close()


async def test_a_request_is_served_before_the_floods_of_other_clients_are_handled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """review/2: requests of other clients were answered after their time."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        counter = IterationCounter(monkeypatch, harness.gateway.server)
        clients = await connect_floods(harness, 20, SHORT_REQUEST)
        await wait_until(lambda: counter.total > 0)
        client = await harness.connect()
        assert (await client.exchange(request(request_id="good")))[0] == 200
        assert counter.total < len(clients) * FLOOD_BYTES // len(SHORT_REQUEST) // 10
        for flooding in clients:
            flooding.writer.close()


@pytest.mark.parametrize("behind_open_request", [False, True])
async def test_a_connection_holds_a_bounded_part_of_a_flood(
    behind_open_request: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """review/2: responses that wait for that of an earlier request could fill the memory."""
    handle_read = ClientConnection.data_received

    def check_read(connection: ClientConnection, data: bytes) -> None:
        assert len(data) <= READ_SIZE_BYTES
        assert not connection.has_unhandled  # so that it never holds more than one read
        handle_read(connection, data)

    monkeypatch.setattr(ClientConnection, "data_received", check_read)

    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        count = FLOOD_BYTES // len(SHORT_REQUEST)
        client.send(request(request_id="open") * behind_open_request + SHORT_REQUEST * count)
        await wait_until(lambda: harness.gateway.server.open_connections == 1)
        [connection] = harness.gateway.server.connections
        received = await endpoint.received.get() if behind_open_request else None
        for _ in range(100):
            await asyncio.sleep(0)
            assert len(connection.queue) <= MAX_QUEUED
        if received is not None:
            received.reply()
            assert (await client.read_response())[0] == 200
        for _ in range(2 * MAX_QUEUED):
            assert (await client.read_response())[0] == 404
        client.writer.close()


async def test_requests_that_wait_for_a_turn_are_answered_in_order() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        total = 3 * MAX_QUEUED
        client.send(b"".join(request(request_id=f"r{number}") for number in range(total)))
        first_requests = [await endpoint.received.get() for _ in range(MAX_PIPELINED)]
        for received in reversed(first_requests):
            request_id = received.headers["x-request-id"].encode()
            # The endpoint reads one request of each connection, so none may be used again.
            received.reply(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n" + request_id)
        for number in range(MAX_PIPELINED):
            assert (await client.read_response())[2] == b"r%d" % number
        for _ in range(MAX_PIPELINED, total):
            response = asyncio.ensure_future(client.read_response())
            while not response.done():
                if not endpoint.received.empty():
                    endpoint.received.get_nowait().reply(CLOSING_RESPONSE)
                await asyncio.sleep(0)
            assert response.result()[0] in (200, 503)


@pytest.mark.parametrize(
    ("last", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request(request_id="", Connection="Upgrade", Upgrade="h2c"), 400),
        (request(Connection="close", X_Timeout_Ms="0"), 400),
    ],
)
async def test_the_end_of_a_connection_comes_after_the_requests_that_wait(last: bytes, status: int) -> None:
    """An error, an upgrade or `Connection: close` behind many requests must not discard them."""
    count = 5 * REQUESTS_PER_TURN
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        client.send(request(X_Timeout_Ms="0") * count + last)
        assert [(await client.read_response())[0] for _ in range(count)] == [400] * count
        assert (await client.read_response())[0] == status
        assert await client.reader.read() == b""


async def test_requests_that_wait_for_a_turn_are_answered_in_a_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle connections are closed at once; one with received requests is not idle."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        server = harness.gateway.server
        client = await harness.connect()
        count = 5 * REQUESTS_PER_TURN
        counter = IterationCounter(monkeypatch, server)
        client.send(request(X_Timeout_Ms="0") * count)
        await wait_until(lambda: counter.total > 0)
        assert counter.total < count
        server.begin_shutdown()
        server.drain()
        assert [(await client.read_response())[0] for _ in range(count)] == [400] * count


@pytest.mark.parametrize("size", [READ_SIZE_BYTES - 1, READ_SIZE_BYTES, 4 * READ_SIZE_BYTES])
async def test_a_body_of_several_reads_is_forwarded(size: int) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
        client = await harness.connect()
        for number in range(3):
            assert (await client.exchange(request("once", request_id=f"r{number}", body=body)))[0] == 200
            assert (await endpoint.received.get()).body == body
        [connection] = harness.gateway.server.connections
        connection.sweep(now_ns() + SECOND)
        assert not connection.reading.is_paused
