"""Experiment `latency`: one real gateway between clients and endpoints."""

from __future__ import annotations

import pytest

from scale.experiments.latency import ChangeKind, plan_changes, run_phase, summarize
from scale.load import Sample, arrival_times, histogram
from tests.support.loopback import run_coroutine


def test_added_time_is_measured_from_the_due_time_less_the_endpoint_time() -> None:
    sample = Sample("r", False, 1_000_000, 4_000_000, 31_000_000, 200, 20_000_000)
    health_check = sample._replace(is_health_check=True, endpoint_ns=-1)
    unanswered = sample._replace(status=0, endpoint_ns=-1)
    assert (sample.added_latency_ns, health_check.added_latency_ns) == (10_000_000, 30_000_000)
    figures = summarize([sample, health_check, unanswered])
    assert [figures[name] for name in ("requests", "served", "unanswered")] == [2, 1, 1]
    assert (figures["worst_ms"], figures["hold_ms"]) == (10, 30)
    assert figures["p99_ms"] == pytest.approx(10, rel=0.001)
    assert histogram([-5, 0, 10**15]).get_total_count() == 3


def test_number_of_changes_grows_with_the_fleet_and_a_zone_loss_adds_two() -> None:
    assert plan_changes(0, 7500, 12) == []
    assert [len(plan_changes(10, size, 12, zone_loss=True)) for size in (75, 750, 7500)] == [4, 14, 122]
    assert [kind for _, kind in plan_changes(0.04, 75, 12)] == [ChangeKind.ROW] * 2
    assert [kind for _, kind in plan_changes(10, 75, 12, zone_loss=True)] == [
        ChangeKind.ROW,
        ChangeKind.LOSE_ZONE,
        ChangeKind.RESTORE_ZONE,
        ChangeKind.ROW,
    ]


def test_endpoint_list_changes_lose_no_request() -> None:
    async def check() -> None:
        plan = plan_changes(10_000, 22, 1.0, zone_loss=True)
        samples, costs = await run_phase(plan, 22, 5, seconds=1.0, rate=86, mean_ms=1.0)
        requests = [sample for sample in samples if not sample.is_health_check]
        assert (
            len(requests) == len(arrival_times(86, 1.0, 5)) == len({sample.request_id for sample in requests})
        )
        assert {sample.status for sample in samples} == {200}
        assert all(sample.endpoint_ns >= 0 and sample.added_latency_ns > 0 for sample in requests)
        assert costs["list_changes"] >= len(plan)
        assert costs["registry_bytes"] > 100 * len(plan)

    run_coroutine(check)
