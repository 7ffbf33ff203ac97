"""State of a request without a final response yet, and of its attempts."""

from __future__ import annotations

from .endpoint import Endpoint, EndpointPool
from .tenant_quota import TenantQuota
from .traffic_class import TrafficClass

__all__ = ["Attempt", "Request"]


class Request:
    """State of a request from its arrival to its final response."""

    __slots__ = (
        "arrived_at",
        "attempt_count",
        "attempts_in_flight",
        "cost_hint_ns",
        "deadline",
        "deadline_timer",
        "first_endpoint",
        "first_sent_at",
        "gap_count",
        "is_done",
        "is_over_quota",
        "is_queued",
        "is_streaming",
        "last_endpoint",
        "last_sent_at",
        "objective_ns",
        "request_id",
        "t1",
        "tenant",
        "traffic_class",
        "wait_ends_at",
        "wait_timer",
    )

    def __init__(
        self,
        request_id: int,
        traffic_class: TrafficClass,
        arrived_at: int,
        timeout_ns: int,
        cost_hint_ns: int,
        tenant: TenantQuota | None,
    ) -> None:
        self.request_id = request_id
        self.traffic_class = traffic_class
        self.arrived_at = arrived_at
        self.objective_ns = traffic_class.latency_objective_ns + int(
            traffic_class.objective_cost_factor * cost_hint_ns
        )
        # If a late response has no weight, work after the objective is wasted: the objective is the deadline.
        late_response_counts = traffic_class.late_weight or traffic_class.is_streaming
        self.deadline = arrived_at + (
            timeout_ns if late_response_counts else min(timeout_ns, self.objective_ns)
        )
        self.cost_hint_ns = cost_hint_ns
        self.tenant = tenant
        self.is_over_quota = False
        self.t1 = 0
        """First gap between two attempts, in nanoseconds (T1 in the paper)."""
        self.attempt_count = 0
        self.gap_count = 0
        """Number of gaps begun; their length doubles with each, at most `retry.MAX_GAP_DOUBLINGS` times."""
        self.wait_ends_at = 0
        """When the current wait ends, in the queue or for a gap."""
        self.deadline_timer: int | None = None
        """Token of the timer for the deadline; None if it is not set."""
        self.wait_timer: int | None = None
        """Token of the last timer for the end of a wait; None if there was no wait."""
        self.last_sent_at = 0
        self.last_endpoint: Endpoint | None = None
        self.first_endpoint: Endpoint | None = None
        """Endpoint of the first attempt that may have been processed; None if there is none."""
        self.first_sent_at = 0
        self.attempts_in_flight: set[int] = set()
        self.is_streaming = False
        """Whether a streamed response has begun: the request has no deadline and gets no further attempt."""
        self.is_queued = False
        self.is_done = False

    def expected_latency(self, deviations: float) -> float:
        """Return the expected latency in ns; 0 before any response.

        It is the class mean plus these deviations, times cost.
        """
        traffic_class = self.traffic_class
        return (traffic_class.mean + deviations * traffic_class.deviation) * (self.cost_hint_ns or 1)


class Attempt:
    """An attempt in flight; it may outlive its request, as its outcome still counts for the endpoint."""

    __slots__ = ("endpoint", "has_released_capacity", "is_overdue", "number", "pool", "request", "timer")

    def __init__(self, request: Request, number: int, endpoint: Endpoint, pool: EndpointPool) -> None:
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.pool = pool
        self.is_overdue = False
        """Whether it was counted as a failure of its endpoint while in flight."""
        self.has_released_capacity = False
        """Whether it no longer counts against the capacity of its pool."""
        self.timer: int | None = None
        """Token of the timer for its first T1; None if it is not set."""

    def release_capacity(self) -> None:
        """Stop counting against the pool's capacity: its endpoint is not ready, or does not respond."""
        if not self.has_released_capacity:
            self.has_released_capacity = True
            self.pool.in_flight -= 1
            self.endpoint.released_in_flight += 1

    def remove_from_counts(self) -> None:
        """Remove the ended attempt from the counts of its endpoint and pool."""
        self.endpoint.in_flight -= 1
        if self.has_released_capacity:
            self.endpoint.released_in_flight -= 1
        else:
            self.pool.in_flight -= 1
