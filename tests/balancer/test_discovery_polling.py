"""Tests that every one of many gateways is notified in time, even if its discovery calls fail."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from heapq import heappop, heappush
from typing import NamedTuple

import pytest

from balancer import MS, SECOND, Rules, UpdateKind
from tests.support.gateway_model import GatewayModel
from tests.support.settings_builders import make_entry, make_settings

NOTIFIED_AFTER_NS = 6 * SECOND
"""Time after which gateways count as notified of a change if discovery is reachable; the grace period then
begins."""
GRACE_NS = SECOND
"""Time after the notification for which a draining endpoint may still get attempts."""
QUEUE_TIMEOUT_NS = 3 * SECOND
"""Time after which a queued call fails; it still costs discovery half of its service time."""
CALL_TIMEOUT_NS = 4250 * MS
"""Time after which a gateway gives up a call without a response."""
ENTRIES = [make_entry("h")]


def make_gateway(number: int, replicas: int, seed: int, interval_s: int = 10) -> GatewayModel:
    """Make one of several gateways that poll discovery; it has no endpoint list yet."""
    settings = make_settings(
        replicas=replicas,
        replica_index=number,
        poll_discovery=True,
        rules=Rules(poll_interval_ns=interval_s * SECOND),
    )
    return GatewayModel(settings, seed=seed)


class EventKind(IntEnum):
    """Kind of an event at a gateway."""

    TIMER = 0
    """The gateway's timer expires, and it calls discovery."""
    CALL_FAILED = 1
    LIST_RECEIVED = 2


class Event(NamedTuple):
    """An event at a gateway; events are sorted by time, then by gateway."""

    time: int
    gateway: int
    kind: EventKind


@dataclass(frozen=True, slots=True)
class Outage:
    """An outage from time 0 on, during which all discovery calls fail."""

    ends_at_ns: int
    fails_after_ns: int
    """Time that a call takes to fail during the outage."""


UNREACHABLE = Outage(8 * SECOND, 0)
SILENT = Outage(8 * SECOND, CALL_TIMEOUT_NS)
ERROR_503 = Outage(3 * SECOND, 100 * MS)


class DiscoverySimulation:
    """Gateways that call discovery during and after an outage.

    Discovery serves one call at a time, and takes `service_ns` for each.
    """

    def __init__(self, gateways: Iterable[GatewayModel], service_ns: int, outage: Outage) -> None:
        self._gateways = list(gateways)
        self._service_ns = service_ns
        self._outage = outage
        self._idle_at_ns = 0
        self._events: list[Event] = []

    def run(self) -> list[int]:
        """Return the time in ns from the end of the outage until each gateway has a list, in any order."""
        for number in range(len(self._gateways)):
            self._push_timer(number)
        delays = []
        while self._events:
            event = heappop(self._events)
            if event.kind is EventKind.TIMER:
                self._call(event)
            elif event.kind is EventKind.CALL_FAILED:
                self._update(event, UpdateKind.FAILED)
                self._push_timer(event.gateway)
            else:
                self._update(event, UpdateKind.SNAPSHOT)
                delays.append(event.time - self._outage.ends_at_ns)
        assert len(delays) == len(self._gateways)
        return delays

    def _call(self, event: Event) -> None:
        """Have a gateway call discovery, which fails the call or queues it."""
        now = event.time
        self._gateways[event.gateway].run_until(now)
        if now < self._outage.ends_at_ns:
            self._push(now + self._outage.fails_after_ns, event.gateway, EventKind.CALL_FAILED)
            return
        starts_at = max(self._idle_at_ns, now)
        if starts_at - now > QUEUE_TIMEOUT_NS:
            self._idle_at_ns = starts_at + self._service_ns // 2
            self._push(now + QUEUE_TIMEOUT_NS, event.gateway, EventKind.CALL_FAILED)
        else:
            self._idle_at_ns = starts_at + self._service_ns
            self._push(self._idle_at_ns, event.gateway, EventKind.LIST_RECEIVED)

    def _update(self, event: Event, kind: UpdateKind) -> None:
        gateway = self._gateways[event.gateway]
        gateway.now_ns = max(gateway.now_ns, event.time)
        gateway.update_endpoint_list(kind, [] if kind is UpdateKind.FAILED else ENTRIES)

    def _push_timer(self, number: int) -> None:
        self._push(min(self._gateways[number].timers.values()), number, EventKind.TIMER)

    def _push(self, time: int, number: int, kind: EventKind) -> None:
        heappush(self._events, Event(time, number, kind))


