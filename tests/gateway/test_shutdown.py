"""Tests of the schedule of a graceful shutdown, and of the division of descriptors and memory."""

from __future__ import annotations

import json
import resource
from typing import Any

import pytest

from balancer import MS, SECOND
from balancer.settings_parser import parse_settings
from gateway.resource_budget import MIN_DESCRIPTORS, ResourceBudget, peer_memory_bytes
from gateway.shutdown import ShutdownPhase, ShutdownSchedule
from tests.support.loopback import SETTINGS


def schedule_for(deadline_ns: int) -> ShutdownSchedule:
    classes = [{**row, "give-up-ns": deadline_ns} for row in SETTINGS["request-classes"]]
    settings: dict[str, Any] = {**SETTINGS, "request-classes": classes}
    return ShutdownSchedule.for_settings(parse_settings(json.dumps(settings).encode()))


@pytest.mark.parametrize(
    ("deadline_ns", "draining_ns", "overdue_ns"),
    [
        (6 * SECOND, 1500 * MS, 3200 * MS),
        (1500 * MS, 1100 * MS, 1900 * MS),
        (500 * MS, 600 * MS, 900 * MS),
    ],
)
def test_the_schedule_follows_the_longest_deadline(
    deadline_ns: int, draining_ns: int, overdue_ns: int
) -> None:
    assert schedule_for(deadline_ns) == (draining_ns, overdue_ns)


@pytest.mark.parametrize(
    ("elapsed_ns", "phase"),
    [
        (600 * MS, ShutdownPhase.SERVING),
        (1500 * MS, ShutdownPhase.DRAINING),
        (3200 * MS, ShutdownPhase.DRAINING),
        (3200 * MS + 1, ShutdownPhase.OVERDUE),
    ],
)
def test_the_phases_come_in_order(elapsed_ns: int, phase: ShutdownPhase) -> None:
    assert schedule_for(6 * SECOND).phase_at(elapsed_ns) is phase


def test_descriptors_and_memory_are_divided(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (148, 148))
    assert ResourceBudget.divide(1024) == (55, 44, 100)
    assert ResourceBudget.divide(96).open_requests == 48
    assert ResourceBudget.divide(8).open_requests == MIN_DESCRIPTORS
    assert peer_memory_bytes(32 << 20, 15 << 20) == 12 << 20
    assert peer_memory_bytes(192 << 20, 15 << 20) == 147 << 20
    assert peer_memory_bytes(32 << 20, 31 << 20) == 4 << 20
