"""Tests of start times on the monotonic clock: a wrong wall clock makes no endpoint look older."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer import MS, SECOND
from balancer.start_times import MAX_PUBLICATION_DELAY_NS, MAX_UNLISTED_STARTS, StartTimes
from gateway.discovery import EndpointCapacity, EndpointListParser
from gateway.memory_budget import MemoryBudget

UNIX_AT_ZERO = 1_700_000_000 * SECOND
"""True Unix time, in ns, at time 0 of the gateway's monotonic clock."""
HOUR = 3600 * SECOND
NOW = 500 * SECOND


def to_unix_ms(start: int) -> int:
    """Return the true Unix time in ms of a start at a monotonic time."""
    return (UNIX_AT_ZERO + start) // MS


def publish(times: StartTimes, now: int, **starts: int) -> dict[str, int]:
    """Publish the true starts of the endpoints in one list, and return the converted starts."""
    converted = times.to_monotonic([(name, to_unix_ms(start)) for name, start in starts.items()], now)
    return dict(zip(starts, converted, strict=True))


def test_first_list_keeps_the_intervals_between_starts() -> None:
    starts = publish(StartTimes(), NOW, old=NOW - HOUR, middle=NOW - 30 * SECOND, new=NOW - 4 * SECOND)
    assert starts == {"old": 1, "middle": NOW - 26 * SECOND, "new": NOW}


def test_start_is_not_converted_again_after_the_first_update() -> None:
    times = StartTimes()
    publish(times, NOW, a=NOW - 60 * SECOND)
    again = publish(times, NOW + SECOND, a=NOW - 60 * SECOND, b=NOW)  # still before the first update
    assert again == {"a": NOW - 59 * SECOND, "b": NOW + SECOND}
    times.mark_up_to_date(NOW + SECOND)
    later = publish(times, NOW + 9 * SECOND, a=NOW - 60 * SECOND, b=NOW, c=NOW + 9 * SECOND)
    assert later == {**again, "c": NOW + 9 * SECOND}


def test_a_delta_keeps_the_starts_of_the_other_listed_endpoints() -> None:
    """Otherwise a later change of such an endpoint dates its start to now and puts it in slow start again."""
    times = StartTimes()
    count = 2 * MAX_UNLISTED_STARTS
    fleet = {f"endpoint-{number}": NOW - count * MS + number * MS for number in range(count)}
    converted = publish(times, NOW, **fleet)
    times.mark_up_to_date(NOW)
    publish(times, NOW + 60 * SECOND, added=NOW + 60 * SECOND)  # a delta of one entry
    times.mark_up_to_date(NOW + 60 * SECOND)
    changed = publish(times, NOW + 90 * SECOND, **{"endpoint-0": fleet["endpoint-0"]})
    assert changed == {"endpoint-0": converted["endpoint-0"]}


def test_late_updates_make_no_start_look_older() -> None:
    times = StartTimes()
    publish(times, NOW, a=NOW - HOUR)
    times.mark_up_to_date(NOW)
    at = NOW + 20 * SECOND
    times.mark_up_to_date(at)
    assert publish(times, at, b=at - 5 * SECOND) == {"b": at}  # the delay of this update is unknown
    assert publish(times, at + SECOND, c=at) == {"c": at + SECOND}
    assert publish(times, at + 4 * SECOND, d=at) == {"d": at + SECOND}  # published 3 s later than c


@pytest.mark.parametrize("clock_error", [-HOUR, -20 * SECOND, 20 * SECOND, HOUR])
def test_wrong_clock_of_an_endpoint_makes_no_other_look_older(clock_error: int) -> None:
    times = StartTimes()
    publish(times, NOW, a=NOW - 100 * SECOND)
    times.mark_up_to_date(NOW)
    publish(times, NOW + SECOND, b=NOW)
    times.mark_up_to_date(NOW + SECOND)
    at = NOW + 30 * SECOND
    times.mark_up_to_date(at)
    assert publish(times, at, odd=at + clock_error)["odd"] == at
    assert at - SECOND <= publish(times, at, c=at - SECOND)["c"] <= at


