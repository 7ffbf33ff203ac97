"""Checks the behaviour of a balancer against the operators' rules.

The checker shares no code with the balancer: it keeps its own records of the events and the actions of a
gateway.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from balancer import (
    DeduplicationScope,
    EndpointEntry,
    EndpointId,
    EndpointState,
    Idempotency,
    Outcome,
    RequestClass,
    Settings,
    UpdateKind,
)

__all__ = ["FinalResponse", "RequestRecord", "Rule", "RuleChecker", "SentAttempt", "Violation"]

PROVEN_UNPROCESSED = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""Outcomes after which any request may be sent again; defined here to be independent of the balancer."""
MAX_GOSSIP_BYTES = 256
"""Maximum size of a gossip message, bytes."""


class Rule(Enum):
    """A rule that the checker enforces."""

    FINAL_RESPONSE = "each request gets one final response before its deadline"
    REPETITION = "a request is repeated only as often as allowed, and only to endpoints where that is allowed"
    DRAINING = "an endpoint that is not ready gets no new attempts"
    PERMISSION = "only actions that the settings allow"


class Violation(NamedTuple):
    """One violation of a rule, with a description for the test's output."""

    rule: Rule
    description: str


class FinalResponse(Enum):
    """The final response that a request got."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    ABANDONED = "abandoned"
    """No response, because the client closed its connection first."""


class SentAttempt(NamedTuple):
    """An attempt that its endpoint may have processed."""

    endpoint_id: EndpointId
    sent_at_ns: int


@dataclass(slots=True)
class RequestRecord:
    """The checker's record of one request."""

    request_class: RequestClass
    """The class of the request at its arrival; later settings do not change it."""
    deadline_ns: int
    attempts_in_flight: dict[int, EndpointId] = field(default_factory=dict)
    """Endpoints of the attempts without an outcome, by attempt number."""
    maybe_processed: dict[int, SentAttempt] = field(default_factory=dict)
    """Attempts that are not known to be unprocessed, by attempt number."""
    attempt_count: int = 0
    response_count: int = 0
    """Number of responses that the balancer itself requested: rejections and failures."""
    is_done: bool = False
    """Whether the request needs no further response."""


