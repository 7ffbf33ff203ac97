"""Tests of the dispatcher over loopback sockets: each request gets exactly one response."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from typing import Any

import pytest

from balancer import MS, Actions, AttemptResult, HealthCheckResult, Outcome, Settings
from gateway.client.connection import ClientConnection
from gateway.client.exchange import Exchange
from gateway.dispatcher import LoadReportParser
from gateway.timers import now_ns
from gateway.upstream.connection import EndpointConnection
from tests.support.loopback import (
    CLOSING_RESPONSE,
    SETTINGS,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.stub_balancers import (
    DuplicateAttemptBalancer,
    FailingBalancer,
    RaisingBalancer,
    RaisingOnAttemptEndBalancer,
    RejectingBalancer,
    SendAfterResponseBalancer,
    SingleAttemptBalancer,
    StubBalancer,
)

STALL_ALLOWANCE_NS = 900 * MS
"""Margin added to a time limit for stalls of the process on a busy machine, ns."""


async def test_a_half_closed_client_gets_its_response() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request("once"))
        client.writer.write_eof()
        (await endpoint.received.get()).reply()
        assert (await client.read_response())[::2] == (200, b"done")
        assert await client.reader.read() == b""


async def test_no_attempt_starts_for_a_half_closed_client() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request())
        received = await endpoint.received.get()
        client.writer.write_eof()
        await wait_until(
            lambda: all(item.is_half_closed for item in harness.gateway.dispatcher.open_requests())
        )
        received.reply(b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
        assert (await client.read_response())[0] == 502
        assert endpoint.received.empty()


async def test_the_attempts_of_a_disconnected_client_are_cancelled() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request())
        received = await endpoint.received.get()
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        await received.wait_closed()
        assert not harness.gateway.dispatcher.open_requests()


@pytest.mark.parametrize(
    ("balancer", "status", "retry_after"),
    [
        (RejectingBalancer, 503, "1.250"),
        (FailingBalancer, 502, None),
        (RaisingBalancer, 502, None),
        (RaisingOnAttemptEndBalancer, 200, None),
        (StubBalancer, 502, None),  # never responds, so the gateway does before the client's deadline
    ],
)
async def test_exactly_one_response_whatever_the_balancer_does(
    balancer: type[StubBalancer], status: int, retry_after: str | None
) -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(), make_balancer=balancer)
        client, started_ns = await harness.connect(), now_ns()
        got_status, headers, _ = await client.exchange(request(X_Timeout_Ms="1000"))
        assert (got_status, headers.get("retry-after")) == (status, retry_after)
        assert now_ns() - started_ns < 1000 * MS + STALL_ALLOWANCE_NS
        assert (await client.exchange(request(request_id="r2", X_Timeout_Ms="1000")))[
            0
        ] == status  # and no second response to the first request
        assert not harness.gateway.dispatcher.open_requests()


async def test_the_other_attempt_is_cancelled_when_one_is_served() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=DuplicateAttemptBalancer)
        client = await harness.connect()
        client.send(request())
        first, second = await endpoint.received.get(), await endpoint.received.get()
        second.reply()
        assert (await client.read_response())[0] == 200
        await first.wait_closed()
        assert not harness.gateway.dispatcher.open_requests()


async def test_no_attempt_starts_after_the_response_and_no_event_is_nested() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        balancers: list[SendAfterResponseBalancer] = []

        def make_balancer(settings: Settings, seed: int, actions: Actions) -> Any:
            balancers.append(SendAfterResponseBalancer(settings, seed, actions))
            return balancers[0]

        await harness.start(endpoint, make_balancer=make_balancer)
        client = await harness.connect()
        assert (await client.exchange(request()))[0] == 502
        assert (await client.exchange(request(request_id="r2")))[0] == 502
        assert endpoint.received.empty()
        assert balancers[0].max_depth == 1
        assert balancers[0].outcomes[:2] == [(0, "nowhere", "CONNECT_FAILED"), (1, "h0", "NOT_SENT")]


class HealthCheckingBalancer(StubBalancer):
    """Checks the endpoint's health for each request and gossips the result to itself.

    The arrival of that gossip makes it send the attempt.
    """

    def handle_request(self, request_id: int) -> None:
        self.request_id = request_id
        self.actions.check_health("h0")

    def on_health_checked(self, now_ns: int, result: HealthCheckResult) -> None:  # noqa: ARG002 - required by the interface
        self.actions.send_gossip(
            0, f"{result.endpoint_id} {result.outcome.name} {result.load_report}".encode()
        )
        self.actions.send_gossip(9, b"to nobody")

    def on_gossip(self, now_ns: int, peer: int, content: bytes) -> None:  # noqa: ARG002 - required by the interface
        if content == b"h0 OK (7.0,)" and peer == 0:
            self.actions.send_attempt(self.request_id, "h0", 0)


async def test_health_checks_and_gossip_where_the_settings_allow_them() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"inflight":7}')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            gossip_address = f"127.0.0.1:{free.getsockname()[1]}"
        settings = {
            **SETTINGS,
            "caps": {**SETTINGS["caps"], "probes": True, "peers": True},
            "load-report": {"source": "on_probe", "columns": ["outstanding"]},
        }
        overrides = {"peer_listen": gossip_address, "peers": [gossip_address], "settings": settings}
        await harness.start(endpoint, make_balancer=HealthCheckingBalancer, configuration=overrides)
        assert (await (await harness.connect()).exchange(request()))[0] == 200
        assert (await endpoint.received.get()).first_line == "GET /stats HTTP/1.1"
        assert (await endpoint.received.get()).first_line == "GET /read/x?q=1 HTTP/1.1"


async def test_no_health_check_where_the_settings_allow_none() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint, make_balancer=HealthCheckingBalancer)
        assert (await (await harness.connect()).exchange(request(X_Timeout_Ms="200")))[0] == 502
        assert endpoint.connections == 0


def count_live_objects() -> int:
    """Return the number of connections and exchanges that have not been freed."""
    return sum(
        isinstance(item, ClientConnection | EndpointConnection | Exchange) for item in gc.get_objects()
    )


async def test_closed_connections_are_freed_without_the_garbage_collector() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        gc.collect()
        before = count_live_objects()  # left by earlier tests
        gc.disable()
        try:
            for number in range(30):
                client = await harness.connect()
                assert (await client.exchange(request(request_id=f"r{number}")))[0] == 200
                client.writer.close()
            harness.gateway.upstream.close()
            await wait_until(lambda: not harness.gateway.server.open_connections)
            await wait_until(lambda: count_live_objects() <= before, lambda: asyncio.sleep(0.1))
        finally:
            gc.enable()


@pytest.mark.parametrize("text", ["9" * 400, "1e999", "-1", "NaN", "1e30", "[]", '"x"', "null"])
def test_an_invalid_load_report_does_not_reach_the_balancer(text: str) -> None:
    assert LoadReportParser(["outstanding"], ["inflight"]).parse(b'{"outstanding": %b}' % text.encode()) == ()


class OutcomeRecordingBalancer(SingleAttemptBalancer):
    """Sends one attempt per request, and queues the outcomes of attempts."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        super().__init__(settings, seed, actions)
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:  # noqa: ARG002 - required by the interface
        self.outcomes.put_nowait(result.outcome)