def test_first_update_corrects_a_wrong_start_of_the_first_list() -> None:
    times = StartTimes()
    publish(times, NOW, odd=NOW + HOUR, a=NOW - 100 * SECOND)
    times.mark_up_to_date(NOW)
    at = NOW + 30 * SECOND
    times.mark_up_to_date(at)
    assert publish(times, at, b=at - SECOND) == {"b": at}


events = st.lists(st.tuples(st.integers(0, 40), st.integers(0, 9), st.booleans()), min_size=1, max_size=30)


@given(first=st.lists(st.integers(0, 4000), max_size=8), events=events)
def test_no_endpoint_looks_older_than_it_is(first: list[int], events: list[tuple[int, int, bool]]) -> None:
    """Starts are published some seconds late, between heartbeats of which some are missing."""
    times, now = StartTimes(), 5000 * SECOND
    starts = publish(times, now, **{f"f{n}": now - age * SECOND for n, age in enumerate(first)})
    true = {f"f{n}": now - age * SECOND for n, age in enumerate(first)}
    times.mark_up_to_date(now)
    for number, (gap, delay, heartbeat) in enumerate(events):
        now += gap * SECOND
        if heartbeat:
            times.mark_up_to_date(now)
        name = f"e{number}"
        true[name] = now - delay * SECOND
        starts |= publish(times, now, **{name: true[name]})
        times.mark_up_to_date(now)
        assert starts[name] <= now
    assert all(starts[name] >= true[name] for name in true)


def test_unlisted_endpoints_do_not_accumulate() -> None:
    times = StartTimes()
    for number in range(10 * MAX_UNLISTED_STARTS):
        times.mark_up_to_date(number * SECOND)
        publish(times, number * SECOND, **{f"h{number}": number * SECOND})
    assert len(times) <= MAX_UNLISTED_STARTS + 2


@pytest.mark.parametrize("step", [-HOUR, -5 * SECOND, 5 * SECOND, HOUR])
def test_wall_clock_step_changes_no_age(step: int, monkeypatch: pytest.MonkeyPatch) -> None:
    row = {"instanceId": "h0", "hostPort": "127.0.0.1:7070", "zone": "a", "lifecycle": "in_service"}

    def ages() -> list[int]:
        parser = EndpointListParser(["a"], [], EndpointCapacity(MemoryBudget(64 << 20)))
        rows = [{**row, "startedAtMs": 9_000}, {**row, "instanceId": "h1", "startedAtMs": 21_000}]
        _, _, listed = parser.parse({"generation": 1, "reset": True, "instances": rows}, NOW)
        return [NOW - item.entry.started_ns for item in listed]

    usual = ages()
    assert usual == [12 * SECOND, 0]
    monkeypatch.setattr(time, "time_ns", lambda: time.monotonic_ns() + UNIX_AT_ZERO + step)
    assert ages() == usual


def test_update_may_be_as_late_as_discovery_was_silent() -> None:
    times = StartTimes()
    publish(times, NOW, a=NOW - 100 * SECOND)
    times.mark_up_to_date(NOW)
    publish(times, NOW + SECOND, b=NOW + SECOND)
    times.mark_up_to_date(NOW + SECOND)
    at = NOW + 41 * SECOND  # discovery was silent for 40 s
    converted = publish(times, at, c=NOW + 15 * SECOND, d=at - 2 * SECOND)
    assert converted == {"c": NOW + 15 * SECOND, "d": at - 2 * SECOND}
    times.mark_up_to_date(at)
    assert publish(times, at + SECOND, e=at + SECOND - 2 * MAX_PUBLICATION_DELAY_NS) == {"e": at + SECOND}
