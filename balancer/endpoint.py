"""State of an endpoint and of the pools from which this gateway selects endpoints."""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from .delay_estimate import DelayEstimate
from .endpoint_list import EndpointEntry, EndpointState

__all__ = ["ASSUMED_IN_FLIGHT", "Endpoint", "EndpointPool", "IndexKey"]

ASSUMED_IN_FLIGHT = 3.0
"""Requests in flight assumed for an endpoint before its first load report."""


class IndexKey(NamedTuple):
    """Zone and cell under which the index lists an endpoint."""

    zone: int
    cell: int


class Endpoint(DelayEstimate):
    """State of one endpoint; its delay estimate covers this gateway's attempts, in ns."""

    __slots__ = (
        "broken_streak",
        "cell",
        "credit_updated_at",
        "endpoint_id",
        "in_flight",
        "index_key",
        "last_was_rejection",
        "mean_latency",
        "mean_reported_in_flight",
        "relative_latency",
        "released_in_flight",
        "reported_in_flight",
        "ring_position",
        "slow_start_credit",
        "slow_start_until",
        "started_at",
        "state",
        "weight",
        "zone",
    )

    def __init__(self, entry: EndpointEntry) -> None:
        super().__init__()
        name = repr(entry.endpoint_id)
        self.endpoint_id = entry.endpoint_id
        self.zone = entry.zone
        self.cell = entry.cell
        self.weight = 1.0
        self.state = EndpointState.GONE
        self.ring_position = (crc32(name.encode()), name)
        """Sort key in the ring of all endpoints, the same at every gateway."""
        self.index_key: IndexKey | None = None
        """Zone and cell under which the index lists it; None if it is not listed."""
        self.started_at = 0
        """Time of its last start; 0 if that is long past."""
        self.in_flight = 0
        """This gateway's attempts in flight at it."""
        self.released_in_flight = 0
        """Attempts in flight at it that no longer count against the pool's capacity."""

    def clear(self) -> None:
        """Reset all estimates: a restarted endpoint is treated as a new one."""
        super().clear()
        self.relative_latency = 1.0
        """Smoothed ratio of its latency to the mean latency of the requests' classes."""
        self.mean_latency = 0.0
        """Smoothed latency of responses with a load report, in ns."""
        self.mean_reported_in_flight = 0.0
        self.reported_in_flight = ASSUMED_IN_FLIGHT
        """Requests in flight for all gateways, from its last load report."""
        self.broken_streak = 0
        """Consecutive attempts that ended with a broken connection or an invalid response."""
        self.last_was_rejection = False
        """Whether it rejected the last attempt that succeeded or was rejected; other failures don't count."""
        self.slow_start_until = 0
        self.slow_start_credit = 0.0
        """Attempts that this gateway may send now while the endpoint is in slow start."""
        self.credit_updated_at = 0


class EndpointPool(DelayEstimate):
    """Endpoints of the gateway's zone, or of the other zones, from which the gateway selects.

    The delay estimate is in ns, scaled as if the T1 of each request were `REFERENCE_T1_NS`.
    """

    __slots__ = ("effective_size", "endpoints", "in_flight", "limit")

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: list[Endpoint] = []
        self.effective_size = 0.0
        """Endpoints for which the limit is sized; one in slow start counts with its capacity share."""
        self.in_flight = 0
        """Attempts in flight that count against the limit, without those whose capacity was released."""
        self.limit = 0.0
        """Maximum number of attempts in flight; 0 until the pool first has an endpoint."""
