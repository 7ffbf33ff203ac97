"""Requests that arrive before the gateway closes their connection get a response (issue 29, item 2)."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from balancer import SECOND
from gateway.client.connection import ClientConnection
from gateway.client.response_queue import MAX_QUEUED
from gateway.client.timeouts import IDLE_TIMEOUT_NS, LINGER_TIMEOUT_NS
from gateway.shutdown import ShutdownPhase
from gateway.telemetry import GatewayReason
from gateway.timers import now_ns
from tests.support.loopback import CLOSING_RESPONSE, Client, FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.stub_balancers import SingleAttemptBalancer

READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\n\r\n"


async def read_to_end(client: Client) -> list[int]:
    """Return the statuses of the responses up to the one with `Connection: close`, which must be the last."""
    statuses = []
    headers: dict[str, str] = {}
    while "connection" not in headers:
        status, headers, _ = await client.read_response()
        statuses.append(status)
    assert headers["connection"] == "close"
    assert await client.reader.read() == b""
    return statuses


def close_after_each_response(harness: GatewayHarness) -> None:
    """Let one connection be more than half of the allowed ones."""
    harness.gateway.server.max_connections = 1


async def connection_of(harness: GatewayHarness) -> ClientConnection:
    await wait_until(lambda: harness.gateway.server.open_connections == 1)
    [connection] = harness.gateway.server.connections
    return connection


async def test_all_requests_of_one_write_get_responses() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        close_after_each_response(harness)
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{number}") for number in range(12)))
        assert len(await read_to_end(client)) == 12


async def test_a_request_that_arrives_while_the_last_response_waits_for_an_earlier_one() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        close_after_each_response(harness)
        client = await harness.connect()
        client.send(request(request_id="slow") + READINESS_CHECK)
        slow = await endpoint.received.get()
        connection = await connection_of(harness)
        await wait_until(lambda: connection.queue.response_bytes > 0)
        client.send(READINESS_CHECK)
        await wait_until(lambda: len(connection.queue) == 3)
        slow.reply(CLOSING_RESPONSE)
        assert await read_to_end(client) == [200, 200, 200]


async def test_a_request_that_is_unread_when_the_last_response_is_ready() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        close_after_each_response(harness)
        client = await harness.connect()
        client.send(request())
        await endpoint.received.get()
        client.send(READINESS_CHECK)  # the event loop does not run before the response to the first request
        [open_request] = harness.gateway.dispatcher.open_requests()
        harness.gateway.dispatcher.fail_request(open_request, GatewayReason.BALANCER_TIMEOUT)
        assert await read_to_end(client) == [502, 200]


async def test_a_connection_above_the_limit_gets_a_rejection_for_each_request() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        close_after_each_response(harness)
        busy = await harness.connect()
        busy.send(request(request_id="busy"))
        await endpoint.received.get()
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{number}") for number in range(3)))
        assert await read_to_end(client) == [503, 503, 503]


@pytest.mark.parametrize("why", ["shutdown", "idle", "evicted"])
async def test_an_idle_connection_with_an_unread_request_is_not_closed(why: str) -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        server = harness.gateway.server
        client = await harness.connect()
        assert (await client.exchange(request()))[0] == 200
        connection = await connection_of(harness)
        client.send(READINESS_CHECK)  # the event loop does not run before the connection is to be closed
        if why == "shutdown":
            server.drain()
        elif why == "idle":
            connection.sweep(now_ns() + IDLE_TIMEOUT_NS + SECOND)
        else:
            server.max_connections = 0
            server.connections.admit(ClientConnection(server))
        assert (await client.read_response())[0] == 200
        client.writer.close()


async def test_a_request_that_arrives_after_the_end_of_the_stream_gets_a_reset() -> None:
    """As for a request that is never read, so that its client knows that it was not processed."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        close_after_each_response(harness)
        with socket.create_connection(harness.gateway_address) as client:
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, READINESS_CHECK)
            while await loop.sock_recv(client, 1000):
                pass
            connection = await connection_of(harness)
            await loop.sock_sendall(client, READINESS_CHECK)
            await wait_until(lambda: connection.reading.is_paused)
            connection.sweep(now_ns() + LINGER_TIMEOUT_NS + SECOND)
            await wait_until(lambda: harness.gateway.server.open_connections == 0)
            reset = client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            assert reset in (errno.ECONNRESET, errno.EPIPE)  # the latter after an end of stream


async def test_requests_behind_an_open_one_get_responses_at_the_end_of_a_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("gateway.shutdown.ACCEPT_TIME_NS", 0)
    monkeypatch.setattr("gateway.shutdown.MAX_SHUTDOWN_TIME_NS", 0)
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(
            request(request_id="open") + READINESS_CHECK * (2 * MAX_QUEUED) + request(request_id="last")
        )
        await endpoint.received.get()
        connection = await connection_of(harness)
        await wait_until(lambda: connection.queue.is_at_capacity)
        harness.gateway.stop()
        await wait_until(lambda: harness.gateway.shutdown.phase is ShutdownPhase.ENDED)
        assert connection.is_between_requests()
        statuses = [(await client.read_response())[0] for _ in range(2 * MAX_QUEUED + 2)]
        assert (statuses[0], set(statuses[1:]), statuses[-1]) == (502, {200, 503}, 503)