async def test_an_attempt_whose_response_cannot_be_written_is_still_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    balancers: list[OutcomeRecordingBalancer] = []

    def make_balancer(settings: Settings, seed: int, actions: Actions) -> Any:
        balancers.append(OutcomeRecordingBalancer(settings, seed, actions))
        return balancers[0]

    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(), make_balancer=make_balancer)
        client = await harness.connect()
        with monkeypatch.context() as patch:
            patch.setattr(Exchange, "send_response", None)
            client.send(request())
            assert (await balancers[0].outcomes.get()) is Outcome.OK


async def test_open_requests_are_bounded_by_their_bytes() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        dispatcher, budget = harness.gateway.dispatcher, harness.gateway.memory_budget
        first, second = await harness.connect(), await harness.connect()
        first.send(request())
        (await endpoint.received.get()).reply(CLOSING_RESPONSE)
        assert (await first.read_response())[0] == 200
        await wait_until(lambda: not harness.gateway.upstream.open_connections)
        used_bytes = budget.used_bytes
        budget.limit_bytes = used_bytes + 100_000
        first.send(request("once", body=b"x" * 60_000))
        received = await endpoint.received.get()
        assert (await second.exchange(request("once", request_id="r2", body=b"x" * 60_000)))[0] == 503
        received.reply(CLOSING_RESPONSE)
        assert (await first.read_response())[0] == 200
        await wait_until(lambda: not dispatcher.open_requests())
        await wait_until(lambda: not harness.gateway.upstream.open_connections)
        assert budget.used_bytes <= used_bytes
