"""Connects a balancer to the sockets: delivers events to it in order and executes its actions.

The balancer calls actions while it handles an event.  They act on sockets immediately; events that they cause
wait in the event queue until the current event has been handled.  This module makes no load balancing
decisions.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from balancer import (
    MS,
    NOT_PROCESSED,
    Actions,
    AttemptResult,
    Balancer,
    EndpointId,
    EndReason,
    EventHandler,
    Outcome,
    Settings,
)

from .control_plane import ControlPlane
from .load_report import LoadReportParser
from .memory_budget import MemoryBudget
from .messages import ClientRequest, Response
from .request import ClientExchange, Request, incoming_request
from .request_table import RequestTable
from .telemetry import CounterName, GatewayReason, Phase, Telemetry, Trace
from .timers import Timers, now_ns
from .upstream import Attempt

__all__ = ["BalancerFactory", "ClientExchange", "Dispatcher", "LoadReportParser", "Request"]

log = logging.getLogger("gateway.dispatcher")

RESPONSE_MARGIN_NS = 25 * MS
"""Time subtracted from the client's timeout to get the balancer's, ns: the response takes time to arrive."""
FAILURE_MARGIN_NS = 12 * MS
"""Time before the client's deadline, ns, at which the gateway fails a request still open in the balancer."""

DEFAULT_BUDGET_BYTES = 64 << 20
"""Memory budget of a dispatcher that is created without one."""

BalancerFactory = Callable[[Settings, int, Actions], EventHandler]
"""Creates a balancer from its settings, its random seed, and the object that executes its actions."""


