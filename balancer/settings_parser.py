"""Parses `Settings` from the JSON object in the gateway's configuration and the simulator's messages.

The key names are set by the operators. Unknown keys are ignored; most missing keys take a default.
"""

from __future__ import annotations

import json
from typing import Any

from .idempotency import DeduplicationScope, Idempotency
from .settings import Limits, RequestClass, Rules, ScorePenalties, ScoreWeights, Settings, Tenant

__all__ = ["SettingsError", "parse_settings", "parse_tenant"]

JsonObject = dict[str, Any]
"""A JSON object whose values have not been validated yet."""

_IDEMPOTENCY = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
_LOAD_REPORT_FIELDS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "service_ms",
    "throughput": "rate",
    "errors_per_s": "error_rate",
}


class SettingsError(ValueError):
    """A settings object is malformed or has an invalid value."""


def _parse_classes(rows: list[JsonObject]) -> tuple[RequestClass, ...]:
    return tuple(
        RequestClass(
            name=str(row.get("name", index)),
            latency_objective_ns=int(row.get("slo-ns", row["give-up-ns"])),
            max_timeout_ns=int(row["give-up-ns"]),
            idempotency=_IDEMPOTENCY[row["effect"]],
            deduplication_scope=DeduplicationScope(row.get("group", "all")),
            deduplication_window_ns=int(row.get("window-ns", 0)),
            priority_weight=float(row.get("credit", 1.0)),
            late_weight=float(row.get("late-value", 0.0)),
            streaming=bool(row.get("stream", False)),
            objective_cost_factor=float(row.get("aim-stretch", 0.0)),
        )
        for index, row in enumerate(rows)
    )


def _parse_limits(caps: JsonObject) -> Limits:
    return Limits(
        max_attempts=int(caps.get("max-attempts", 3)),
        cancellation=bool(caps.get("cancel", False)),
        hedging=bool(caps.get("may-duplicate", False)),
        health_checks=bool(caps.get("probes", False)),
        gossip=bool(caps.get("peers", False)),
        retry_after=bool(caps.get("retry-after", False)),
        max_retry_after_ns=int(caps.get("max-retry-after-ns", 0)),
        connect_timeout_ns=int(caps.get("dial-timeout-ns", 0)),
        idle_timeout_ns=int(caps.get("conn-idle-ns", 0)),
        streams_per_connection=int(caps.get("streams-per-conn", 1)),
        max_open_requests=int(caps.get("open-cap", 0)),
        cpu_us_per_s=float(caps.get("cpu-us-per-s", 0.0)),
        cpu_us_per_request=float(caps.get("cpu-us-per-request", 0.0)),
    )


def _parse_rules(rules: JsonObject) -> Rules:
    default = Rules()
    return Rules(
        response_slack_ns=int(rules.get("answer-slack-ns", default.response_slack_ns)),
        drain_grace_ns=int(rules.get("drain-grace-ns", default.drain_grace_ns)),
        poll_interval_ns=int(rules.get("ask-within-ns", default.poll_interval_ns)),
        slow_start_initial_share=float(rules.get("cold-from", default.slow_start_initial_share)),
        slow_start_window_ns=int(rules.get("warm-within-ns", default.slow_start_window_ns)),
        overload_factor=float(rules.get("overload-factor", default.overload_factor)),
        overload_window_ns=int(rules.get("fall-ns", default.overload_window_ns)),
    )


def _parse_penalties(prices: JsonObject) -> ScorePenalties:
    return ScorePenalties(
        cross_zone=float(prices.get("cross-zone", 0.0)),
        waste=float(prices.get("waste", 0.0)),
        health_check=float(prices.get("probe", 0.0)),
        handshake=float(prices.get("handshake", 0.0)),
        connection=float(prices.get("connection", 0.0)),
        late_failure=float(prices.get("late-fail", 0.0)),
    )


def _parse_score_weights(goal: JsonObject) -> ScoreWeights:
    return ScoreWeights(
        overall=float(goal.get("whole", 0.0)),
        worst_window=float(goal.get("worst-window", 0.0)),
        worst_class=float(goal.get("worst-class", 0.0)),
        worst_tenant=float(goal.get("worst-tenant", 0.0)),
        nines=float(goal.get("nines-part", 0.0)),
        top_nines=float(goal.get("top-nines", 3.0)),
    )


def parse_tenant(row: JsonObject, index: int) -> Tenant:
    """Parse a tenant from its row of `realms`; the name defaults to `index`, its position."""
    return Tenant(
        str(row.get("name", index)), float(row.get("allowance-per-s", 0.0)), float(row.get("portion", 0.0))
    )


def parse_settings(text: bytes) -> Settings:
    """Parse the settings of a gateway from a JSON object in UTF-8.

    Raises `SettingsError` if the object is malformed or has an invalid value.
    """
    try:
        values = json.loads(text)
        report = values.get("load-report", {})
        return Settings(
            zone=int(values.get("az", 0)),
            zones=max(1, len(values.get("zones", ()))),
            classes=_parse_classes(values["request-classes"]),
            tenants=tuple(parse_tenant(row, index) for index, row in enumerate(values.get("realms", ()))),
            limits=_parse_limits(values.get("caps", {})),
            rules=_parse_rules(values.get("rules", {})),
            penalties=_parse_penalties(values.get("prices", {})),
            score_weights=_parse_score_weights(values.get("goal", {})),
            weight_mode=str(values.get("weights", "off")),
            machine_types=len(values.get("flavors", ())),
            clients_mark_retries=bool(values.get("callers", {}).get("marks-retry", False)),
            replica_index=int(values.get("my-number", 0)),
            replicas=max(1, int(values.get("replicas-of-me", 1))),
            tick_ns=max(1, int(values.get("round-ns", 1_000_000))),
            poll_discovery=values.get("discovery") == "on_request",
            load_report_fields=tuple(
                _LOAD_REPORT_FIELDS.get(name, name) for name in report.get("columns", ())
            ),
            load_report_inline=report.get("source") == "inline",
            over_quota_weight=float(values.get("over-share-worth", 1.0)),
            warm_keys=bool(values.get("family-info", {}).get("warm-keys", False)),
            weight_by_work=values.get("value-by") == "work",
        )
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise SettingsError(f"malformed boot-info: {error!r}") from None
