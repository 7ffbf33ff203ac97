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
    """Creates a balancer instance."""

    instance: int
    seed: int
    settings: bytes
    """JSON object to be parsed by `balancer.settings_parser`."""


class InstanceStopped(NamedTuple):
    """Removes a balancer instance, which receives no further events."""

    instance: int


class EndpointListPage(NamedTuple):
    """An endpoint list with a number by which later events refer to it."""

    page: int
    entries: list[EndpointEntry]


class EndpointListUpdated(NamedTuple):
    """Discovery sent an endpoint list page to an instance, or a discovery call failed."""

    instance: int
    update_kind: int
    """Value of `balancer.UpdateKind`, not yet validated."""
    generation: int
    page: int


class RequestArrived(NamedTuple):
    """A request arrived from a client."""

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
    """The response to an attempt started to stream."""

    instance: int
    request_id: int
    attempt: int


class AttemptEnded(NamedTuple):
    """An attempt ended with an outcome."""

    instance: int
    request_id: int
    attempt: int
    endpoint_id: bytes
    outcome_code: int
    elapsed_ns: int
    is_final: int
    load_report: tuple[float, ...]


class ClientGone(NamedTuple):
    """The client of a request disconnected."""

    instance: int
    request_id: int


class TimerExpired(NamedTuple):
    """A timer set by the instance expired."""

    instance: int
    token: int


class HealthChecked(NamedTuple):
    """A health check of an endpoint ended."""

    instance: int
    endpoint_id: bytes
    outcome_code: int
    elapsed_ns: int
    load_report: tuple[float, ...]


class GossipReceived(NamedTuple):
    """A gossip message arrived from a peer."""

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
