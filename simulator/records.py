"""Record types of a batch; all but `EndpointListPage` are events of one balancer instance.

Integers and bytes have their values from the wire; durations and times are in nanoseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from balancer import EndpointEntry

__all__ = [
    "AttemptEnded",
    "ClientGone",
    "EndpointListPage",
    "EndpointListUpdated",
    "GossipReceived",
    "HealthChecked",
    "InstanceStarted",
    "InstanceStopped",
    "Record",
    "RecordCode",
    "RequestArrived",
    "ResponseStarted",
    "TimerExpired",
    "WireError",
]


class WireError(Exception):
    """Raised for input that violates the wire format; the message is a single line."""


class RecordCode(IntEnum):
    """First byte of a record; identifies the record's type."""

    INSTANCE_STARTED = 1
    ENDPOINT_LIST_UPDATED = 2
    REQUEST_ARRIVED = 3
    RESPONSE_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_GONE = 6
    TIMER_EXPIRED = 7
    HEALTH_CHECKED = 8
    GOSSIP_RECEIVED = 9
    INSTANCE_STOPPED = 10
    ENDPOINT_LIST_PAGE = 11


class InstanceStarted(NamedTuple):
    """Request to create a balancer instance."""

    instance: int
    seed: int
    settings: bytes
    """JSON object to be parsed by `balancer.settings_parser`."""


class InstanceStopped(NamedTuple):
    """Request to remove a balancer instance, which receives no further events."""

    instance: int


class EndpointListPage(NamedTuple):
    """An endpoint list with a number by which later events refer to it."""

    page: int
    entries: list[EndpointEntry]


class EndpointListUpdated(NamedTuple):
    """An endpoint list page from discovery for an instance, or a failed discovery call."""

    instance: int
    update_kind: int
    """Value of `balancer.UpdateKind`, not yet validated."""
    generation: int
    page: int


class RequestArrived(NamedTuple):
    """A request from a client."""

    instance: int
    request_id: int
    class_index: int
    tenant_index: int
    routing_key: int
    timeout_ns: int
    cost_hint_ns: int
    flags: int
    """Bit mask: 1 the request has a cost hint, 2 the client marked it as a retry, 4 it is a write."""


class ResponseStarted(NamedTuple):
    """Start of a streamed response to an attempt."""

    instance: int
    request_id: int
    attempt: int


class AttemptEnded(NamedTuple):
    """End of an attempt, with its outcome."""

    instance: int
    request_id: int
    attempt: int
    endpoint_id: bytes
    outcome_code: int
    elapsed_ns: int
    is_final: int
    load_report: tuple[float, ...]


class ClientGone(NamedTuple):
    """Disconnect of the client of a request."""

    instance: int
    request_id: int


class TimerExpired(NamedTuple):
    """Expiry of a timer set by the instance."""

    instance: int
    token: int


class HealthChecked(NamedTuple):
    """Result of a health check of an endpoint."""

    instance: int
    endpoint_id: bytes
    outcome_code: int
    elapsed_ns: int
    load_report: tuple[float, ...]


class GossipReceived(NamedTuple):
    """A gossip message from a peer."""

    instance: int
    peer: int
    content: bytes


Record = (
    InstanceStarted
    | InstanceStopped
    | EndpointListPage
    | EndpointListUpdated
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientGone
    | TimerExpired
    | HealthChecked
    | GossipReceived
)
