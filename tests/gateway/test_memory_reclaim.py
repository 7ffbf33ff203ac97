"""What a gateway does when its memory budget is exhausted: which peer gets which response."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter

import pytest

from balancer import MS, SECOND
from gateway.client.request_ids import RETENTION_NS
from gateway.client.timeouts import SLOW_CLIENT_TIMEOUT_NS
from gateway.framing import HEADER_OBJECT_BYTES
from gateway.memory_budget import Priority
from gateway.telemetry import CounterName, Telemetry
from gateway.timers import now_ns
from gateway.upstream.connection import EndpointConnection
from tests.support.event_control import BlockingClient
from tests.support.loopback import (
    CLOSING_RESPONSE,
    Client,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.stub_balancers import SingleAttemptBalancer
from tests.support.upstream import age_idle_connections

BODY_BYTES = 60_000
INCOMPLETE_REQUEST = request("once", request_id="half", body=b"x" * BODY_BYTES)[:-1]
LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
LARGE_RESPONSE += b"r" * BODY_BYTES


def limit_free_bytes(harness: GatewayHarness, free_bytes: int) -> None:
    """Leave the memory budget of a gateway this many bytes from now on."""
    budget = harness.gateway.memory_budget
    budget.limit_bytes = budget.used_bytes + free_bytes


class ReclaimCounter(Counter[Priority]):
    """Counts the charges of a gateway that were reclaimed, by kind."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        count = Telemetry.count

        def count_and_record(telemetry: Telemetry, name: str, detail: str = "") -> None:
            if name == CounterName.RECLAIMED:
                self[Priority[detail.upper()]] += 1
            count(telemetry, name, detail)

        monkeypatch.setattr(Telemetry, "count", count_and_record)


@pytest.fixture
def reclaimed(monkeypatch: pytest.MonkeyPatch) -> ReclaimCounter:
    return ReclaimCounter(monkeypatch)


async def send_incomplete(harness: GatewayHarness, client: Client) -> None:
    """Send all but the last byte of a request, and wait until it is stored."""
    budget = harness.gateway.memory_budget
    expected_bytes = budget.used_bytes + BODY_BYTES
    client.send(INCOMPLETE_REQUEST)
    await wait_until(lambda: budget.used_bytes >= expected_bytes)


async def fill_socket_buffers(harness: GatewayHarness, endpoint: FakeEndpoint, peer: socket.socket) -> None:
    """Request large responses that `peer` does not read, until one stays in the gateway."""
    budget = harness.gateway.memory_budget
    unwritten_from = budget.used_bytes + BODY_BYTES
    number = 0
    while budget.used_bytes < unwritten_from:
        peer.sendall(request(request_id=f"p{number}"))
        number += 1
        (await endpoint.received.get()).reply(LARGE_RESPONSE)
        await wait_until(lambda: not harness.gateway.dispatcher.open_requests())
        await wait_until(lambda: not harness.gateway.upstream.open_connections)