def start_with_cached_list(gateway: GatewayModel) -> None:
    """Start a gateway with only a cached list."""
    gateway.update_endpoint_list(UpdateKind.CACHED, ENTRIES)


def break_watch(gateway: GatewayModel) -> None:
    """Give a gateway a list, then break its watch."""
    gateway.update_endpoint_list(UpdateKind.SNAPSHOT, ENTRIES)
    gateway.update_endpoint_list(UpdateKind.FAILED, [])


@pytest.mark.parametrize("watch_breaks", [False, True], ids=["start", "broken watch"])
@pytest.mark.parametrize(
    "outage",
    [UNREACHABLE, SILENT, ERROR_503],
    ids=["unreachable", "silent", "error 503"],
)
@pytest.mark.parametrize(("gateways", "service_ms"), [(3, 200), (30, 100), (200, 24)])
def test_failed_calls_are_repeated_in_time(
    gateways: int, service_ms: int, outage: Outage, watch_breaks: bool
) -> None:
    """All gateways must have a list within 6 s and a grace period of 1 s after an outage.

    Discovery needs at most 4.8 s to serve them. A backoff of up to 7.5 s after a failed call would be too
    long, as the next call may be queued for another 4 s.
    """
    for seed in range(3):
        models = [make_gateway(number, gateways, 1000 * seed + number) for number in range(gateways)]
        for model in models:
            if watch_breaks:
                break_watch(model)
            else:
                start_with_cached_list(model)
        delays = DiscoverySimulation(models, service_ms * MS, outage).run()
        assert max(delays) <= NOTIFIED_AFTER_NS + GRACE_NS


def test_backoff_is_bounded_at_a_long_polling_interval() -> None:
    """First calls must not spread over 30 s at an interval of a minute, nor repeated ones come after 45 s."""
    for outage in (UNREACHABLE, SILENT):
        models = [make_gateway(number, 60, number, interval_s=60) for number in range(60)]
        for model in models:
            start_with_cached_list(model)
        delays = DiscoverySimulation(models, 20 * MS, outage).run()
        assert max(delays) <= NOTIFIED_AFTER_NS + GRACE_NS


def test_calls_of_many_gateways_are_spread_after_a_common_start() -> None:
    """Forty first calls must not come within a quarter of the interval, nor failed calls repeat together."""
    first_calls: list[int] = []
    repeated_calls: list[int] = []
    for number in range(40):
        gateway = make_gateway(number, 40, number)
        start_with_cached_list(gateway)
        first_calls += gateway.timers.values()
        gateway.timers.clear()
        gateway.update_endpoint_list(UpdateKind.FAILED, [])
        repeated_calls += gateway.timers.values()
    for times in (first_calls, repeated_calls):
        assert len(times) == 40
        assert max(times) <= 10 * SECOND
        for second in range(10):  # at most 30% of the calls in any second
            assert sum(time // SECOND == second for time in times) <= 12


def test_simultaneously_broken_watches_are_renewed_soon_and_spread() -> None:
    """Calls after a broken watch must not be up to 7.5 s late.

    A gateway counts as notified of missed changes after 6 s.
    """
    times: list[int] = []
    for number in range(200):
        gateway = make_gateway(number, 200, number)
        break_watch(gateway)
        times += gateway.timers.values()
    assert len(times) == 200
    assert max(times) <= SECOND
    for tenth in range(10):  # at most one sixth of the calls in any tenth of a second
        assert sum(10 * time // SECOND == tenth for time in times) <= 33


def test_backoff_after_a_broken_watch_starts_small() -> None:
    """At an interval of one minute, the call after a broken watch and a failed call must not be 9 s late."""
    for number in range(20):
        gateway = make_gateway(number, 200, number, interval_s=60)
        gateway.update_endpoint_list(UpdateKind.SNAPSHOT, ENTRIES)
        for longest in (SECOND, 3 * SECOND // 2, 3 * SECOND, 6 * SECOND):
            gateway.timers.clear()
            gateway.update_endpoint_list(UpdateKind.FAILED, [])
            assert max(gateway.timers.values()) <= longest
        gateway.timers.clear()
        break_watch(gateway)
        assert max(gateway.timers.values()) <= SECOND
