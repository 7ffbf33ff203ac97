"""Retry policy: when a request is retried, at which endpoint, and how long each attempt may take.

The policy follows Hong, Huang and Yan, "Impact of Retransmission Mechanism on SIP Overload". The gap between
two attempts starts at T1 and doubles each time. A retry passes with a probability that falls from 1, where
the smoothed delay of the target endpoint is 0.2 T1, to 0 at T1 (their equations 18 to 21).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .concurrency_limit import ConcurrencyLimit
from .delay_estimate import Q_MIN, DelayEstimate
from .endpoint import Endpoint
from .endpoint_index import EndpointIndex
from .endpoint_selection import EndpointSelector
from .idempotency import DeduplicationScope, Idempotency
from .protocol_rules import ProtocolRules
from .request import Request
from .settings import Settings

__all__ = ["RetryPolicy", "pass_probability"]

MAX_GAP_DOUBLINGS = 6
"""Maximum number of times the gap doubles, as in the paper."""
MIN_T1_OBJECTIVE_SHARE = 0.75
"""Minimum T1 as a share of the latency objective; below 1, so that a retry can still meet the objective."""
T1_LATENCY_DEVIATIONS = 3.0
"""T1 is at least this many deviations above the mean latency, limited by `MAX_T1_TIME_SHARE`."""
MAX_T1_TIME_SHARE = 0.9
"""Maximum T1 as a share of the time from the request's arrival to its deadline."""
MAX_SCANNED_ENDPOINTS = 8
"""Maximum number of further endpoints that a blocked retry checks, which bounds the cost of a retry."""


class RetryPolicy:
    """Decides when and where requests are retried."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointIndex,
        limit: ConcurrencyLimit,
        rules: ProtocolRules,
        selector: EndpointSelector,
        random: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._limit = limit
        self._rules = rules
        self._selector = selector
        self._random = random
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._max_attempts = settings.limits.max_attempts
        self._tick_ns = settings.tick_ns

    def t1(self, request: Request) -> int:
        """Return T1 for a request, in ns: well above its expected latency, less than the time it has."""
        longest_ns = MAX_T1_TIME_SHARE * (request.deadline - request.arrived_at)
        # The objective sets a minimum: a T1 learned from a few short responses alone would be too short.
        expected_ns = max(
            request.expected_latency(T1_LATENCY_DEVIATIONS), MIN_T1_OBJECTIVE_SHARE * request.objective_ns
        )
        return max(self._tick_ns, int(min(expected_ns, longest_ns)))

    def next_gap(self, request: Request) -> int:
        """Return the length of the request's next gap in ns."""
        return request.t1 << min(request.gap_count, MAX_GAP_DOUBLINGS)

    def start_gap(self, request: Request) -> int:
        """Start the next gap and return its length in ns."""
        gap = self.next_gap(request)
        request.gap_count += 1
        return gap

    def attempt_timeout(self, request: Request, now: int) -> int:
        """Return the timeout in ns of an attempt sent now: a gap if a retry could follow it, else 0."""
        time_left = request.deadline - now
        gap = self.next_gap(request)
        traffic_class = request.traffic_class
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT or traffic_class.is_streaming:
            return 0
        if 2 * gap > time_left or request.attempt_count >= self._max_attempts:
            return 0
        # A retry that would miss the objective at the mean latency would only duplicate work, as healthy
        # endpoints may be slow, mainly with long requests. An endpoint that does not respond is detected
        # anyway, by its overdue attempt.
        if gap + request.expected_latency(0.0) > request.arrived_at + request.objective_ns - now:
            return 0
        if traffic_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            window_ends_at = (request.first_sent_at or now) + traffic_class.deduplication_window_ns
            if now + gap >= window_ends_at:
                return 0
        return gap

    def select_endpoint(self, request: Request, now: int) -> Endpoint | None:
        """Select an endpoint that the retry may be sent to; None if all those tried are blocked.

        A random candidate pair is tried first, then other candidates, then remote endpoints if requests spill
        over.
        """
        candidates = self._candidates(request)
        best = self._selector.pick_less_loaded(request, candidates, now, 1)
        if best is not None and not self._is_blocked(request, best, now):
            return best
        scanned = self._scan(request, candidates, best, now)
        if scanned is not None:
            return scanned
        if self._endpoints.ready_remote and self._selector.should_spill_over(now):
            remote_candidates = self._endpoints.remote_pool.endpoints
            remote = self._selector.pick_less_loaded(request, remote_candidates, now, 1)
            if remote is not None and not self._is_blocked(request, remote, now):
                return remote
        return None

    def _candidates(self, request: Request) -> Sequence[Endpoint]:
        """Return the candidates of a retry: the local pool, or endpoints in the deduplication scope."""
        first_endpoint, traffic_class = request.first_endpoint, request.traffic_class
        if (
            first_endpoint is None
            or traffic_class.idempotency is not Idempotency.IDEMPOTENCY_KEY
            or traffic_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return self._endpoints.local_pool.endpoints
        if traffic_class.deduplication_scope is DeduplicationScope.CELL:
            return self._endpoints.ready_by_cell.get(first_endpoint.cell, [])
        return self._endpoints.ready_by_zone[first_endpoint.zone]

    def _scan(
        self, request: Request, candidates: Sequence[Endpoint], tried: Endpoint | None, now: int
    ) -> Endpoint | None:
        """Return an endpoint that the retry may be sent to, scanning candidates from a random position."""
        size = len(candidates)
        start = int(self._random() * size)
        for step in range(min(size, MAX_SCANNED_ENDPOINTS)):
            endpoint = candidates[(start + step) % size]
            if endpoint is tried or endpoint is request.last_endpoint or endpoint.slow_start_until > now:
                continue
            if self._rules.may_send(request, endpoint, now) and not self._is_blocked(request, endpoint, now):
                return endpoint
        return None

    def _is_blocked(self, request: Request, endpoint: Endpoint, now: int) -> bool:
        pool = self._endpoints.pool_of(endpoint)
        if not self._limit.has_capacity(pool, request.t1, now):
            return True
        return self._random() >= pass_probability(endpoint, request.t1, now)


def pass_probability(estimate: DelayEstimate, t1: int, now: int) -> float:
    """Return the probability with which a retry passes the gate (the paper's retransmission probability)."""
    return min(max((t1 - estimate.current_delay(t1, now)) / (t1 - Q_MIN * t1), 0.0), 1.0)