async def test_incomplete_requests_are_answered_oldest_first_and_useful_clients_last(
    reclaimed: ReclaimCounter,
) -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        useful = await harness.connect()
        assert (await useful.exchange(request()))[0] == 200
        await send_incomplete(harness, useful)
        new_clients = [await harness.connect() for _ in range(3)]
        for client in new_clients[:2]:
            await send_incomplete(harness, client)
        limit_free_bytes(harness, BODY_BYTES // 2)
        new_clients[2].send(INCOMPLETE_REQUEST)
        assert (await new_clients[0].read_response())[::2] == (
            503,
            b"no memory for the rest of the request\n",
        )
        assert await new_clients[0].reader.read() == b""
        assert reclaimed[Priority.INCOMPLETE_REQUEST] == 1
        for client in (useful, *new_clients[1:]):  # the others are completed
            assert (await client.exchange(b"x"))[0] in (200, 400)  # 400: the id is that of an open request


async def test_a_complete_request_displaces_an_incomplete_one_but_no_response() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        incomplete, complete, late = [await harness.connect() for _ in range(3)]
        complete.send(request(request_id="warm-up"))
        (await endpoint.received.get()).reply(CLOSING_RESPONSE)
        assert (await complete.read_response())[0] == 200
        await send_incomplete(harness, incomplete)
        limit_free_bytes(harness, 0)
        complete.send(request("once", request_id="c1", body=b"x" * 1000))
        received = await endpoint.received.get()
        assert (await incomplete.read_response())[0] == 503
        limit_free_bytes(harness, 0)
        assert (await late.exchange(request("once", request_id="c2")))[0] == 503
        received.reply(CLOSING_RESPONSE)
        assert (await complete.read_response())[0] == 200


async def test_a_request_that_large_responses_wait_for_is_failed(
    reclaimed: ReclaimCounter,
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{number}") for number in range(4)))
        received = {
            item.headers["x-request-id"]: item for item in [await endpoint.received.get() for _ in range(4)]
        }
        limit_free_bytes(harness, 2 * BODY_BYTES + BODY_BYTES // 2)
        for number in (1, 2, 3):
            received[f"r{number}"].reply(LARGE_RESPONSE)
            await received[f"r{number}"].wait_closed()
        responses = [await client.read_response() for _ in range(4)]
        assert [response[0] for response in responses] == [502, 200, 200, 200]
        assert all(len(response[2]) == BODY_BYTES for response in responses[1:])
        assert reclaimed[Priority.PIPELINED_REQUESTS] >= 1


async def test_the_client_that_does_not_read_its_response_is_closed(
    reclaimed: ReclaimCounter,
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        server, budget = harness.gateway.server, harness.gateway.memory_budget
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.connect(harness.gateway_address)
        await fill_socket_buffers(harness, endpoint, peer)
        limit_free_bytes(harness, 0)
        reading = await harness.connect()
        reading.send(request(request_id="reading"))
        await wait_until(lambda: server.open_connections == 1)
        budget.limit_bytes += BODY_BYTES
        (await endpoint.received.get()).reply(CLOSING_RESPONSE)
        assert (await reading.read_response())[0] == 200
        assert reclaimed[Priority.UNREAD_RESPONSE] == 1
        peer.close()


@pytest.mark.parametrize("progress", [False, True])
async def test_the_timeout_of_a_slow_reader_runs_from_its_last_progress(
    progress: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        server = harness.gateway.server
        peer = BlockingClient(harness.gateway_address)
        await wait_until(lambda: server.open_connections == 1)
        [connection] = server.connections
        await fill_socket_buffers(harness, endpoint, peer.sock)
        now = connection.waiting_since_ns
        connection.sweep(now + SECOND)
        if progress:
            left_bytes = connection.unwritten_buffer_bytes() - 1
            monkeypatch.setattr(connection, "unwritten_buffer_bytes", lambda: left_bytes)
        connection.sweep(now + SLOW_CLIENT_TIMEOUT_NS - MS)
        connection.sweep(now + SLOW_CLIENT_TIMEOUT_NS + SECOND)
        assert connection.is_closing is not progress
        peer.close()


async def test_all_charges_end_with_their_connections() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(reply=CLOSING_RESPONSE))
        budget = harness.gateway.memory_budget
        used_bytes = budget.used_bytes
        clients = [await harness.connect() for _ in range(4)]
        assert (await clients[0].exchange(request()))[0] == 200
        await send_incomplete(harness, clients[1])
        clients[2].send(request()[:-2] + b"n: v\r\n" * 50)
        await wait_until(lambda: budget.used_bytes > used_bytes + BODY_BYTES + 50 * HEADER_OBJECT_BYTES)
        assert (await clients[3].exchange(b"nonsense\r\n\r\n"))[0] == 400
        for client in clients:
            client.writer.close()
        await wait_until(lambda: not harness.gateway.server.open_connections)
        await wait_until(lambda: not harness.gateway.upstream.open_connections)
        assert budget.used_bytes == used_bytes


async def test_the_oldest_incomplete_response_of_an_endpoint_is_given_up(
    reclaimed: ReclaimCounter,
) -> None:
    """The attempt fails; the client gets a failure at once, and other clients their responses."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        budget = harness.gateway.memory_budget
        clients = [await harness.connect() for _ in range(2)]
        responses = []
        for number, client in enumerate(clients):
            client.send(request(request_id=f"r{number}"))
            responses.append(await endpoint.received.get())
        limit_free_bytes(harness, BODY_BYTES + BODY_BYTES // 2)
        stored_from = budget.used_bytes + BODY_BYTES
        responses[0].reply(LARGE_RESPONSE[:-1])
        await wait_until(lambda: budget.used_bytes >= stored_from)
        responses[1].reply(LARGE_RESPONSE)
        assert [(await client.read_response())[0] for client in clients] == [502, 200]
        await responses[0].wait_closed()
        assert not reclaimed  # counted as the outcome of the attempt


async def test_idle_connections_and_given_up_attempts_are_charged_only_as_connections() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=LARGE_RESPONSE.replace(b"Connection: close\r\n", b""))
        await harness.start(endpoint)
        budget, upstream = harness.gateway.memory_budget, harness.gateway.upstream
        start_bytes = budget.used_bytes
        client = await harness.connect()
        assert (await client.exchange(request()))[0] == 200
        await endpoint.received.get()
        await wait_until(lambda: not harness.gateway.dispatcher.open_requests())
        [idle] = upstream.endpoints["h0"].idle
        assert idle.stored_bytes == 0
        endpoint.reply = None
        age_idle_connections(upstream)
        client.send(request("once", request_id="r2"))
        received = await endpoint.received.get()
        used_bytes = budget.used_bytes
        received.reply(LARGE_RESPONSE[:-1])
        await wait_until(lambda: budget.used_bytes > used_bytes + BODY_BYTES)
        client.writer.close()
        await wait_until(lambda: not upstream.open_connections)
        harness.gateway.server.sweep(now_ns() + RETENTION_NS + SECOND)  # the id of the request is retained
        await wait_until(lambda: budget.used_bytes == start_bytes)


def _limit_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the system take only a small part of what the gateway sends to an endpoint that does not read."""
    connection_made = EndpointConnection.connection_made

    def limit_and_send(connection: EndpointConnection, transport: asyncio.BaseTransport) -> None:
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as duplicate:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made(connection, transport)

    monkeypatch.setattr(EndpointConnection, "connection_made", limit_and_send)


async def test_a_request_that_its_endpoint_does_not_read_is_charged(monkeypatch: pytest.MonkeyPatch) -> None:
    _limit_send_buffer(monkeypatch)
    async with GatewayHarness() as harness:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        endpoint = FakeEndpoint()
        endpoint.address = f"127.0.0.1:{listener.getsockname()[1]}"
        await harness.start(entries=[endpoint.make_entry()], make_balancer=SingleAttemptBalancer)
        budget = harness.gateway.memory_budget
        start_bytes = budget.used_bytes
        clients = [await harness.connect() for _ in range(8)]
        payload_bytes = 0
        for number, client in enumerate(clients):
            client.send(request("once", request_id=f"r{number}", body=b"x" * BODY_BYTES))
            payload_bytes += BODY_BYTES
        await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == len(clients))
        await wait_until(lambda: budget.used_bytes > 2 * payload_bytes)
        for client in clients:
            client.writer.close()
        await wait_until(lambda: budget.used_bytes == start_bytes)
        listener.close()
