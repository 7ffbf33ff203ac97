"""Connections are not reused after data that no request has caused (issue 29, a foreign body)."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from balancer import SECOND, Outcome
from gateway.sockets import shut_down
from gateway.timers import now_ns
from gateway.upstream.endpoint import MAX_OBSERVED_PER_ENDPOINT, OBSERVATION_NS, SINGLE_USE_NS
from tests.support.loopback import OK_RESPONSE, FakeEndpoint, ReceivedRequest, wait_until
from tests.support.upstream import UpstreamHarness, age_idle_connections

OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
SHORT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndone"


class ReuseHarness(UpstreamHarness):
    """An upstream with one endpoint, whose idle connections are always old enough to be reused."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoint = FakeEndpoint()

    async def start(self) -> None:
        await self.endpoint.start()
        self.update_endpoint(self.endpoint.address)

    async def exchange(self, expected: Outcome = Outcome.OK) -> ReceivedRequest:
        outcome, response = await self.start_attempt()[1]
        assert outcome is expected
        assert response is None or response.body == b"done"
        age_idle_connections(self.upstream)
        return await self.endpoint.received.get()

    async def send_unsolicited_data(self, received: ReceivedRequest) -> None:
        """Send a second response, and wait until the upstream has read it."""
        received.reply(OTHER_RESPONSE)
        idle = self.upstream.endpoints["h0"].idle
        before = len(idle)
        await wait_until(lambda: len(idle) < before)

    async def connections_of(self, exchanges: int) -> int:
        """Return how many connections this number of exchanges open."""
        before = self.endpoint.connections
        for _ in range(exchanges):
            await self.exchange()
        return self.endpoint.connections - before


@pytest.mark.parametrize("how", ["read_while_idle", "unread", "in_one_read", "after_the_body"])
async def test_each_request_gets_a_new_connection_after_unsolicited_data(how: str) -> None:
    harness = ReuseHarness()
    await harness.start()
    assert await harness.connections_of(2) == 1
    if how == "in_one_read":
        harness.endpoint.reply = OK_RESPONSE + OTHER_RESPONSE
    elif how == "after_the_body":
        harness.endpoint.reply = SHORT_LENGTH
    received = await harness.exchange(Outcome.INVALID_RESPONSE if how == "after_the_body" else Outcome.OK)
    harness.endpoint.reply = OK_RESPONSE
    if how == "read_while_idle":
        await harness.send_unsolicited_data(received)
    elif how == "unread":
        received.reply(OTHER_RESPONSE)  # the event loop does not run before the next request
    assert await harness.connections_of(3) == 3


async def test_connections_are_reused_after_the_endpoint_has_closed_an_idle_one() -> None:
    harness = ReuseHarness()
    await harness.start()
    received = await harness.exchange()
    shut_down(
        cast(asyncio.Transport, received.writer.transport)
    )  # the event loop does not run before the next request
    assert await harness.connections_of(3) == 1


async def test_connections_are_reused_again_some_time_after_the_last_unsolicited_data() -> None:
    harness = ReuseHarness()
    await harness.start()
    endpoint = harness.upstream.endpoints["h0"]
    endpoint.record_unsolicited_data(now_ns() - SINGLE_USE_NS + 10 * SECOND)
    received = await harness.exchange()
    assert endpoint.is_single_use(now_ns())
    assert not endpoint.is_single_use(now_ns() + 10 * SECOND)
    await harness.send_unsolicited_data(received)  # on a connection that is observed, but not reused
    assert endpoint.is_single_use(now_ns() + 10 * SECOND)
    await harness.exchange()
    assert endpoint.take_idle(now_ns()) is None
    assert endpoint.take_idle(now_ns() + SINGLE_USE_NS) is not None


async def test_few_connections_are_observed_and_not_for_long() -> None:
    harness = ReuseHarness()
    await harness.start()
    endpoint = harness.upstream.endpoints["h0"]
    endpoint.record_unsolicited_data(now_ns())
    assert await harness.connections_of(2 * MAX_OBSERVED_PER_ENDPOINT) == 2 * MAX_OBSERVED_PER_ENDPOINT
    assert len(endpoint.idle) == MAX_OBSERVED_PER_ENDPOINT
    harness.upstream.sweep(now_ns() + OBSERVATION_NS)
    assert (len(endpoint.idle), harness.upstream.single_use_endpoints) == (0, 1)
