"""Builders of settings and endpoint list entries with defaults, so that a test states only what it needs."""

from __future__ import annotations

from typing import Any

from balancer import (
    MS,
    SECOND,
    DeduplicationScope,
    EndpointEntry,
    EndpointId,
    EndpointState,
    Idempotency,
    Limits,
    RequestClass,
    Settings,
)

__all__ = ["make_class", "make_entries", "make_entry", "make_settings"]


def make_class(
    idempotency: Idempotency = Idempotency.SAFE,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
    **fields: Any,
) -> RequestClass:
    """Return a request class; default latency objective 400 ms, deadline 1 s; `fields` override them."""
    defaults: dict[str, Any] = {
        "name": "c",
        "latency_objective_ns": 400 * MS,
        "max_timeout_ns": SECOND,
        "late_weight": 0.3,
        "deduplication_window_ns": SECOND if idempotency is Idempotency.IDEMPOTENCY_KEY else 0,
    }
    return RequestClass(
        idempotency=idempotency, deduplication_scope=deduplication_scope, **(defaults | fields)
    )


def make_settings(*classes: RequestClass, zones: int = 1, **fields: Any) -> Settings:
    """Return settings of a gateway in zone 0, at most five attempts per request; `fields` override them."""
    defaults: dict[str, Any] = {
        "zone": 0,
        "zones": zones,
        "classes": classes or (make_class(),),
        "limits": Limits(max_attempts=5),
    }
    return Settings(**(defaults | fields))


def make_entry(
    endpoint_id: EndpointId,
    zone: int = 0,
    cell: int = 0,
    state: EndpointState = EndpointState.READY,
    started_ns: int = 0,
    weight: float = 1.0,
) -> EndpointEntry:
    """Return an entry of the endpoint list, by default of a ready endpoint that started long ago."""
    return EndpointEntry(endpoint_id, zone, 0, cell, state, weight, started_ns)


def make_entries(count: int) -> list[EndpointEntry]:
    """Return entries of the ready endpoints h0, h1 and so on, all in zone 0."""
    return [make_entry(f"h{number}") for number in range(count)]
