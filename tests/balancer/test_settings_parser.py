"""Tests of the settings parser: each key sets its field, and invalid values are reported as malformed."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balancer import DeduplicationScope, Idempotency
from balancer.settings_parser import SettingsError, parse_settings

SETTINGS: dict[str, Any] = {
    "az": 1,
    "zones": ["x", "y"],
    "replicas-of-me": 3,
    "round-ns": 5_000_000,
    "unheard-of": {"a": 1},
    "request-classes": [
        {
            "give-up-ns": 1_000_000_000,
            "effect": "idempotency_key",
            "group": "cell",
            "window-ns": 5_000_000_000,
        }
    ],
}


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings = parse_settings(json.dumps(SETTINGS).encode())
    assert (settings.zone, settings.zones, settings.replicas) == (1, 2, 3)
    assert settings.classes[0].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert settings.classes[0].deduplication_scope is DeduplicationScope.CELL
    assert settings.classes[0].latency_objective_ns == 1_000_000_000


@pytest.mark.parametrize(
    "change",
    [
        {"az": 2},
        {"request-classes": []},
        {"request-classes": [{"give-up-ns": 0, "effect": "read_like"}]},
        {"request-classes": [{"give-up-ns": 5, "effect": "odd"}]},
        {"rules": {"cold-from": 3}},
        {"az": None},
        {"prices": {"waste": -1}},
        {"goal": {"whole": -1}},
        {"weights": "heavy"},
        {"caps": {"streams-per-conn": 0}},
        {"realms": [{"allowance-per-s": -1}]},
        {"round-ns": 1e400},
        {"caps": {"max-attempts": -1}},
        {"my-number": -1},
    ],
)
def test_invalid_settings_are_malformed(change: dict[str, Any]) -> None:
    with pytest.raises(SettingsError):
        parse_settings(json.dumps(SETTINGS | change).encode())


def test_each_key_sets_its_field() -> None:
    parsed = parse_settings(
        json.dumps(
            SETTINGS
            | {
                "request-classes": [
                    {"give-up-ns": 900, "slo-ns": 400, "effect": "read_like", "aim-stretch": 2.5}
                ],
                "caps": {
                    "conn-idle-ns": 7,
                    "streams-per-conn": 3,
                    "cpu-us-per-s": 8000,
                    "cpu-us-per-request": 1.5,
                    "open-cap": 9,
                    "dial-timeout-ns": 11,
                },
                "prices": {
                    "cross-zone": 0.2,
                    "waste": 0.1,
                    "probe": 0.3,
                    "handshake": 0.4,
                    "connection": 0.5,
                    "late-fail": 0.6,
                },
                "goal": {
                    "whole": 0.1,
                    "worst-window": 0.2,
                    "worst-class": 0.3,
                    "worst-tenant": 0.4,
                    "nines-part": 0.5,
                    "top-nines": 2,
                },
                "realms": [{"name": "t", "allowance-per-s": 12, "portion": 0.4}],
                "over-share-worth": 0.05,
                "callers": {"marks-retry": True},
                "weights": "rough",
                "flavors": ["x", "y"],
                "load-report": {"source": "inline", "columns": ["utilization", "backlog"]},
                "value-by": "work",
            }
        ).encode()
    )
    limits, penalties, weights = parsed.limits, parsed.penalties, parsed.score_weights
    assert (limits.idle_timeout_ns, limits.streams_per_connection, limits.max_open_requests) == (7, 3, 9)
    assert (limits.cpu_us_per_s, limits.cpu_us_per_request, limits.connect_timeout_ns) == (8000, 1.5, 11)
    assert (penalties.cross_zone, penalties.waste, penalties.health_check) == (0.2, 0.1, 0.3)
    assert (penalties.handshake, penalties.connection, penalties.late_failure) == (0.4, 0.5, 0.6)
    assert (weights.overall, weights.worst_window, weights.worst_class, weights.worst_tenant) == (
        0.1,
        0.2,
        0.3,
        0.4,
    )
    assert (weights.nines, weights.top_nines) == (0.5, 2)
    assert (parsed.tenants[0].quota_per_s, parsed.tenants[0].traffic_share, parsed.over_quota_weight) == (
        12,
        0.4,
        0.05,
    )
    assert (parsed.clients_mark_retries, parsed.weight_mode, parsed.machine_types, parsed.weight_by_work) == (
        True,
        "rough",
        2,
        True,
    )
    assert (parsed.load_report_inline, parsed.load_report_fields) == (True, ("util", "queue"))
    assert parsed.classes[0].objective_cost_factor == 2.5
