"""Pipelined requests on one connection: response order, limits, and pacing of error responses."""

from __future__ import annotations

import asyncio

import pytest

from balancer import SECOND
from gateway.client.response_queue import MAX_PIPELINED
from gateway.timers import now_ns
from tests.support.loopback import FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.stub_balancers import SingleAttemptBalancer


async def test_responses_have_the_order_of_their_requests() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{n}") for n in range(3)))
        forwarded = [await endpoint.received.get() for _ in range(3)]
        for item in reversed(forwarded):
            request_id = item.headers["x-request-id"].encode()
            item.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request_id)
        assert [(await client.read_response())[2] for _ in range(3)] == [b"r0", b"r1", b"r2"]


async def test_every_one_of_many_pipelined_requests_gets_a_response() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{n}") for n in range(200)))
        for _ in range(200):
            assert (await client.read_response())[0] in (200, 503)


async def test_pipelined_requests_above_the_limit_are_rejected() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        client.send(b"".join(request(request_id=f"r{n}") for n in range(100)))
        forwarded = [await endpoint.received.get() for _ in range(MAX_PIPELINED)]
        assert len(harness.gateway.dispatcher.open_requests()) == MAX_PIPELINED
        for item in forwarded:
            item.reply()
        assert [(await client.read_response())[0] for _ in range(100)] == [200] * 8 + [503] * 92
        assert endpoint.received.empty()


async def test_errors_in_quick_succession_wait_for_a_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.gateway.SWEEP_INTERVAL_NS", 3600 * SECOND)

    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        invalid = request(request_id="")
        assert (await client.exchange(invalid))[0] == 400
        client.send(invalid)
        waiting = asyncio.ensure_future(client.read_response())
        for _ in range(3):  # one error at once, the next at the sweep, at any request rate
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.shield(waiting), 0.02)
            harness.gateway.server.sweep(now_ns())
            assert (await waiting)[0] == 400
            assert (await client.exchange(invalid))[0] == 400
            client.send(invalid)
            waiting = asyncio.ensure_future(client.read_response())
        waiting.cancel()


@pytest.mark.parametrize("errors", [1, 2, MAX_PIPELINED])
async def test_errors_that_wait_for_a_sweep_delay_no_valid_request(
    errors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A valid request is read and forwarded at once, and its response does not wait for a sweep."""
    monkeypatch.setattr("gateway.gateway.SWEEP_INTERVAL_NS", 3600 * SECOND)

    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        for _ in range(errors):
            client.send(request(request_id=""))
        await wait_until(lambda: len(harness.gateway.server.connections) == 1)
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: len(connection.queue) == errors - 1)  # the first one has been answered
        client.send(request(request_id="good"))
        assert [(await client.read_response())[0] for _ in range(errors + 1)] == [400] * errors + [200]


async def test_a_flood_of_invalid_requests_is_read_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every request that was read gets a response, and the number of open requests stays bounded."""
    monkeypatch.setattr("gateway.gateway.SWEEP_INTERVAL_NS", 3600 * SECOND)

    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        client.send(request(request_id="") * 300 + request(request_id="good"))
        await wait_until(lambda: harness.gateway.server.open_connections == 1)
        [connection] = harness.gateway.server.connections
        for _ in range(300):
            response = asyncio.ensure_future(client.read_response())
            while not response.done():
                if connection.reading.is_paused:
                    assert len(connection.queue) <= MAX_PIPELINED
                    harness.gateway.server.sweep(now_ns())
                await asyncio.sleep(0)
            assert response.result()[0] == 400
        assert (await client.read_response())[0] == 200


async def test_an_upgrade_whose_error_waits_for_a_sweep_gets_its_response() -> None:
    """If EOF were sent before the deferred error is written, every sweep of the gateway would fail."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        invalid = request(request_id="")
        client.send(invalid + request(request_id="", Connection="Upgrade", Upgrade="h2c"))
        assert [(await client.read_response())[0] for _ in range(2)] == [400, 400]
        assert await client.reader.read() == b""


async def test_an_upgrade_behind_an_open_request_gets_its_response_after_that() -> None:
    """If EOF were sent while an earlier request is open, its response could not be written."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        client.send(request(request_id="open") + request(request_id="", Connection="Upgrade", Upgrade="h2c"))
        received = await endpoint.received.get()
        await wait_until(lambda: harness.gateway.server.busy_connections == 1)
        received.reply()
        assert [(await client.read_response())[0] for _ in range(2)] == [200, 400]
        assert await client.reader.read() == b""
