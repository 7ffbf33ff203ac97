"""Request lifecycle: admission, queueing for capacity, attempts, retries and the one final response."""

from __future__ import annotations

from .endpoint import Endpoint
from .endpoint_index import EndpointIndex
from .endpoint_list import EndpointState
from .endpoint_selection import EndpointSelector
from .feedback import Feedback
from .idempotency import Idempotency
from .interface import Actions, AttemptResult
from .load_shedding import LoadShedder
from .outcomes import NOT_PROCESSED, EndReason, Outcome
from .outlier import MAX_FAILURE_SHARE
from .protocol_rules import ProtocolRules
from .request import Attempt, Request
from .retry import RetryPolicy
from .settings import Settings
from .timer_registry import TimerRegistry
from .units import SECOND
from .wait_queue import WaitQueue

__all__ = ["RequestLifecycle"]

MAX_QUEUE_TIME_SHARE = 0.5
"""Longest time that a request waits for capacity, as a share of its latency objective."""


class RequestLifecycle:
    """Manages the open requests and the attempts in flight of one gateway."""

    def __init__(
        self,
        settings: Settings,
        actions: Actions,
        timers: TimerRegistry,
        endpoints: EndpointIndex,
        rules: ProtocolRules,
        selector: EndpointSelector,
        retries: RetryPolicy,
        load_shedder: LoadShedder,
        wait_queue: WaitQueue,
        feedback: Feedback,
    ) -> None:
        self._settings = settings
        self._actions = actions
        self._timers = timers
        self._endpoints = endpoints
        self._rules = rules
        self._selector = selector
        self._retries = retries
        self._load_shedder = load_shedder
        self._wait_queue = wait_queue
        self._feedback = feedback
        self.requests: dict[int, Request] = {}
        """Requests without a final response yet, by request ID."""
        self.attempts: dict[tuple[int, int], Attempt] = {}
        """Attempts in flight, by request ID and attempt number."""

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._settings = settings

    # ---- Admission and queueing ------------------------------------------------------------------

    def admit(self, request: Request, now: int) -> None:
        """Admit a new request: send it, queue it, or end it at once."""
        request.t1 = self._retries.t1(request)
        self.requests[request.request_id] = request
        self.dispatch_queued(now)
        # Ensures a response before the deadline even if no other event ends the request.
        request.deadline_timer = self._timers.set(request, request.deadline - now - self._settings.tick_ns)
        if self._load_shedder.should_shed(request, now):
            self._fail_or_reject(request, EndReason.INSUFFICIENT_TIME)
            return
        # Queued requests come first: a new one is not sent while others wait.
        endpoint = None if len(self._wait_queue) else self._selector.select_for_first_attempt(request, now)
        if endpoint is not None:
            self._send(request, endpoint, now)
        elif request.is_over_quota:
            self._fail_or_reject(request, EndReason.QUOTA_EXCEEDED)
        else:
            self._enqueue(request, now)

    def dispatch_queued(self, now: int) -> None:
        """Send queued requests while there is capacity."""
        while (request := self._wait_queue.peek()) is not None:
            if self._load_shedder.should_shed(request, now):
                self._wait_queue.discard(request)
                self._fail_or_reject(request, EndReason.INSUFFICIENT_TIME)
                continue
            endpoint = self._selector.select_for_first_attempt(request, now)
            if endpoint is None:
                return
            self._wait_queue.discard(request)
            self._send(request, endpoint, now)

    def _enqueue(self, request: Request, now: int) -> None:
        """Queue a request for capacity, for at most `MAX_QUEUE_TIME_SHARE` of its latency objective."""
        latest = request.arrived_at + int(MAX_QUEUE_TIME_SHARE * request.objective_ns)
        request.wait_ends_at = min(latest, request.deadline - self._settings.tick_ns)
        self._wait_queue.add(request, self._priority(request))
        request.wait_timer = self._timers.set(request, request.wait_ends_at - now)

    def _priority(self, request: Request) -> float:
        """Return the priority weight per second of expected work, or the weight if that grows with work."""
        traffic_class = request.traffic_class
        if self._settings.weight_by_work:
            return traffic_class.priority_weight
        work = max(traffic_class.baseline * (request.cost_hint_ns or 1), 1.0)
        return traffic_class.priority_weight * SECOND / work

    # ---- Attempts --------------------------------------------------------------------------------

    def start_response(self, request_id: int, attempt: int) -> None:
        """Handle the start of a streamed response."""
        request = self.requests.get(request_id)
        if request is not None and attempt in request.attempts_in_flight:
            request.is_streaming = True

    def end_attempt(self, result: AttemptResult, now: int) -> None:
        """Handle the end of an attempt."""
        attempt = self.attempts.pop((result.request_id, result.attempt), None)
        if attempt is None:
            return
        self._timers.cancel(attempt.timer)
        attempt.remove_from_counts()
        attempt.request.attempts_in_flight.discard(result.attempt)
        outcome = self._feedback.record_outcome(attempt, result, now)
        self._handle_outcome(attempt, outcome, result.is_final, now)
        self.dispatch_queued(now)

    def release_unavailable(self) -> None:
        """Release the capacity of attempts at endpoints that are no longer ready."""
        for attempt in self.attempts.values():
            if attempt.endpoint.state is not EndpointState.READY:
                attempt.release_capacity()

    def handle_attempt_timer(self, attempt: Attempt, now: int) -> None:
        """Count an attempt without a timeout that has been in flight for T1 as a failure of its endpoint.

        Otherwise an unresponsive endpoint would keep receiving requests that may not be retried. The
        attempt's capacity is always released, as this failure alone puts the endpoint above
        `MAX_FAILURE_SHARE`. Otherwise a few unresponsive endpoints would use up a small limit.
        """
        request = attempt.request
        if attempt.number not in request.attempts_in_flight or request.is_streaming:
            return
        self._feedback.record_overdue(request, attempt.endpoint, now)
        attempt.is_overdue = True
        if attempt.endpoint.failure_share > MAX_FAILURE_SHARE:
            attempt.release_capacity()
            self.dispatch_queued(now)

    def _send(self, request: Request, endpoint: Endpoint, now: int) -> None:
        if not self._rules.may_send(request, endpoint, now):
            self._fail_or_reject(request, EndReason.ATTEMPT_FORBIDDEN)
            return
        attempt = self._start_attempt(request, endpoint, now)
        timeout = self._retries.attempt_timeout(request, now)
        time_left = request.deadline - now
        self._actions.send_attempt(request.request_id, endpoint.endpoint_id, timeout or time_left)
        if not timeout and time_left > request.t1:
            attempt.timer = self._timers.set(attempt, request.t1)

    def _start_attempt(self, request: Request, endpoint: Endpoint, now: int) -> Attempt:
        """Record a new attempt and charge its capacity, tenant quota and slow-start credit."""
        number = request.attempt_count
        pool = self._endpoints.pool_of(endpoint)
        attempt = self.attempts[request.request_id, number] = Attempt(request, number, endpoint, pool)
        request.attempt_count += 1
        request.attempts_in_flight.add(number)
        request.last_endpoint = endpoint
        request.last_sent_at = request.traffic_class.last_sent_at = now
        if request.first_endpoint is None:
            request.first_endpoint, request.first_sent_at = endpoint, now
        endpoint.in_flight += 1
        pool.in_flight += 1
        if not number and request.tenant is not None and not request.is_over_quota:
            request.tenant.credit -= 1.0
        if endpoint.slow_start_until > now:
            endpoint.slow_start_credit -= 1.0
        return attempt

    def _handle_outcome(self, attempt: Attempt, outcome: Outcome, is_final: bool, now: int) -> None:
        """End the request of an attempt that has ended, or schedule a retry."""
        request = attempt.request
        if is_final:
            in_time = outcome is Outcome.OK and now <= request.arrived_at + request.objective_ns
            self._mark_done(request, missed_objective=not in_time)
        if request.is_done:
            return
        if outcome in NOT_PROCESSED:
            _clear_first_endpoint(request, attempt.endpoint)
        if request.is_streaming or request.attempts_in_flight:
            return
        if outcome is Outcome.BAD_REQUEST:
            # Failed at once and not rejected: sending the same request again would not succeed.
            self._mark_done(request, missed_objective=False)
            self._actions.fail(request.request_id, EndReason.BAD_REQUEST)
            return
        is_repeatable = request.traffic_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if not is_repeatable and request.first_endpoint is not None:
            self._fail_or_reject(request, EndReason.NOT_RETRYABLE)
            return
        self._schedule_retry(request, request.last_sent_at + self._retries.start_gap(request), now)

    # ---- Retries ---------------------------------------------------------------------------------

    def handle_request_timer(self, request: Request, now: int) -> None:
        """Handle a timer of a request: its wait or gap is over, or its deadline is near."""
        if request.is_done or request.is_streaming:
            return
        if request.is_queued and now >= request.wait_ends_at:
            self._fail_or_reject(request, EndReason.QUEUE_TIMEOUT)
        elif now >= request.deadline - self._settings.tick_ns:
            self._fail_or_reject(request, EndReason.DEADLINE_EXCEEDED)
        elif not request.attempts_in_flight and not request.is_queued and now >= request.wait_ends_at:
            self._retry(request, now)

    def _schedule_retry(self, request: Request, retry_at: int, now: int) -> None:
        """Schedule a retry, or end the request if no attempt is left or the retry would come too late."""
        if request.attempt_count >= self._settings.limits.max_attempts:
            self._fail_or_reject(request, EndReason.ATTEMPTS_EXHAUSTED)
            return
        if retry_at >= request.deadline - self._settings.tick_ns:
            self._fail_or_reject(request, EndReason.RETRY_TIMEOUT)
            return
        request.wait_ends_at = retry_at
        if retry_at <= now:
            self._retry(request, now)
        else:
            self._timers.cancel(request.wait_timer)
            request.wait_timer = self._timers.set(request, retry_at - now)

    def _retry(self, request: Request, now: int) -> None:
        """Send a retry to an endpoint whose retry gate it passes, or wait for another gap."""
        endpoint = self._retries.select_endpoint(request, now)
        if endpoint is not None:
            self._send(request, endpoint, now)
        else:
            self._schedule_retry(request, now + self._retries.start_gap(request), now)

    # ---- Final responses -------------------------------------------------------------------------

    def abandon(self, request_id: int) -> None:
        """Drop a request whose client has disconnected, and cancel its attempts if the settings allow it."""
        request = self.requests.get(request_id)
        if request is not None:
            self._mark_done(request, missed_objective=True)
            self._cancel_attempts(request)

    def _fail_or_reject(self, request: Request, reason: EndReason) -> None:
        """Send a final response of the gateway's own: a rejection if permitted, else a failure."""
        if request.is_done or request.is_streaming:
            return
        self._mark_done(request, missed_objective=True)
        self._cancel_attempts(request)
        if self._rules.may_reject(request):
            retry_after = request.t1 if self._settings.limits.retry_after else 0
            self._actions.reject(request.request_id, retry_after, reason)
        else:
            self._actions.fail(request.request_id, reason)

    def _mark_done(self, request: Request, missed_objective: bool) -> None:
        request.is_done = True
        self._timers.cancel(request.deadline_timer)
        self._timers.cancel(request.wait_timer)
        self._load_shedder.record(request, missed_objective)
        self._wait_queue.discard(request)
        self.requests.pop(request.request_id, None)

    def _cancel_attempts(self, request: Request) -> None:
        if self._settings.limits.cancellation:
            for number in request.attempts_in_flight:
                self._actions.cancel_attempt(request.request_id, number)


def _clear_first_endpoint(request: Request, endpoint: Endpoint) -> None:
    """Clear the first endpoint if the last attempt, which was not processed, was also the first."""
    was_first = request.first_endpoint is endpoint and request.first_sent_at == request.last_sent_at
    if was_first and not request.attempts_in_flight:
        request.first_endpoint = None
