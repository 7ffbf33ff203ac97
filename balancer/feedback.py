"""Updates delay estimates, failure statistics and concurrency limits from the outcomes of attempts."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .delay_estimate import Q_MIN, REFERENCE_T1_NS
from .endpoint import Endpoint
from .endpoint_index import EndpointIndex
from .interface import AttemptResult
from .load_report import ENDPOINT_SMOOTHING_WEIGHT, LoadReports
from .outcomes import Outcome
from .outlier import BROKEN_OUTCOMES, counts_as_failure
from .request import Attempt, Request
from .retry import T1_LATENCY_DEVIATIONS
from .slow_start import SlowStart
from .throughput import Throughput

__all__ = ["Feedback"]

MAX_POOL_DELAY_T1 = 1.0
"""Maximum delay of one observation in a pool's estimate, in T1, positive or negative."""
MAX_LATENCY_RATIO = 8.0
"""Maximum latency of one response, as a multiple of its class's mean latency."""
ERROR_DELAY_T1 = 2.0
"""Delay that an error counts as, in T1: it must outweigh the fast responses between fast errors."""


class Feedback:
    """Passes the outcomes of attempts on to the estimators."""

    def __init__(
        self,
        endpoints: EndpointIndex,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        throughput: Throughput,
        load_reports: LoadReports,
    ) -> None:
        self._endpoints = endpoints
        self._limit = limit
        self._slow_start = slow_start
        self._throughput = throughput
        self._load_reports = load_reports

    def record_outcome(self, attempt: Attempt, result: AttemptResult, now: int) -> Outcome:
        """Record how an attempt ended and return the outcome that it counts as."""
        request, endpoint = attempt.request, attempt.endpoint
        outcome = result.outcome
        if outcome is Outcome.CANCELLED and result.elapsed_ns >= _silence_timeout(request):
            # The client left or the deadline passed, and the endpoint did not respond for long enough to
            # count as a timeout. Requests that were queued, or that arrived with less time than T1, may be
            # the only ones to show that an endpoint does not respond.
            outcome = Outcome.TIMEOUT
        endpoint.broken_streak = endpoint.broken_streak + 1 if outcome in BROKEN_OUTCOMES else 0
        if outcome is Outcome.OK:
            self._throughput.count_response(now)
            self._record_success(request, endpoint, result, now)
            baseline_latency = request.traffic_class.baseline * (request.cost_hint_ns or 1)
            self._throughput.record_baseline_latency(baseline_latency)
        elif counts_as_failure(outcome, endpoint) and not attempt.is_overdue:
            self._record_failure(request, endpoint, outcome, result.elapsed_ns, now)
        return outcome

    def record_overdue(self, request: Request, endpoint: Endpoint, now: int) -> None:
        """Record an attempt without a timeout, in flight for T1: its endpoint may not be responding."""
        endpoint.observe(request.t1, request.t1, now, now - request.t1)

    def _record_success(self, request: Request, endpoint: Endpoint, result: AttemptResult, now: int) -> None:
        """Record a successful response."""
        traffic_class = request.traffic_class
        units = request.cost_hint_ns or 1
        sample = result.elapsed_ns / units
        is_congested = sample > traffic_class.baseline and self._is_slowdown_expected(endpoint, now)
        traffic_class.record_latency(sample, units, endpoint.in_flight, is_congested)
        ratio = min(sample / traffic_class.mean, MAX_LATENCY_RATIO)
        endpoint.relative_latency += ENDPOINT_SMOOTHING_WEIGHT * (ratio - endpoint.relative_latency)
        delay = self._queueing_delay(request, endpoint, result, now)
        self._observe(endpoint, delay, request.t1, now)

    def _record_failure(
        self, request: Request, endpoint: Endpoint, outcome: Outcome, elapsed_ns: int, now: int
    ) -> None:
        """Record a failure that counts against the endpoint."""
        if outcome is Outcome.TIMEOUT:
            delay = float(elapsed_ns)  # a timeout before T1 shows only that the delay is at least this
        elif outcome is Outcome.ERROR or outcome in BROKEN_OUTCOMES:
            delay = ERROR_DELAY_T1 * request.t1
        else:
            delay = float(request.t1)
        was_rejected = outcome is Outcome.OVERLOADED
        self._observe(endpoint, delay, request.t1, now, now - elapsed_ns, was_rejected)

    def _is_slowdown_expected(self, endpoint: Endpoint, now: int) -> bool:
        """Whether slow start or congestion explains a slow response, which must not set the baseline."""
        if endpoint.slow_start_until > now:
            return True
        return self._endpoints.pool_of(endpoint).current_delay(REFERENCE_T1_NS, now) > Q_MIN * REFERENCE_T1_NS

    def _queueing_delay(self, request: Request, endpoint: Endpoint, result: AttemptResult, now: int) -> float:
        """Return the queueing delay that a response indicates, in ns.

        It is negative for a response that is faster than the baseline. The work of requests varies as much as
        the delay does, so negative values are needed for a mean around zero where there is no delay.
        """
        measured = self._measured_delay(request, endpoint, result.elapsed_ns, now)
        reported = self._load_reports.queueing_delay(endpoint, result.elapsed_ns, result.load_report)
        if reported is None:
            return measured
        if self._load_reports.reports_speed:
            return reported
        # The report covers the requests of all gateways but not the endpoint's speed; the latency shows its
        # speed but not the load from other gateways.
        return (reported + measured) / 2

    def _measured_delay(self, request: Request, endpoint: Endpoint, elapsed_ns: int, now: int) -> float:
        """Return how much longer a response took than the baseline, in ns."""
        units = request.cost_hint_ns or 1
        sample = elapsed_ns / units
        baseline = request.traffic_class.baseline
        delay = (sample - baseline) * units
        if delay > 0 and endpoint.slow_start_until > now:
            # Latency that the minimum capacity in slow start explains does not count as queueing.
            return max(0.0, (sample - baseline / self._slow_start.slow_start_share(endpoint, now)) * units)
        return delay

    def _observe(
        self,
        endpoint: Endpoint,
        delay: float,
        t1: int,
        now: int,
        failed_attempt_sent_at: int | None = None,
        was_rejected: bool = False,
    ) -> None:
        """Record a delay at an endpoint and its pool, and adapt the pool's limit."""
        endpoint.last_was_rejection = was_rejected or (
            failed_attempt_sent_at is not None and endpoint.last_was_rejection
        )
        endpoint.observe(delay, t1, now, failed_attempt_sent_at)
        pool = self._endpoints.pool_of(endpoint)
        pool_delay = max(-MAX_POOL_DELAY_T1, min(delay / t1, MAX_POOL_DELAY_T1)) * REFERENCE_T1_NS
        pool.observe(pool_delay, REFERENCE_T1_NS, now, failed_attempt_sent_at)
        self._limit.adapt(pool, endpoint, was_rejected, t1, now)


def _silence_timeout(request: Request) -> float:
    """Return the time in ns after which a cancelled attempt without a response counts as a timeout."""
    if not request.traffic_class.mean:
        return request.t1
    return min(request.t1, request.expected_latency(T1_LATENCY_DEVIATIONS))
