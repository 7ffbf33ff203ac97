"""Tests over sockets: readiness of thirty gateways that start together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest

from balancer import SECOND, Actions, Balancer, EventHandler, Settings
from gateway.dispatcher import BalancerFactory
from gateway.timers import Timer
from tests.support.loopback import FakeDiscovery, FakeEndpoint, GatewayHarness, wait_until

GATEWAYS = 30
MOST_READY_WITHIN_NS, ALL_READY_WITHIN_NS = 10 * SECOND, 30 * SECOND
"""Times within which nine in ten gateways and all gateways must be ready, ns."""
MOST_READY_WITHOUT_FAILURES_NS = 6 * SECOND
"""Time within which nine in ten gateways must be ready if no call to discovery fails, ns."""
TIMER_SPEEDUP = 100
"""Factor by which the timers of these tests are shortened."""
HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\n\r\n"
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SETTINGS: dict[str, Any] = {
    "replicas-of-me": GATEWAYS,
    "rules": {"ask-within-ns": 15 * SECOND, "drain-grace-ns": 2 * SECOND},
}


def fast_balancer(delays_ns: list[int]) -> BalancerFactory:
    """A factory of balancers whose timers are shortened; appends the original delays to `delays_ns`."""

    def make_balancer(settings: Settings, seed: int, actions: Actions) -> EventHandler:
        set_timer: Callable[[int, int], None] = actions.set_timer

        def shorten(token: int, delay_ns: int) -> None:
            delays_ns.append(delay_ns)
            set_timer(token, delay_ns // TIMER_SPEEDUP)

        actions.set_timer = shorten  # type: ignore[method-assign]
        return Balancer(settings, seed, actions)

    return make_balancer


def speed_up_watch(harness: GatewayHarness, delays_ns: list[int]) -> None:
    """Shorten the delays of the gateway's own backoff, which is used if discovery pushes the list.

    The original delays are appended to `delays_ns`.
    """
    timers, watch = harness.gateway.timers, harness.gateway.discovery.watch
    call_after = timers.call_after

    def shorten(delay_ns: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        if callback == watch:
            delays_ns.append(delay_ns)
            delay_ns //= TIMER_SPEEDUP
        return call_after(delay_ns, callback, argument)

    timers.call_after = shorten  # type: ignore[method-assign]


async def health_status(harness: GatewayHarness) -> int:
    """Status of a health check on a new connection."""
    client = await harness.connect()
    status = (await client.exchange(HEALTH_CHECK))[0]
    client.writer.close()
    return status


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("response", [None, b"", BUSY], ids=["down", "silent", "busy"])
async def test_with_a_cached_list_all_are_ready_at_the_first_health_check(
    response: bytes | None, mode: str
) -> None:
    async with AsyncExitStack() as stack:
        for number in range(GATEWAYS):
            harness = await stack.enter_async_context(GatewayHarness())
            sections = {"seed": f"{number:x}"}
            if response is None:
                sections["discovery"] = "127.0.0.1:1"
            await harness.start(FakeEndpoint(), configuration=sections, discovery=mode, **SETTINGS)
            assert await health_status(harness) == 200
            if response is not None and mode == "pushed":
                _, writer = await harness.discovery.calls.get()
                writer.write(response)
            assert await health_status(harness) == 200


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    ("failing_calls", "max_ns"),
    [(0, MOST_READY_WITHOUT_FAILURES_NS), (1, MOST_READY_WITHIN_NS), (2, MOST_READY_WITHIN_NS)],
)
async def test_with_an_empty_list_nine_in_ten_are_ready_in_time(
    failing_calls: int, max_ns: int, mode: str
) -> None:
    """Add up the delays before and between the calls to discovery; the first `failing_calls` of them fail.

    Without bounds on these delays, nine in ten of the gateways that poll discovery would be ready too late:
    after 6.5, 14.8 and 23.8 s, with 0, 1 and 2 failing calls.
    """

    async def start(harness: GatewayHarness, endpoint: FakeEndpoint, number: int) -> int:
        delays_ns: list[int] = []
        await harness.start(
            entries=[],
            make_balancer=fast_balancer(delays_ns),
            configuration={"seed": f"{number:x}"},
            discovery=mode,
            **SETTINGS,
        )
        speed_up_watch(harness, delays_ns)
        for _ in range(failing_calls):
            _, writer = await harness.discovery.calls.get()
            assert await health_status(harness) == 503
            writer.write(BUSY)
        _, writer = await harness.discovery.calls.get()
        FakeDiscovery.start_watch_response(writer)
        FakeDiscovery.write_watch_event(writer, 1, [endpoint.make_entry()], reset=True)
        await wait_until(lambda: harness.gateway.dispatcher.has_endpoints)
        assert await health_status(harness) == 200
        return sum(delays_ns)

    endpoint = await FakeEndpoint().start()
    async with AsyncExitStack() as stack:
        harnesses = [await stack.enter_async_context(GatewayHarness()) for _ in range(GATEWAYS)]
        ready_times_ns = sorted(
            await asyncio.gather(
                *(start(harness, endpoint, number) for number, harness in enumerate(harnesses))
            )
        )
        assert ready_times_ns[GATEWAYS * 9 // 10 - 1] <= max_ns
        assert ready_times_ns[-1] <= ALL_READY_WITHIN_NS
