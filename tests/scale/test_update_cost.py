"""Cost of endpoint list updates in executed lines of Python, and its growth with the fleet size."""

from __future__ import annotations

import asyncio
import gc
import json
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any, cast

from balancer import Actions, Balancer, EndpointState, UpdateKind
from balancer.settings_parser import parse_settings
from gateway.discovery import EndpointCapacity, EndpointListParser, ListedEndpoint
from gateway.memory_budget import MemoryBudget
from gateway.timers import Timers
from gateway.upstream import Upstream
from scale.fleet import EndpointRow, Fleet, make_settings


def count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of Python a call executes; the number does not depend on the load of the machine.

    The garbage collector is disabled during the call, because it would run finalizers of objects left by
    earlier tests, whose lines would be counted.
    """
    count = 0

    def trace(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    previous = sys.gettrace()
    gc.disable()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
        gc.enable()
    return count


class UpdateCosts:
    """Lines executed by a gateway for a snapshot and for one change, with one gateway per ten endpoints."""

    def __init__(self, count: int) -> None:
        fleet = Fleet(count, 3, 1)
        settings = make_settings(fleet, count // 10)
        budget = MemoryBudget(64 << 20)
        self._parser = EndpointListParser(settings["zones"], settings["flavors"], EndpointCapacity(budget))
        upstream = Upstream(cast(asyncio.AbstractEventLoop, None), cast(Timers, None), 100, 0, 0, budget)
        balancer = Balancer(parse_settings(json.dumps(settings).encode()), 1, cast(Actions, None))
        rows, drained = list(fleet.rows.values()), fleet.drain(1)
        snapshot, changed = self._parse(rows, True), self._parse(drained, False)
        assert changed[0].entry.state is EndpointState.DRAINING
        self.snapshot_parser = count_lines(lambda: self._parse(rows, True))
        self.snapshot_upstream = count_lines(lambda: upstream.apply_endpoint_list(True, snapshot))
        self.snapshot_balancer = count_lines(
            lambda: balancer.on_endpoint_list(0, UpdateKind.SNAPSHOT, [item.entry for item in snapshot])
        )
        self.change_parser = count_lines(lambda: self._parse(drained, False))
        self.change_upstream = count_lines(lambda: upstream.apply_endpoint_list(False, changed))
        self.change_balancer = count_lines(
            lambda: balancer.on_endpoint_list(1, UpdateKind.DELTA, [changed[0].entry])
        )

    def _parse(self, rows: list[EndpointRow], is_snapshot: bool) -> list[ListedEndpoint]:
        return self._parser.parse({"generation": 1, "reset": is_snapshot, "instances": rows}, 0)[2]


def test_snapshot_cost_per_endpoint_does_not_grow_with_the_fleet() -> None:
    small, large = UpdateCosts(200), UpdateCosts(2000)
    for part in ("snapshot_parser", "snapshot_upstream", "snapshot_balancer"):
        assert getattr(large, part) <= 11 * getattr(small, part), part


def test_cost_of_one_change_in_parser_and_upstream_does_not_depend_on_the_fleet_size() -> None:
    small, large = UpdateCosts(200), UpdateCosts(2000)
    assert (large.change_parser, large.change_upstream) == (small.change_parser, small.change_upstream)


def test_cost_of_one_change_in_the_balancer_does_not_grow_with_the_fleet() -> None:
    """Rebuilding all lists for each change took 1,864 lines at 200 endpoints and 18,004 at 2,000."""
    small, large = UpdateCosts(200), UpdateCosts(2000)
    assert large.change_balancer < 2 * small.change_balancer


class _CyclicGarbage:
    """Object in a reference cycle with a finalizer that executes many lines of Python."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        for _ in range(1000):
            pass


def test_finalizers_of_garbage_are_not_counted() -> None:
    threshold = gc.get_threshold()[0]
    gc.collect()
    for _ in range(10):
        _CyclicGarbage()
    assert count_lines(lambda: list(map(list, [()] * 10 * threshold))) < 100
