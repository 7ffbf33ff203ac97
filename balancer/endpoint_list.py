"""Types of the endpoint list as published by discovery."""

from __future__ import annotations

from collections.abc import Hashable
from enum import IntEnum
from typing import NamedTuple

__all__ = ["EndpointEntry", "EndpointId", "EndpointState", "UpdateKind"]

EndpointId = Hashable
"""Opaque ID of an endpoint; it is only compared and passed back unchanged."""


class EndpointState(IntEnum):
    """State of an endpoint according to discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """Content of a discovery event."""

    DELTA = 0
    """Only the changed entries."""
    SNAPSHOT = 1
    """All entries."""
    CACHED = 2
    """All entries as known before the gateway started."""
    FAILED = 3
    """No entries: a call has failed or a watch has broken."""


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: EndpointId
    zone: int
    machine_type: int
    cell: int
    state: EndpointState
    weight: float = 1.0
    started_ns: int = 0
    """Time of its last start on the balancer's clock; 0 if that is long past."""
