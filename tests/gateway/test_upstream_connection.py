"""Connections to endpoints over loopback sockets: their states, and the outcomes of their attempts."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balancer import MS, SECOND, EndpointState, Outcome
from gateway.upstream.connection import ConnectionState, EndpointConnection
from gateway.upstream.endpoint import UpstreamEndpoint
from tests.support.loopback import OK_RESPONSE, FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.upstream import UpstreamHarness, format_address, open_full_listener, open_listener, peek


async def test_closed_port_gives_connect_failed() -> None:
    harness = UpstreamHarness()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))  # bound, but not listening
        harness.update_endpoint(format_address(free))
        assert (await harness.start_attempt()[1])[0] is Outcome.CONNECT_FAILED


@pytest.mark.parametrize("within", [9 * SECOND, 100 * MS])
async def test_connection_established_late_sends_nothing(within: int) -> None:
    harness, loop = UpstreamHarness(), asyncio.get_running_loop()
    listener, fill, address = open_full_listener()
    with listener:
        harness.update_endpoint(address)
        _, result = harness.start_attempt(within)
        assert (await result)[0] is Outcome.CONNECT_FAILED
        listener.setblocking(False)
        for sock in fill:
            sock.close()
        while True:  # no accepted connection may carry data
            try:
                accepted, _ = await asyncio.wait_for(loop.sock_accept(listener), 0.3)
            except TimeoutError:
                break
            with accepted:
                assert await loop.sock_recv(accepted, 100) == b""


async def test_no_request_is_sent_to_an_endpoint_that_drained_during_the_connect() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint().start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    harness.update_endpoint(endpoint.address, EndpointState.DRAINING)
    assert (await result)[0] is Outcome.CONNECT_FAILED
    assert endpoint.received.empty()


async def test_reset_before_the_last_byte_is_written_gives_connect_failed() -> None:
    harness, loop = UpstreamHarness(), asyncio.get_running_loop()
    with open_listener(receive_buffer=4096) as listener:
        harness.update_endpoint(format_address(listener))
        _, result = harness.start_attempt(body=b"x" * 20_000_000)
        accepted, _ = await loop.sock_accept(listener)
        await loop.sock_recv(accepted, 100)
        accepted.close()  # unread data makes this a reset
        assert (await result)[0] is Outcome.CONNECT_FAILED


async def test_timeout_of_a_partly_written_request_gives_connect_failed() -> None:
    harness, loop = UpstreamHarness(), asyncio.get_running_loop()
    with open_listener() as listener:
        harness.update_endpoint(format_address(listener))
        _, result = harness.start_attempt(300 * MS, body=b"x" * 20_000_000)
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            assert (await result)[0] is Outcome.CONNECT_FAILED


async def test_cancellation_and_timeout_close_the_connection() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    attempt, result = harness.start_attempt()
    received = await endpoint.received.get()
    harness.upstream.cancel_attempt(attempt)
    assert (await result)[0] is Outcome.CANCELLED
    await received.wait_closed()
    _, result = harness.start_attempt(900 * MS)
    received = await endpoint.received.get()
    assert 1 <= int(received.headers["x-timeout-ms"]) <= 900
    assert (await result)[0] is Outcome.TIMEOUT
    await received.wait_closed()


@pytest.mark.parametrize("how", ["cancel_attempt", "expire_attempt", "invalid"])
async def test_connection_is_shut_down_before_a_retry_can_be_sent(how: str) -> None:
    """The transport closes its socket one loop iteration later; a retry could be sent before that."""
    harness, loop = UpstreamHarness(), asyncio.get_running_loop()
    with open_listener() as listener:
        harness.update_endpoint(format_address(listener))
        attempt, result = harness.start_attempt()
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            await loop.sock_recv(accepted, 1000)
            if how == "invalid":
                peeked_at_end: list[bytes | None] = []
                attempt.on_ended = lambda *_: peeked_at_end.append(peek(accepted))
                await loop.sock_sendall(accepted, b"noise\r\n\r\n")
                await wait_until(lambda: bool(peeked_at_end))
                assert peeked_at_end == [b""]
            else:
                getattr(harness.upstream, how)(attempt)
                # The event loop has not run in between.
                assert result.done()
                assert peek(accepted) == b""


async def test_late_second_response_is_not_taken_for_the_next_response() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request(request_id="r0"))
        first = await endpoint.received.get()
        first.reply()
        assert (await client.read_response())[::2] == (200, b"done")
        [upstream_endpoint] = harness.gateway.upstream.endpoints.values()
        # The connection is too recent for the next request, even if this machine is slow.
        upstream_endpoint.idle[0].idle_since_ns += 60 * SECOND
        client.send(request(request_id="r1"))
        second = await asyncio.wait_for(endpoint.received.get(), 5)  # on another connection
        assert second.headers["x-request-id"] == "r1"
        first.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
        await first.wait_closed()  # by then the gateway has read the late response
        second.reply()
        assert (await client.read_response())[::2] == (200, b"done")


async def test_unexpected_data_closes_an_idle_connection() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply(OK_RESPONSE + OK_RESPONSE)
    assert (await result)[0] is Outcome.OK
    await received.wait_closed()
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply()
    assert (await result)[0] is Outcome.OK
    received.reply(b"noise")
    await received.wait_closed()


async def test_illegal_transition_is_logged_and_ignored(caplog: pytest.LogCaptureFixture) -> None:
    harness, endpoint = UpstreamHarness(), UpstreamEndpoint()
    attempt, _ = harness.start_attempt()
    connection = EndpointConnection(harness.upstream, endpoint, attempt)
    connection.mark_idle(0)
    assert connection.state is ConnectionState.CONNECTING
    assert [record.levelname for record in caplog.records] == ["ERROR"]


async def test_states_of_a_connection() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    attempt, result = harness.start_attempt()
    connection = attempt.connection
    assert connection is not None
    states = [connection.state]
    received = await endpoint.received.get()
    states.append(connection.state)
    received.reply()
    assert (await result)[0] is Outcome.OK
    states.append(connection.state)
    connection.close()
    states.append(connection.state)
    assert states == [
        ConnectionState.CONNECTING,
        ConnectionState.AWAITING_RESPONSE,
        ConnectionState.IDLE,
        ConnectionState.CLOSED,
    ]