class Dispatcher(ControlPlane):
    """Manages the requests of one gateway; implements the balancer's `Actions` on real sockets.

    The balancer gets every event except `on_response_started`, as endpoints send no streamed responses.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        timers: Timers,
        load_report_columns: Sequence[str] = (),
        make_balancer: BalancerFactory = Balancer,
        max_requests: int = 1024,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Allow at most `max_requests` open requests, and no more than the memory budget has capacity for."""
        super().__init__(settings, timers, load_report_columns)
        self.memory_budget = memory_budget or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.telemetry = Telemetry()
        self.requests = RequestTable(
            min(max_requests, settings.limits.max_open_requests or max_requests), self.memory_budget
        )
        self.balancer = make_balancer(settings, seed, self)

    # ---- Client events ---------------------------------------------------------------------------

    def accept_request(
        self, exchange: ClientExchange, client_request: ClientRequest, arrived_ns: int
    ) -> Request | None:
        """Admit a client's request, whose timeout counts from `arrived_ns`, its earliest possible arrival.

        Return None, after rejecting the request, if its timeout has expired or the request table is full.
        """
        now = now_ns()
        remaining_ns = client_request.timeout_ns - (now - arrived_ns)
        if remaining_ns <= 0:
            self._reject_unadmitted(exchange, GatewayReason.LATE_READ)
            return None
        if not self.requests.has_capacity(client_request.payload.size):
            self._reject_unadmitted(exchange, GatewayReason.TABLE_FULL)
            return None
        self.telemetry.count(CounterName.ADMITTED)
        # The margins take at most a fraction of a short timeout, so that time for an attempt remains.
        timeout_ns = max(remaining_ns - RESPONSE_MARGIN_NS, remaining_ns // 2)
        failure_deadline_ns = now + max(remaining_ns - FAILURE_MARGIN_NS, remaining_ns * 3 // 4)
        request = Request(
            self.requests.next_request_id(),
            exchange,
            client_request.payload,
            arrived_ns,
            now + timeout_ns,
            Trace(
                client_request.client_request_id,
                exchange.connection_number,
                client_request.timeout_ns,
                arrived_ns,
                now,
            ),
        )
        self.requests.add(request)
        request.timer = self._timers.call_at(failure_deadline_ns, self._expire_request, request)
        incoming = incoming_request(request.request_id, client_request, timeout_ns)
        self._events.add(lambda now: self.balancer.on_request(now, incoming), request)
        return request

    def _reject_unadmitted(self, exchange: ClientExchange, reason: GatewayReason) -> None:
        self.telemetry.count(CounterName.REJECTED, reason.value)
        exchange.send_rejection(0)

    def on_client_gone(self, request: Request) -> None:
        """Handle a client that has disconnected: cancel its attempts and send nothing more."""
        if request.is_ended:
            return
        request.end()
        now = now_ns()
        is_overdue = request.trace.is_overdue(now)
        self.telemetry.count(CounterName.CLIENT_GONE, "overdue" if is_overdue else "")
        request.trace.add_step(now, Phase.CLIENT_GONE)
        self.telemetry.finish_trace(request.trace, is_overdue)
        # Queued before the attempts are cancelled, so that their results follow the end of the request.
        self._events.add(lambda now: self.balancer.on_client_gone(now, request.request_id), request)
        self._clean_up(request)

    def on_client_half_closed(self, request: Request) -> None:
        """Handle a client that has sent EOF.

        The client may have disconnected or may still wait for its response; the gateway cannot tell which.
        The response of an attempt in flight is therefore sent to it, but no new attempt starts.  An attempt
        that still waits for its connection is sent only if the connection is established within
        `UNCHECKED_ATTEMPT_WINDOW_NS` of the request's arrival.
        """
        if request.is_ended:
            return
        request.mark_half_closed()
        request.trace.add_step(now_ns(), Phase.HALF_CLOSED)
        if not request.in_flight:
            self.fail_request(request, GatewayReason.CLIENT_CLOSING)
        elif not request.has_attempt_on_open_connection():
            self._timers.call_at(request.client_check_from_ns, self._fail_if_unsent, request)

    def _fail_if_unsent(self, request: Request) -> None:
        if not request.is_ended and not request.has_attempt_on_open_connection():
            self.fail_request(request, GatewayReason.CLIENT_CLOSING)

    def _expire_request(self, request: Request) -> None:
        """Fail a request that the balancer has not ended shortly before the client's deadline."""
        if not request.is_ended:
            self.fail_request(request, GatewayReason.BALANCER_TIMEOUT)

    def open_requests(self) -> list[Request]:
        """Return requests that have no final response yet or still have attempts in flight."""
        return self.requests.requests()

    def fail_all(self) -> None:
        """Fail every open request, so that each client gets a response before the process exits."""
        for request in self.open_requests():
            self.fail_request(request, GatewayReason.SHUTDOWN)

    # ---- End of requests -------------------------------------------------------------------------

    def _on_balancer_failure(self, request: Request) -> None:
        self.fail_request(request, GatewayReason.BALANCER_ERROR)

    def fail_request(self, request: Request, reason: GatewayReason) -> None:
        """Fail a request on the gateway's own decision, and have the balancer remove it.

        It is failed, not rejected, as only the balancer knows whether an endpoint may have processed it.
        """
        if not request.is_ended:
            self._send_failure(request, reason, reason is not GatewayReason.CLIENT_CLOSING)
            self._events.add(lambda now: self.balancer.on_client_gone(now, request.request_id))
        self._clean_up(request)

    def _send_failure(
        self, request: Request, reason: EndReason | GatewayReason, is_abnormal: bool = False
    ) -> None:
        request.end().send_failure()
        self._record_response(request, CounterName.FAILED, reason.value, is_abnormal)

    def _record_response(
        self, request: Request, counter: str, reason: str = "", is_abnormal: bool = False
    ) -> None:
        """Count the final response of a request, and write its trace if it ended abnormally."""
        now = now_ns()
        self.telemetry.count(counter, reason)
        request.trace.add_step(now, Phase.RESPONSE, f"{counter}.{reason}" if reason else counter)
        self.telemetry.finish_trace(request.trace, is_abnormal or request.trace.is_overdue(now))

    def _clean_up(self, request: Request) -> None:
        """Cancel the attempts in flight of a request, and have it removed once it has ended."""
        for attempt in list(request.in_flight.values()):
            self.upstream.cancel_attempt(attempt)
        if request.is_ended and not request.in_flight:
            # Queued, as actions of the event that is being handled may still refer to the request.
            self._events.add(lambda _: self._remove_if_idle(request))

    def _remove_if_idle(self, request: Request) -> None:
        if not request.in_flight:
            self._timers.cancel(request.timer)
            self.requests.remove(request)

    # ---- Attempts --------------------------------------------------------------------------------

    def send_attempt(self, request_id: int, endpoint_id: EndpointId, timeout_ns: int) -> None:
        """Start the next attempt of a request; a `timeout_ns` of 0 means until the request's deadline."""
        request = self.requests.get(request_id)
        if request is None:
            log.error("dropped an attempt for request %d, which is not open", request_id)
            return
        number = request.attempts_started
        request.attempts_started += 1
        now = self._events.now_ns
        deadline_ns = min(now + timeout_ns, request.deadline_ns) if timeout_ns else request.deadline_ns
        attempt = Attempt(
            endpoint_id,
            number,
            request.payload,
            now,
            deadline_ns,
            lambda attempt, outcome, response: self._on_attempt_ended(request, attempt, outcome, response),
            lambda: self._may_start(request),
        )
        request.in_flight[number] = attempt
        request.trace.add_step(now, Phase.SENT, str(endpoint_id))
        if number:
            self.telemetry.count(CounterName.RETRY)
        if not self._may_send(request, number):
            attempt.end(Outcome.NOT_SENT)
            return
        # Set before the start, as an attempt may end at once, which cancels its timer.
        attempt.timer = self._timers.call_at(deadline_ns, self._expire_attempt, attempt)
        self.upstream.start_attempt(attempt)

    def _may_send(self, request: Request, number: int) -> bool:
        return (
            not request.is_half_closed
            and self._may_start(request)
            and number < self._settings.limits.max_attempts
        )

    @staticmethod
    def _may_start(request: Request) -> bool:
        """Whether an attempt may start now; checked on creation and when its connection is established.

        From `client_check_from_ns` on, the client's socket is checked for an EOF that the event loop has not
        read yet: it may be behind unread bytes, or reading may be paused.
        """
        if request.is_ended:
            return False
        if now_ns() < request.client_check_from_ns:
            return True
        if not request.is_half_closed and request.client_has_ended():
            request.mark_half_closed()
        return not request.is_half_closed

    def _on_attempt_ended(
        self, request: Request, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Handle the end of an attempt: the client gets its response before the balancer gets the result."""
        request.in_flight.pop(attempt.number, None)
        self._timers.cancel(attempt.timer)
        request.has_reached_endpoint = request.has_reached_endpoint or outcome not in NOT_PROCESSED
        self.telemetry.count(CounterName.ATTEMPT, outcome.name.lower())
        request.trace.add_step(now_ns(), Phase.ATTEMPT_ENDED, outcome.name.lower())
        try:
            self._respond(request, response)
        except Exception:  # otherwise the balancer would count the attempt as in flight forever
            log.exception("failed to send a response to the client")
        is_final = request.is_ended
        load_report = self._load_reports.parse(attempt.load_report)
        result = AttemptResult(
            request.request_id,
            attempt.number,
            attempt.endpoint_id,
            outcome,
            max(1, now_ns() - attempt.started_ns),
            is_final,
            load_report,
        )
        self._events.add(lambda now: self.balancer.on_attempt_ended(now, result), request)
        if is_final:
            self._clean_up(request)

    def _respond(self, request: Request, response: Response | None) -> None:
        """Send the final response if there is one.

        It is the first response with outcome OK, or a failure if the client has sent EOF and no attempt is
        left.
        """
        if request.is_ended:
            return
        if response is not None:
            request.end().send_response(response)
            self._record_response(request, CounterName.SERVED)
        elif request.is_half_closed and not request.in_flight:
            self._send_failure(request, GatewayReason.CLIENT_CLOSING)

    # ---- Request actions -------------------------------------------------------------------------

    def fail(self, request_id: int, reason: EndReason) -> None:
        """End a request with a failure as its final response."""
        request = self.requests.get(request_id)
        if request is not None and not request.is_ended:
            self._send_failure(request, reason)
            self._clean_up(request)

    def reject(self, request_id: int, retry_after_ns: int, reason: EndReason) -> None:
        """End a request with a rejection as its final response, with the balancer's Retry-After advice."""
        request = self.requests.get(request_id)
        if request is not None and not request.is_ended:
            request.end().send_rejection(retry_after_ns)
            self._record_response(request, CounterName.REJECTED, reason.value)
            self._clean_up(request)

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt in flight."""
        request = self.requests.get(request_id)
        in_flight = request.in_flight.get(attempt) if request is not None else None
        if in_flight is not None:
            self.upstream.cancel_attempt(in_flight)
