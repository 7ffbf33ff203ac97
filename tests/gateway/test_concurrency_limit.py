"""Tests of the concurrency limit over sockets, while endpoints and demand change."""

from __future__ import annotations

import asyncio
from typing import Any

from balancer import Actions, Balancer, EndpointId, IncomingRequest, Settings
from tests.support.loopback import (
    CLOSING_RESPONSE,
    OK_RESPONSE,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)

REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


class CountingHarness(GatewayHarness):
    """Runs a gateway and counts the requests that its balancer has received, including ended ones."""

    request_count = 0

    def make_balancer(self, settings: Settings, seed: int, actions: Actions) -> Balancer:
        """Create a balancer that counts requests; passed to `start`."""
        harness = self

        class CountingBalancer(Balancer):
            def on_request(self, now_ns: int, incoming: IncomingRequest) -> None:
                harness.request_count += 1
                super().on_request(now_ns, incoming)

        return CountingBalancer(settings, seed, actions)

    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return sum(len(item.in_flight) for item in self.gateway.dispatcher.open_requests())

    def endpoints_in_flight(self) -> list[EndpointId]:
        """Return the endpoint of the first attempt of each open request."""
        return [item.in_flight[0].endpoint_id for item in self.gateway.dispatcher.open_requests()]

    async def send(self, *request_ids: str) -> None:
        """Send each request on its own connection, left open, and wait until the balancer has them all."""
        expected = self.request_count + len(request_ids)
        clients = [await self.connect() for _ in request_ids]
        for client, request_id in zip(clients, request_ids, strict=True):
            self.callback(client.writer.close)
            client.send(request(request_id=request_id))
        await wait_until(lambda: self.request_count == expected)


class DiscoveryWatch:
    """Sends watch events on the discovery watch that a gateway has opened."""

    def __init__(self, harness: GatewayHarness, writer: asyncio.StreamWriter) -> None:
        self._harness = harness
        self._writer = writer
        self._generation = 41

    @staticmethod
    async def accept(harness: GatewayHarness) -> DiscoveryWatch:
        """Wait for the watch call and begin the response to it."""
        _, writer = await harness.discovery.calls.get()
        harness.discovery.start_watch_response(writer)
        return DiscoveryWatch(harness, writer)

    async def notify(self, *rows: dict[str, Any]) -> None:
        """Send a watch event and wait until the gateway has applied it."""
        self._generation += 1
        self._harness.discovery.write_watch_event(self._writer, self._generation, list(rows))
        await wait_until(lambda: self._harness.gateway.discovery.generation == self._generation)


async def test_the_last_ready_endpoint_does_not_get_the_capacity_of_all() -> None:
    """Otherwise one endpoint of four would get the limit of all and be overloaded before its delay rises."""
    endpoints = [FakeEndpoint(f"h{number}", reply=None) for number in range(4)]
    async with CountingHarness() as harness:
        await harness.start(*endpoints, make_balancer=harness.make_balancer)
        watch = await DiscoveryWatch.accept(harness)
        await watch.notify(*(endpoint.make_entry("terminating") for endpoint in endpoints[1:]))
        await harness.send("r1", "r2", "r3", "r4")
        assert harness.in_flight() == 1


async def test_added_endpoints_get_capacity_immediately() -> None:
    """A limit still scaled to fewer endpoints would fill idle endpoints only over seconds."""
    endpoints = [FakeEndpoint(f"h{number}", reply=None) for number in range(4)]
    async with CountingHarness() as harness:
        await harness.start(*endpoints, make_balancer=harness.make_balancer, entries=[])
        watch = await DiscoveryWatch.accept(harness)
        await watch.notify(endpoints[0].make_entry())
        await watch.notify(*(endpoint.make_entry() for endpoint in endpoints[1:]))
        await harness.send("r1", "r2", "r3", "r4")
        assert harness.in_flight() == 4


