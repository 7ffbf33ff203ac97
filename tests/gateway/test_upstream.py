"""The pool of connections to endpoints, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from balancer import SECOND, EndpointState, Outcome
from gateway.timers import now_ns
from tests.support.loopback import OK_RESPONSE, FakeEndpoint, GatewayHarness, request
from tests.support.upstream import (
    MAX_CONNECTIONS,
    UpstreamHarness,
    age_idle_connections,
    format_address,
    open_listener,
)


async def test_connection_is_reused() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        for number in range(3):
            assert (await client.exchange(request(request_id=f"r{number}")))[::2] == (200, b"done")
            age_idle_connections(harness.gateway.upstream)
        assert endpoint.connections == 1


async def test_cancelled_connects_free_their_slots() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint().start()
    harness.update_endpoint(endpoint.address)
    for _ in range(2 * MAX_CONNECTIONS):
        attempt, result = harness.start_attempt()
        harness.upstream.cancel_attempt(attempt)
        assert (await result)[0] is Outcome.CANCELLED
    assert (await harness.start_attempt()[1])[0] is Outcome.OK


@pytest.mark.parametrize("change", ["restart", "move", "gone"])
async def test_connections_are_not_reused_after_the_endpoint_changed(change: str) -> None:
    harness, endpoint, second = UpstreamHarness(), await FakeEndpoint().start(), await FakeEndpoint().start()
    harness.update_endpoint(endpoint.address)
    assert (await harness.start_attempt()[1])[0] is Outcome.OK
    age_idle_connections(harness.upstream)  # old enough to be reused
    received = await endpoint.received.get()
    if change == "gone":
        harness.update_endpoint(endpoint.address, EndpointState.GONE)
    harness.update_endpoint(
        second.address if change == "move" else endpoint.address, started_ns=5 if change == "restart" else 0
    )
    await received.wait_closed()
    assert (await harness.start_attempt()[1])[0] is Outcome.OK
    assert endpoint.connections + second.connections == 2


async def test_newest_connection_is_reused_and_old_idle_ones_are_closed() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    results = [harness.start_attempt()[1] for _ in range(2)]
    received = [await endpoint.received.get() for _ in range(2)]
    for item, result in zip(received, results, strict=True):
        item.reply()
        assert (await result)[0] is Outcome.OK
    age_idle_connections(harness.upstream)
    harness.upstream.sweep(now_ns() + 8 * SECOND)
    third_attempt, result = harness.start_attempt()
    assert (await received[1].reader.readline()).startswith(b"GET ")  # the one that became idle last
    harness.upstream.cancel_attempt(third_attempt)
    harness.upstream.sweep(now_ns() + 10 * SECOND)  # the endpoint would close after 15 s
    await received[0].wait_closed()


@pytest.mark.parametrize("late_data", [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", None])
async def test_idle_connection_with_unread_input_is_not_reused(
    late_data: bytes | None,
) -> None:
    harness, loop = UpstreamHarness(), asyncio.get_running_loop()
    with open_listener() as listener:
        harness.update_endpoint(format_address(listener))
        _, result = harness.start_attempt()
        old_socket, _ = await loop.sock_accept(listener)
        await loop.sock_recv(old_socket, 1000)
        await loop.sock_sendall(old_socket, OK_RESPONSE)
        assert (await result)[0] is Outcome.OK
        old_socket.setblocking(True)  # what follows arrives while the event loop is blocked
        if late_data:
            old_socket.sendall(late_data)
        else:
            old_socket.close()
        age_idle_connections(harness.upstream)  # otherwise too recent to be reused
        _, result = harness.start_attempt()
        new_socket, _ = await loop.sock_accept(listener)
        await loop.sock_recv(new_socket, 1000)
        await loop.sock_sendall(new_socket, OK_RESPONSE)
        outcome, response = await result
        assert outcome is Outcome.OK
        assert response is not None
        assert response.body == b"done"
        old_socket.close()
        new_socket.close()