class RuleChecker:
    """Records each violation of a rule by one gateway.

    Times are those of the gateway's clock, ns.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        """The current settings."""
        self.requests: dict[int, RequestRecord] = {}
        """All requests so far, by their ids."""
        self.final_responses: dict[int, FinalResponse] = {}
        """Final response by request id, in the order of the responses; without streamed responses."""
        self.violations: list[Violation] = []
        self._endpoints: dict[EndpointId, EndpointEntry] = {}
        self._unavailable_since_ns: dict[EndpointId, int] = {}

    # ---- The endpoint list -----------------------------------------------------------------------

    def update_endpoint_list(self, kind: UpdateKind, entries: Sequence[EndpointEntry], now_ns: int) -> None:
        """Record an update of the endpoint list."""
        if kind is UpdateKind.FAILED:
            return
        listed = {entry.endpoint_id for entry in entries}
        for entry in entries:
            self._endpoints[entry.endpoint_id] = entry
        for endpoint_id, known_entry in self._endpoints.items():
            is_listed = kind is UpdateKind.DELTA or endpoint_id in listed
            if known_entry.state is EndpointState.READY and is_listed:
                self._unavailable_since_ns.pop(endpoint_id, None)
            else:
                self._unavailable_since_ns.setdefault(endpoint_id, now_ns)

    # ---- Requests --------------------------------------------------------------------------------

    def open_request(self, request_id: int, request_class: RequestClass, deadline_ns: int) -> None:
        """Record a new request of a client."""
        self.requests[request_id] = RequestRecord(request_class, deadline_ns)

    def start_response(self, request_id: int) -> None:
        """Record the start of a streamed response: the final response, after which no deadline applies."""
        self.requests[request_id].is_done = True

    def abandon_request(self, request_id: int) -> None:
        """Record that the client has closed its connection."""
        record = self.requests[request_id]
        if not record.is_done:
            self._finish(request_id, record, FinalResponse.ABANDONED)

    def check_reject(self, request_id: int, now_ns: int) -> None:
        """Check a rejection, which tells the client that it may send the request again."""
        record = self.requests[request_id]
        request_class = record.request_class
        is_safe = request_class.idempotency is Idempotency.SAFE
        is_deduplicated_everywhere = (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        is_safe_to_repeat = is_safe or is_deduplicated_everywhere or not record.maybe_processed
        if not record.is_done and not is_safe_to_repeat:
            self._report(Rule.REPETITION, f"request {request_id} may have been processed and is rejected")
        self._check_response(request_id, FinalResponse.REJECTED, now_ns)

    def check_fail(self, request_id: int, now_ns: int) -> None:
        """Check that a failure is an allowed final response."""
        self._check_response(request_id, FinalResponse.FAILED, now_ns)

    def check_overdue(self, now_ns: int) -> None:
        """Report the requests whose final response is overdue at this time."""
        for request_id, record in self.requests.items():
            if not record.is_done and self._is_late(record, now_ns):
                self._report(Rule.FINAL_RESPONSE, f"request {request_id} has no final response")
                record.is_done = True

    def _check_response(self, request_id: int, response: FinalResponse, now_ns: int) -> None:
        record = self.requests[request_id]
        record.response_count += 1
        if record.is_done:
            self._report(Rule.FINAL_RESPONSE, f"request {request_id} gets a response after it is done")
            return
        self._finish(request_id, record, response)
        if self._is_late(record, now_ns):
            self._report(Rule.FINAL_RESPONSE, f"the final response to request {request_id} is late")

    def _finish(self, request_id: int, record: RequestRecord, response: FinalResponse) -> None:
        record.is_done = True
        self.final_responses[request_id] = response

    def _is_late(self, record: RequestRecord, now_ns: int) -> bool:
        return now_ns > record.deadline_ns + self.settings.rules.response_slack_ns

    # ---- Attempts --------------------------------------------------------------------------------

    def check_attempt(self, request_id: int, endpoint_id: EndpointId, now_ns: int) -> None:
        """Check an attempt against the rules, and record it."""
        record = self.requests[request_id]
        if record.is_done:
            self._report(Rule.FINAL_RESPONSE, f"request {request_id} is sent after its final response")
        self._check_availability(endpoint_id, now_ns)
        self._check_repetition(record, endpoint_id, now_ns)
        if record.attempts_in_flight and not self.settings.limits.hedging:
            self._report(Rule.REPETITION, f"request {request_id} has two attempts in flight")
        record.attempts_in_flight[record.attempt_count] = endpoint_id
        record.maybe_processed[record.attempt_count] = SentAttempt(endpoint_id, now_ns)
        record.attempt_count += 1
        if record.attempt_count > self.settings.limits.max_attempts:
            self._report(Rule.REPETITION, f"request {request_id} has {record.attempt_count} attempts")

    def end_attempt(self, request_id: int, attempt: int, outcome: Outcome) -> EndpointId:
        """Record the outcome of an attempt; return its endpoint."""
        record = self.requests[request_id]
        endpoint_id = record.attempts_in_flight.pop(attempt)
        if outcome in PROVEN_UNPROCESSED:
            del record.maybe_processed[attempt]
        if outcome is Outcome.OK and not record.is_done:
            self._finish(request_id, record, FinalResponse.SERVED)
        return endpoint_id

    def _check_availability(self, endpoint_id: EndpointId, now_ns: int) -> None:
        unavailable_since_ns = self._unavailable_since_ns.get(endpoint_id)
        if unavailable_since_ns is None:
            return
        unavailable_for_ns = now_ns - unavailable_since_ns
        if unavailable_for_ns > self.settings.rules.drain_grace_ns:
            self._report(
                Rule.DRAINING,
                f"{endpoint_id!r} gets an attempt {unavailable_for_ns} ns after it became unavailable",
            )

    def _check_repetition(self, record: RequestRecord, endpoint_id: EndpointId, now_ns: int) -> None:
        """Check that the request may be repeated although earlier attempts may have been processed."""
        for earlier in record.maybe_processed.values():
            idempotency = record.request_class.idempotency
            if idempotency is Idempotency.NON_IDEMPOTENT:
                self._report(
                    Rule.REPETITION, "a non-idempotent request that may have been processed is repeated"
                )
            elif idempotency is Idempotency.IDEMPOTENCY_KEY and not self._is_deduplicated(
                record.request_class, earlier, endpoint_id, now_ns
            ):
                self._report(Rule.REPETITION, "a request leaves its deduplication scope or window")

    def _is_deduplicated(
        self, request_class: RequestClass, earlier: SentAttempt, endpoint_id: EndpointId, now_ns: int
    ) -> bool:
        """Whether this endpoint still recognizes the idempotency key of an earlier attempt."""
        first, second = self._endpoints[earlier.endpoint_id], self._endpoints[endpoint_id]
        is_in_scope = {
            DeduplicationScope.ALL: True,
            DeduplicationScope.ZONE: first.zone == second.zone,
            DeduplicationScope.CELL: first.cell == second.cell,
        }[request_class.deduplication_scope]
        return is_in_scope and now_ns <= earlier.sent_at_ns + request_class.deduplication_window_ns

    # ---- Permissions -----------------------------------------------------------------------------

    def check_cancel(self, request_id: int, attempt: int) -> None:
        """Check that the settings allow to cancel this attempt, and that it was sent."""
        is_sent = attempt < self.requests[request_id].attempt_count
        if not self.settings.limits.cancellation or not is_sent:
            self._report(Rule.PERMISSION, f"request {request_id}: attempt {attempt} can't be cancelled")

    def check_health_check(self) -> None:
        """Check that the settings allow health checks."""
        if not self.settings.limits.health_checks:
            self._report(Rule.PERMISSION, "health checks are not allowed")

    def check_gossip(self, content: bytes) -> None:
        """Check that the settings allow gossip, and that the message is not too long."""
        if not self.settings.limits.gossip or len(content) > MAX_GOSSIP_BYTES:
            self._report(Rule.PERMISSION, f"a gossip message of {len(content)} bytes is not allowed")

    def _report(self, rule: Rule, description: str) -> None:
        self.violations.append(Violation(rule, description))
