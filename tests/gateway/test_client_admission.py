"""Limits on open client connections: timeouts, rejection above the limit, and the order of eviction."""

from __future__ import annotations

import pytest

from balancer import MS, SECOND
from gateway.client.admission import OVERFLOW_CONNECTIONS
from gateway.client.connection import ClientConnection
from gateway.client.timeouts import FIRST_REQUEST_TIMEOUT_NS, IDLE_TIMEOUT_NS, SLOW_CLIENT_TIMEOUT_NS
from gateway.timers import now_ns
from tests.support.event_control import BlockingClient
from tests.support.loopback import FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.stub_balancers import SingleAttemptBalancer


def shift_wait_start(harness: GatewayHarness, wait_ns: int) -> None:
    """Make all open connections appear to have been waiting for `wait_ns` longer."""
    for connection in harness.gateway.server.connections:
        connection.waiting_since_ns -= wait_ns


async def test_connections_of_slow_and_unused_clients_are_closed() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        slow, idle = await harness.connect(), await harness.connect()
        slow.send(b"GET /read/x HTTP/1.1\r\nX-Request-ID")
        await wait_until(
            lambda: harness.gateway.server.open_connections == 2
            and harness.gateway.server.busy_connections == 1
        )
        harness.gateway.server.sweep(now_ns() + SLOW_CLIENT_TIMEOUT_NS + SECOND)
        assert (await slow.read_response())[0] == 408
        harness.gateway.server.sweep(now_ns() + IDLE_TIMEOUT_NS + SECOND)
        assert await idle.reader.read() == b""


async def test_connections_above_the_limit_get_a_rejection() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        harness.gateway.server.max_connections = 2
        busy = [await harness.connect() for _ in range(2)]
        for number, client in enumerate(busy):
            client.send(request(request_id=f"b{number}"))
        forwarded = [await endpoint.received.get() for _ in busy]
        status, headers, _ = await (await harness.connect()).exchange(request(request_id="late"))
        assert (status, headers["connection"]) == (503, "close")
        for client, item in zip(busy, forwarded, strict=True):
            item.reply()
            assert (await client.read_response())[0] == 200
        assert (await (await harness.connect()).exchange(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200


async def test_idle_connections_of_clients_that_sent_one_request_are_closed() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        clients = [await harness.connect() for _ in range(20)]
        for number, client in enumerate(clients):
            assert (await client.exchange(request(request_id=f"r{number}")))[0] == 200
        harness.gateway.server.sweep(now_ns() + IDLE_TIMEOUT_NS + MS)
        for client in clients:
            assert await client.reader.read() == b""
        assert not harness.gateway.server.open_connections


@pytest.mark.parametrize("sent", [b"", b"GET /health/ready HTTP/1.1\r\n\r\n", request(request_id="")])
async def test_many_useless_connections_do_not_displace_a_useful_one(sent: bytes) -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        harness.gateway.server.max_connections = 5
        useful = await harness.connect()
        assert (await useful.exchange(request()))[0] == 200
        useless = []
        for _ in range(40):
            useless.append(await harness.connect())
            if sent:
                assert (await useless[-1].exchange(sent))[0] in (200, 400)
        assert (await useful.exchange(request(request_id="r2")))[0] == 200
        for client in useless[:-4]:
            assert await client.reader.read() == b""
        assert harness.gateway.server.open_connections <= 5


async def test_connections_that_are_closing_free_no_slot_for_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise the gateway ran out of descriptors: closing connections were evicted in place of others."""
    max_open = 2 + OVERFLOW_CONNECTIONS
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        server = harness.gateway.server
        server.max_connections = 2
        incomplete = [await harness.connect() for _ in range(2)]
        for number in range(max_open):
            if number >= len(incomplete):
                incomplete.append(await harness.connect())
            incomplete[number].send(request(request_id=f"h{number}")[:-2])
            await wait_until(lambda count=number + 1: server.busy_connections == count)  # type: ignore[misc]
        connected: list[ClientConnection] = []
        admit = server.connections.admit

        def record_and_admit(connection: ClientConnection) -> None:
            connected.append(connection)
            admit(connection)

        monkeypatch.setattr(server.connections, "admit", record_and_admit)
        clients = [BlockingClient(harness.gateway_address) for _ in range(100)]
        for client in clients:
            client.sock.sendall(request(request_id="more")[:-2])
        await wait_until(lambda: len(connected) == len(clients))
        await wait_until(lambda: not any(connection.is_closing for connection in server.connections))
        assert server.open_connections <= max_open
        for client in clients:
            client.close()


async def test_a_connection_whose_first_request_stalls_is_evicted() -> None:
    """Without eviction incomplete requests took all slots: 148 of 174 requests of other clients failed."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        harness.gateway.server.max_connections = 3
        useful = await harness.connect()
        assert (await useful.exchange(request()))[0] == 200
        incomplete = [await harness.connect() for _ in range(2)]
        for number, client in enumerate(incomplete):
            client.send(request(request_id=f"h{number}")[:-2])
            await wait_until(lambda count=number + 1: harness.gateway.server.busy_connections == count)  # type: ignore[misc]
        shift_wait_start(harness, FIRST_REQUEST_TIMEOUT_NS + MS)
        assert (await (await harness.connect()).exchange(request(request_id="late")))[0] == 200
        assert await incomplete[0].reader.read() == b""
        assert (await useful.exchange(request(request_id="r2")))[0] == 200  # idle, but not evicted
        assert (await incomplete[1].exchange(b"\r\n"))[0] == 200


async def test_a_connection_whose_first_request_has_just_begun_is_not_evicted() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        harness.gateway.server.max_connections = 2
        incomplete = [await harness.connect() for _ in range(2)]
        for number, client in enumerate(incomplete):
            client.send(request(request_id=f"h{number}")[:-2])
        await wait_until(lambda: harness.gateway.server.busy_connections == 2)
        shift_wait_start(harness, -SLOW_CLIENT_TIMEOUT_NS)  # so that a slow machine cannot use it up
        assert (await (await harness.connect()).exchange(request(request_id="late")))[0] == 503
        for client in incomplete:
            assert (await client.exchange(b"\r\n"))[0] == 200


async def test_responses_close_their_connections_when_more_than_half_the_slots_are_taken() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        harness.gateway.server.max_connections = 4
        first, second = await harness.connect(), await harness.connect()
        assert "connection" not in (await first.exchange(request()))[1]
        third = await harness.connect()
        assert (await third.exchange(request(request_id="r2")))[1]["connection"] == "close"
        assert await third.reader.read() == b""
        second.writer.close()
