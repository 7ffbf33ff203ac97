"""A simulated gateway without a network, for tests of the balancer, with a clock and a `RuleChecker`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from balancer import (
    MS,
    AttemptResult,
    Balancer,
    EndpointEntry,
    EndpointId,
    EndReason,
    IncomingRequest,
    Outcome,
    Settings,
    UpdateKind,
)
from tests.support.rule_checker import RuleChecker

__all__ = ["AttemptRecord", "GatewayModel", "serve_all_in_flight", "serve_sequentially"]


class AttemptRecord(NamedTuple):
    """An attempt that the balancer sent, with its timeout and the time of sending."""

    request_id: int
    endpoint_id: EndpointId
    timeout_ns: int
    sent_at_ns: int


class GatewayModel:
    """Implements `Actions` for a balancer, and delivers the events that a test requests.

    The clock advances only by `run_for` and `run_until`; an attempt stays in flight until `end_attempt`.
    `seed` initializes the balancer's random number generator.
    """

    def __init__(self, settings: Settings, entries: Sequence[EndpointEntry] = (), seed: int = 1) -> None:
        self.settings = settings
        self.now_ns = 0
        """Time of the simulated clock, ns."""
        self.attempts: list[AttemptRecord] = []
        """All attempts so far, in the order in which they were sent."""
        self.timers: dict[int, int] = {}
        """Expiry time of each timer that is set, ns, by its token."""
        self._last_request_id = 0
        self.rule_checker = RuleChecker(settings)
        self.requests = self.rule_checker.requests
        self.final_responses = self.rule_checker.final_responses
        self.violations = self.rule_checker.violations
        self.balancer = Balancer(settings, seed, self)
        if entries:
            self.update_endpoint_list(UpdateKind.SNAPSHOT, entries)

    # ---- Actions ---------------------------------------------------------------------------------

    def send_attempt(self, request_id: int, endpoint_id: EndpointId, timeout_ns: int) -> None:
        """Check and record an attempt; it is in flight until `end_attempt`."""
        self.rule_checker.check_attempt(request_id, endpoint_id, self.now_ns)
        self.attempts.append(AttemptRecord(request_id, endpoint_id, timeout_ns, self.now_ns))

    def fail(self, request_id: int, reason: EndReason) -> None:  # noqa: ARG002 - no rule depends on it
        """Check and record a final response: a failure."""
        self.rule_checker.check_fail(request_id, self.now_ns)

    def reject(self, request_id: int, retry_after_ns: int, reason: EndReason) -> None:  # noqa: ARG002 - no rule depends on it
        """Check and record a final response: a rejection."""
        self.rule_checker.check_reject(request_id, self.now_ns)

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Check that the cancellation is allowed; the attempt stays in flight until the test ends it."""
        self.rule_checker.check_cancel(request_id, attempt)

    def set_timer(self, token: int, delay_ns: int) -> None:
        """Set or replace the timer with this token."""
        self.timers[token] = self.now_ns + delay_ns

    def cancel_timer(self, token: int) -> None:
        """Do nothing: the timer expires without an effect, as in the simulator."""

    def watch_endpoints(self, active: bool) -> None:
        """Do nothing: a test delivers the endpoint list with `update_endpoint_list`."""

    def fetch_endpoints(self) -> None:
        """Do nothing: a test delivers the endpoint list itself, at any time."""

    def check_health(self, endpoint_id: EndpointId) -> None:  # noqa: ARG002 - no rule depends on it
        """Check that health checks are allowed."""
        self.rule_checker.check_health_check()

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Do nothing: the model has no connections."""

    def send_gossip(self, peer: int | None, content: bytes) -> None:  # noqa: ARG002 - no rule depends on it
        """Check that gossip is allowed, and its size."""
        self.rule_checker.check_gossip(content)

    def log(self, text: str) -> None:
        """Ignore a log line: no rule depends on it."""

    # ---- Events ----------------------------------------------------------------------------------

    def update_endpoint_list(self, kind: UpdateKind, entries: Sequence[EndpointEntry]) -> None:
        """Deliver an update from discovery: the endpoint list, changes of it, or a failed call."""
        self.rule_checker.update_endpoint_list(kind, entries, self.now_ns)
        self.balancer.on_endpoint_list(self.now_ns, kind, entries)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = self.rule_checker.settings = settings
        self.balancer.on_settings(self.now_ns, settings)

    def receive_request(
        self,
        class_index: int = 0,
        timeout_ns: int | None = None,
        tenant_index: int = 0,
        cost_hint_ns: int = 0,
    ) -> int:
        """Deliver a request of a client, by default with the deadline of its class; return its id."""
        self._last_request_id += 1
        request_class = self.settings.classes[class_index]
        effective_timeout_ns = request_class.max_timeout_ns if timeout_ns is None else timeout_ns
        self.rule_checker.open_request(
            self._last_request_id, request_class, self.now_ns + effective_timeout_ns
        )
        incoming = IncomingRequest(
            self._last_request_id, class_index, tenant_index, 0, effective_timeout_ns, cost_hint_ns, False
        )
        self.balancer.on_request(self.now_ns, incoming)
        return self._last_request_id

    def start_response(self, request_id: int) -> None:
        """Start a streamed response to the request's oldest attempt in flight."""
        self.rule_checker.start_response(request_id)
        attempt = min(self.requests[request_id].attempts_in_flight)
        self.balancer.on_response_started(self.now_ns, request_id, attempt)

    def end_attempt(
        self,
        request_id: int,
        outcome: Outcome,
        attempt: int | None = None,
        elapsed_ns: int | None = None,
        load_report: Sequence[float] = (),
    ) -> None:
        """End an attempt, by default the request's oldest in flight.

        `elapsed_ns` defaults to the time since the last attempt of any request was sent.
        """
        record = self.requests[request_id]
        number = min(record.attempts_in_flight) if attempt is None else attempt
        endpoint_id = self.rule_checker.end_attempt(request_id, number, outcome)
        duration_ns = self.now_ns - self.attempts[-1].sent_at_ns if elapsed_ns is None else elapsed_ns
        result = AttemptResult(
            request_id, number, endpoint_id, outcome, max(duration_ns, 1), record.is_done, load_report
        )
        self.balancer.on_attempt_ended(self.now_ns, result)

    def close_client(self, request_id: int) -> None:
        """Deliver the event that the client has closed its connection."""
        self.rule_checker.abandon_request(request_id)
        self.balancer.on_client_gone(self.now_ns, request_id)

    # ---- Time ------------------------------------------------------------------------------------

    def run_for(self, duration_ns: int) -> None:
        """Advance the clock by this time, and call the balancer for each timer that expires."""
        self.run_until(self.now_ns + duration_ns)

    def run_until(self, end_ns: int) -> None:
        """Advance the clock to `end_ns`; each timer that expires calls the balancer at the next tick."""
        while self.timers:
            expires_at_ns, token = min((expires_at_ns, token) for token, expires_at_ns in self.timers.items())
            if expires_at_ns > end_ns:
                break
            del self.timers[token]
            self.now_ns = max(self.now_ns, _round_up(expires_at_ns, self.settings.tick_ns))
            self.balancer.on_timer(self.now_ns, token)
        self.now_ns = max(self.now_ns, end_ns)
        self.rule_checker.check_overdue(self.now_ns)

    # ---- Observations ----------------------------------------------------------------------------

    def attempts_in_flight(self, request_id: int) -> dict[int, EndpointId]:
        """Return the endpoints of the attempts of a request that are in flight, by attempt number."""
        return self.requests[request_id].attempts_in_flight

    def requests_in_flight(self) -> list[int]:
        """Return the ids of the requests with an attempt in flight, in the order of arrival."""
        return [request_id for request_id, record in self.requests.items() if record.attempts_in_flight]

    def attempts_by_endpoint(self) -> Counter[EndpointId]:
        """Return the number of attempts that were sent to each endpoint."""
        return Counter(attempt.endpoint_id for attempt in self.attempts)


def serve_sequentially(
    gateway: GatewayModel, count: int, latency_ns: int, gap_ns: int = 10 * MS, class_index: int = 0
) -> None:
    """Deliver requests sequentially, each `gap_ns` after the response to the previous request."""
    for _ in range(count):
        request_id = gateway.receive_request(class_index)
        gateway.run_for(latency_ns)
        if gateway.attempts_in_flight(request_id):
            gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=latency_ns)
        gateway.run_for(gap_ns)


def serve_all_in_flight(
    gateway: GatewayModel, count: int, latency_ns: int, load_report: Sequence[float] = ()
) -> None:
    """Deliver requests one after another, and end all attempts in flight with success after each request."""
    for _ in range(count):
        gateway.receive_request()
        gateway.run_for(latency_ns)
        for request_id in gateway.requests_in_flight():
            gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=latency_ns, load_report=load_report)


def _round_up(time_ns: int, tick_ns: int) -> int:
    return -(-time_ns // tick_ns) * tick_ns