async def test_attempts_at_a_draining_endpoint_use_no_capacity_of_others() -> None:
    """Attempts at a draining endpoint must not leave its successor idle until they end."""
    old, new = FakeEndpoint("old", reply=None), FakeEndpoint("new", reply=None)
    async with CountingHarness() as harness:
        await harness.start(old, new, make_balancer=harness.make_balancer, entries=[])
        watch = await DiscoveryWatch.accept(harness)
        await watch.notify(old.make_entry())
        await harness.send("r1")
        received = await old.received.get()
        await watch.notify(old.make_entry("terminating"), new.make_entry())
        await harness.send("r2")
        assert harness.endpoints_in_flight() == ["old", "new"]
        assert received.first_line.startswith("GET")  # `received` keeps the connection open until here


async def test_the_limit_grows_fast_while_requests_wait_and_endpoints_are_idle() -> None:
    """A starting gateway must not queue 100 requests and reject as many while endpoints are idle."""
    endpoint = FakeEndpoint(reply=None)
    async with CountingHarness() as harness:
        await harness.start(endpoint, make_balancer=harness.make_balancer)
        await harness.send(*(f"r{number}" for number in range(40)))
        for _ in range(20):
            (await endpoint.received.get()).reply(CLOSING_RESPONSE)
        await wait_until(lambda: len(harness.gateway.dispatcher.open_requests()) == 20)
        assert harness.in_flight() >= 4  # starts at 1; a fixed step per response would give 2


async def test_requests_above_a_quota_use_other_zones_that_are_idle() -> None:
    """Otherwise requests above a quota would be rejected while other zones are idle.

    With one of two gateways stopped, half of all requests would be rejected.
    """
    endpoints = [FakeEndpoint(f"h{number}", reply=None) for number in range(4)]
    async with CountingHarness() as harness:
        quotas: dict[str, Any] = {
            "over-share-worth": 0.1,
            "realms": [{"name": "acme", "portion": 1.0, "allowance-per-s": 0.01}],
        }
        await harness.start(*endpoints, make_balancer=harness.make_balancer, entries=[], **quotas)
        watch = await DiscoveryWatch.accept(harness)
        await watch.notify(
            endpoints[0].make_entry(), *(endpoint.make_entry(zone="b") for endpoint in endpoints[1:])
        )
        await harness.send("r1", "r2", "r3", "r4")  # the burst allowed by the quota; it fills the local zone
        assert harness.endpoints_in_flight() == ["h0"] * 4
        await harness.send("r5")
        assert harness.in_flight() == 5


async def test_few_gateways_poll_soon_after_a_start_with_cached_endpoints() -> None:
    """The first poll must not come late to limit the rate of polls.

    Otherwise a gateway would use an incomplete cached list until then, such as 6 of 10 endpoints for 1.8 s.
    """
    async with CountingHarness() as harness:
        await harness.start(FakeEndpoint(), rules={"ask-within-ns": 60_000_000_000})
        # The delay is random and at most 0.5 s; spread over 15 s, it would be 4.9 s with this seed.
        await asyncio.wait_for(harness.discovery.calls.get(), 3.0)


async def test_one_endpoint_that_rejects_does_not_take_the_capacity_of_the_others() -> None:
    """An overloaded endpoint must not lower the limit of the pool until idle ones get nothing."""
    endpoints = [FakeEndpoint(f"h{number}") for number in range(4)]
    async with CountingHarness() as harness:
        await harness.start(*endpoints, make_balancer=harness.make_balancer, entries=[])
        watch = await DiscoveryWatch.accept(harness)
        overloaded, *others = endpoints
        await watch.notify(
            overloaded.make_entry(weight=1000.0), *(endpoint.make_entry() for endpoint in others)
        )
        rejections = 0
        while rejections < 8:  # one in five of the overloaded endpoint's responses
            is_rejection = overloaded.received.qsize() % 5 == 4
            overloaded.reply = REJECTION if is_rejection else OK_RESPONSE
            before = overloaded.received.qsize()
            await harness.send(f"r{harness.request_count}")
            await wait_until(lambda: harness.in_flight() == 0)
            rejections += is_rejection and overloaded.received.qsize() > before
        for endpoint in endpoints:
            endpoint.reply = None
        await harness.send("a", "b", "c")
        assert harness.in_flight() == 3
