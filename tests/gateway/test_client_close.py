"""A waiting request is not forwarded once its client has closed, whatever the request waits for."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from balancer import MS, SECOND, AttemptResult
from gateway.client.request_ids import RETENTION_NS, RequestIds
from gateway.client.response_queue import MAX_PIPELINED
from gateway.memory_budget import MemoryBudget
from gateway.timers import now_ns
from tests.support.event_control import BlockingClient, CapturedTimers, DelayedConnects, UnreportedConnects
from tests.support.loopback import (
    CLOSING_RESPONSE,
    OK_RESPONSE,
    SETTINGS,
    Client,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.stub_balancers import SingleAttemptBalancer, StubBalancer

OVERLOADED = b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
SHORT_OBJECTIVES: dict[str, Any] = {
    "request-classes": [{**item, "slo-ns": 2000 * MS} for item in SETTINGS["request-classes"]]
}
"""Request classes whose latency objective makes the first gap before a retry 1.5 s."""


def close(client: Client) -> None:
    client.writer.close()


def half_close(client: Client) -> None:
    client.writer.write_eof()


def reset(client: Client) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


each_close = pytest.mark.parametrize("close_client", [close, half_close, reset])
CloseClient = Callable[[Client], None]


async def check_only_other_request_is_sent(harness: GatewayHarness, endpoint: FakeEndpoint) -> None:
    """Send another request and check that it is the next one to reach the endpoint, and the only one."""
    other = await harness.connect()
    assert (await other.exchange(request(request_id="other")))[0] == 200
    assert (await endpoint.received.get()).headers["x-request-id"] == "other"
    assert endpoint.received.empty()


@each_close
async def test_a_request_that_waited_for_capacity_is_not_sent(close_client: CloseClient) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        busy, closing_client = await harness.connect(), await harness.connect()
        busy.send(request(request_id="busy"))
        forwarded = await endpoint.received.get()
        closing_client.send(request(request_id="left"))  # an unused endpoint gets one attempt at a time
        await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == 2)
        assert endpoint.received.empty()
        close_client(closing_client)
        await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == 1)
        endpoint.reply = OK_RESPONSE
        forwarded.reply(CLOSING_RESPONSE)
        assert (await busy.read_response())[0] == 200
        await check_only_other_request_is_sent(harness, endpoint)


@each_close
async def test_a_request_that_waited_for_its_gap_is_not_sent(close_client: CloseClient) -> None:
    async with GatewayHarness() as harness:
        endpoints = FakeEndpoint("h0", reply=None), FakeEndpoint("h1", reply=None)
        await harness.start(*endpoints, **SHORT_OBJECTIVES)
        dispatcher, timers = harness.gateway.dispatcher, harness.gateway.timers
        client = await harness.connect()
        client.send(request(request_id="left"))
        await wait_until(lambda: any(not endpoint.received.empty() for endpoint in endpoints))
        first, other = endpoints if not endpoints[0].received.empty() else endpoints[::-1]
        (await first.received.get()).reply(OVERLOADED)
        await wait_until(lambda: not dispatcher.open_requests()[0].in_flight)
        close_client(client)
        await wait_until(lambda: not dispatcher.open_requests())
        has_expired = asyncio.Event()
        timers.call_after(
            2000 * MS, lambda _: has_expired.set(), None
        )  # expires after the gap, as all timers share one heap
        await has_expired.wait()
        assert first.received.empty()
        assert other.received.empty()


@each_close
async def test_a_request_that_waited_for_its_connection_is_not_sent(
    close_client: CloseClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, caps={**SETTINGS["caps"], "dial-timeout-ns": 5_000 * MS})
        connects = DelayedConnects(monkeypatch, endpoint)
        client = await harness.connect()
        client.send(request(request_id="left"))
        await connects.connect_called.wait()
        close_client(client)
        if close_client is half_close:  # the client may still read, so it gets a response
            assert (await client.read_response())[0] == 502
        await wait_until(lambda: not harness.gateway.dispatcher.open_requests())
        connects.connect_allowed.set()
        await check_only_other_request_is_sent(harness, endpoint)


async def test_a_half_closed_client_gets_the_response_to_an_attempt_that_was_sent() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request())
        forwarded = await endpoint.received.get()
        client.writer.write_eof()
        await wait_until(lambda: harness.gateway.dispatcher.open_requests()[0].is_half_closed)
        forwarded.reply()
        assert (await client.read_response())[::2] == (200, b"done")


class SendOnTimerBalancer(StubBalancer):
    """Sends the first attempt when the request's timer expires, then one after each non-final outcome."""

    def handle_request(self, request_id: int) -> None:
        self.actions.set_timer(request_id, 60_000 * MS)

    def on_timer(self, now_ns: int, token: int) -> None:  # noqa: ARG002 - required by the interface
        self.actions.send_attempt(token, "h0", 0)

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:  # noqa: ARG002 - required by the interface
        if not result.is_final:
            self.actions.send_attempt(result.request_id, "h0", 0)


