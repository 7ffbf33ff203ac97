"""Readiness and graceful shutdown of the client side."""

from __future__ import annotations

import asyncio

import pytest

from balancer import MS
from tests.support.loopback import FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.stub_balancers import SingleAttemptBalancer


async def test_ready_only_once_an_endpoint_is_known() -> None:
    async with GatewayHarness() as harness:
        endpoint = await FakeEndpoint().start()
        await harness.start(entries=[])
        client = await harness.connect()
        readiness_check = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await client.exchange(readiness_check))[0] == 503
        _, writer = await harness.discovery.calls.get()
        harness.discovery.start_watch_response(writer)
        harness.discovery.write_watch_event(writer, 42, [endpoint.make_entry()])
        await wait_until(lambda: harness.gateway.dispatcher.has_endpoints)
        assert (await client.exchange(readiness_check))[0] == 200


async def test_pipelined_requests_all_get_a_response_at_a_graceful_shutdown() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        client.send(request(request_id="r0") + request(request_id="r1"))
        forwarded = [await endpoint.received.get() for _ in range(2)]
        harness.gateway.stop()
        await wait_until(lambda: harness.gateway.server.draining, lambda: asyncio.sleep(0.01))
        forwarded.sort(key=lambda item: item.headers["x-request-id"])
        for connection_header, item in zip((None, "close"), forwarded, strict=True):
            item.reply()
            status, headers, _ = await client.read_response()
            assert (status, headers.get("connection")) == (200, connection_header)
        assert await client.reader.read() == b""


async def test_a_sweep_that_fails_is_followed_by_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """If one exception ended all sweeps, no idle or slow connection would be closed any more."""
    monkeypatch.setattr("gateway.gateway.SWEEP_INTERVAL_NS", MS)
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        sweeps = 0

        def fail(_now: int) -> None:
            nonlocal sweeps
            sweeps += 1
            raise RuntimeError("on purpose")

        monkeypatch.setattr(harness.gateway.server, "sweep", fail)
        await wait_until(lambda: sweeps == 3)