each_unread_close = pytest.mark.parametrize(
    "close_client", [BlockingClient.close, BlockingClient.half_close, BlockingClient.reset]
)
"""The client closes in the same event loop iteration as another event, which is handled first."""
read_or_paused = pytest.mark.parametrize("count", [1, MAX_PIPELINED])
"""With one open request the connection is being read; with `MAX_PIPELINED` reading is paused."""
CloseBlockingClient = Callable[[BlockingClient], None]


async def send_requests(harness: GatewayHarness, count: int) -> tuple[BlockingClient, list[int]]:
    """A client with `count` open requests, and the request ids that the gateway gave them."""
    client = BlockingClient(harness.gateway_address)
    client.sock.sendall(b"".join(request(request_id=f"left{n}") for n in range(count)))
    await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == count)
    return client, [item.request_id for item in harness.gateway.dispatcher.open_requests()]


def simulate_stall(patch: pytest.MonkeyPatch) -> None:
    """Advance the dispatcher's clock, as an event loop stall would."""
    patch.setattr("gateway.dispatcher.now_ns", lambda: now_ns() + 150 * MS)


@read_or_paused
@each_unread_close
async def test_a_timer_that_expires_before_the_close_is_read_sends_nothing(
    close_client: CloseBlockingClient, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The balancer sends an attempt on a timer or another event, which may be handled before the close."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, make_balancer=SendOnTimerBalancer)
        timers = CapturedTimers(monkeypatch, harness.gateway.timers)
        dispatcher = harness.gateway.dispatcher
        client, request_ids = await send_requests(harness, count)
        close_client(client)
        simulate_stall(monkeypatch)
        for request_id in request_ids:
            timers.expire(request_id)
        assert not dispatcher.open_requests()
        assert not harness.gateway.upstream.connections_opened
        client.sock.close()


@read_or_paused
@each_unread_close
async def test_a_response_that_comes_before_the_close_is_read_sends_nothing(
    close_client: CloseBlockingClient, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SendOnTimerBalancer)
        timers = CapturedTimers(monkeypatch, harness.gateway.timers)
        dispatcher = harness.gateway.dispatcher
        client, request_ids = await send_requests(harness, count)
        for request_id in request_ids:
            timers.expire(request_id)
        for _ in request_ids:
            await endpoint.received.get()
        opened = harness.gateway.upstream.connections_opened
        close_client(client)
        simulate_stall(monkeypatch)
        for item in dispatcher.open_requests():
            [connection] = [attempt.connection for attempt in item.in_flight.values()]
            assert connection is not None
            connection.data_received(OVERLOADED)
        assert not dispatcher.open_requests()
        assert harness.gateway.upstream.connections_opened == opened
        assert endpoint.received.empty()
        client.sock.close()


@read_or_paused
@each_unread_close
async def test_a_connection_established_before_the_close_is_read_sends_nothing(
    close_client: CloseBlockingClient, count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(
            endpoint,
            make_balancer=SendOnTimerBalancer,
            caps={**SETTINGS["caps"], "dial-timeout-ns": 5_000 * MS},
        )
        timers = CapturedTimers(monkeypatch, harness.gateway.timers)
        dispatcher = harness.gateway.dispatcher
        connects = UnreportedConnects(monkeypatch, endpoint)
        client, request_ids = await send_requests(harness, count)
        for request_id in request_ids:
            timers.expire(request_id)
        connected = [await connects.connected.get() for _ in request_ids]
        close_client(client)
        simulate_stall(monkeypatch)
        for protocol, transport in connected:
            connects.report_connected(protocol, transport)
        assert not dispatcher.open_requests()
        assert all(transport.is_closing() for _, transport in connected)
        client.sock.close()


@pytest.mark.parametrize("close_client", [close, half_close])
async def test_a_connection_established_soon_after_the_close_is_not_used(
    close_client: CloseClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise three of four requests would still be forwarded 0.17 s after the close."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, caps={**SETTINGS["caps"], "dial-timeout-ns": 5_000 * MS})
        dispatcher = harness.gateway.dispatcher
        connects = UnreportedConnects(monkeypatch, endpoint)
        client = await harness.connect()
        client.send(request(request_id="left"))
        connected = await connects.connected.get()
        close_client(client)
        await wait_until(lambda: all(item.is_half_closed for item in dispatcher.open_requests()))
        simulate_stall(monkeypatch)
        connects.report_connected(*connected)
        assert not dispatcher.open_requests()
        assert connected[1].is_closing()


@pytest.mark.parametrize("rdhup", [select.POLLRDHUP, 0])
async def test_a_close_is_distinguished_from_unread_bytes(
    rdhup: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close is recognized with and without POLLRDHUP; polling the socket must not consume unread bytes."""
    monkeypatch.setattr("select.POLLRDHUP", rdhup)

    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(), make_balancer=SendOnTimerBalancer)
        timers = CapturedTimers(monkeypatch, harness.gateway.timers)
        dispatcher = harness.gateway.dispatcher
        client, request_ids = await send_requests(harness, MAX_PIPELINED)
        [connection] = harness.gateway.server.connections
        assert not connection.client_has_ended()
        client.sock.sendall(request(request_id="more"))
        assert not connection.client_has_ended()
        timers.expire(request_ids[0])
        await wait_until(  # the request behind the open ones is read completely
            lambda: any(item.request_id not in request_ids for item in dispatcher.open_requests())
        )
        client.half_close()
        assert connection.client_has_ended()
        client.close()


@each_unread_close
@pytest.mark.parametrize("more", [b"", request(request_id="more")], ids=["alone", "after-bytes"])
async def test_a_sweep_notices_a_close_on_a_connection_that_is_not_read(
    close_client: CloseBlockingClient, more: bytes
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, make_balancer=SendOnTimerBalancer)
        client, _ = await send_requests(harness, MAX_PIPELINED)
        client.sock.sendall(more)
        close_client(client)
        harness.gateway.server.sweep(now_ns())
        assert not harness.gateway.dispatcher.open_requests()
        client.sock.close()
        await wait_until(lambda: not harness.gateway.server.open_connections)
        assert endpoint.received.empty()


@each_unread_close
async def test_a_sweep_notices_a_close_behind_discarded_bytes(close_client: CloseBlockingClient) -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(), make_balancer=SendOnTimerBalancer)
        client = BlockingClient(harness.gateway_address)
        client.sock.sendall(request(Connection="close"))
        await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == 1)
        client.sock.sendall(b"more")
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: connection.reading.is_paused)
        close_client(client)
        harness.gateway.server.sweep(now_ns())
        assert not harness.gateway.dispatcher.open_requests()
        client.sock.close()


@pytest.mark.parametrize("close_client", [BlockingClient.close, BlockingClient.half_close])
async def test_a_request_that_stayed_unread_until_its_client_closed_is_not_sent(
    close_client: CloseBlockingClient,
) -> None:
    """The client may have left long ago.  A reset is not tested, as it discards unread data."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = BlockingClient(harness.gateway_address)
        flood = MAX_PIPELINED + 2  # enough invalid requests to pause reading until a sweep
        client.sock.sendall(request(request_id="") * flood)
        await wait_until(lambda: harness.gateway.server.open_connections == 1)
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: connection.reading.is_paused)
        received = b""
        while received.count(b"no usable id\n") < flood:  # a close with unread data would send a reset
            received += client.sock.recv(10_000)
        client.sock.sendall(request(request_id="left"))
        close_client(client)
        harness.gateway.server.sweep(now_ns())
        await wait_until(lambda: connection not in harness.gateway.server.connections)
        if close_client is BlockingClient.half_close:
            assert client.sock.makefile("rb").read().count(b"HTTP/1.1 503 ") == 1
        await check_only_other_request_is_sent(harness, endpoint)
        client.sock.close()


@each_close
@pytest.mark.parametrize("is_forwarded", [True, False])
async def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(
    is_forwarded: bool, close_client: CloseClient
) -> None:
    """Report 168279: the id was free again once its client had left, although its request had been sent."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, **SHORT_OBJECTIVES)
        dispatcher = harness.gateway.dispatcher
        busy, leaving = await harness.connect(), await harness.connect()
        if not is_forwarded:  # an unused endpoint gets one attempt at a time
            busy.send(request("once", request_id="busy"))
            forwarded = await endpoint.received.get()
        leaving.send(request("once", request_id="again"))
        if is_forwarded:
            forwarded = await endpoint.received.get()
        await wait_until(lambda: len(dispatcher.open_requests()) == 2 - is_forwarded)
        request_again = dispatcher.open_requests()[-1]
        close_client(leaving)
        await wait_until(lambda: request_again.is_half_closed or request_again.is_ended)
        forwarded.reply(CLOSING_RESPONSE)
        await wait_until(lambda: not dispatcher.open_requests())
        endpoint.reply = CLOSING_RESPONSE
        status, _, body = await (await harness.connect()).exchange(request("once", request_id="again"))
        assert (status, endpoint.received.empty()) == ((400, True) if is_forwarded else (200, False))
        assert (b"may have run" in body) is is_forwarded


async def test_an_id_is_retained_for_a_limited_time() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        ids = harness.gateway.server.request_ids
        leaving = await harness.connect()
        leaving.send(request(request_id="again"))
        await endpoint.received.get()
        close(leaving)
        await wait_until(lambda: not harness.gateway.server.open_connections)
        assert not ids.is_open(b"again")
        assert ids.is_retained(b"again")
        harness.gateway.server.sweep(now_ns() + RETENTION_NS + SECOND)
        assert not ids.is_retained(b"again")


def test_the_number_of_retained_ids_is_bounded_by_the_memory() -> None:
    budget = MemoryBudget(1 << 20)
    ids = RequestIds(budget)
    for number in range(1000):
        ids.retain(b"id-%d" % number, number)
    assert budget.used_bytes <= budget.limit_bytes / 32
    assert not ids.is_retained(b"id-0")
    assert ids.is_retained(b"id-999")
    ids.retain(b"id-999", 2000)
    ids.sweep(RETENTION_NS + 1500)
    assert ids.is_retained(b"id-999")
    ids.sweep(RETENTION_NS + 2001)
    assert not ids.is_retained(b"id-999")
    assert budget.used_bytes == 0
