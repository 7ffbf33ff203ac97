"""Sequences of arbitrary events at a gateway, for property-based tests."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from enum import Enum, auto
from typing import NamedTuple

from balancer import (
    MS,
    SECOND,
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    HealthCheckResult,
    Idempotency,
    Limits,
    Outcome,
    RequestClass,
    Rules,
    Tenant,
    UpdateKind,
)
from tests.support.gateway_model import GatewayModel
from tests.support.settings_builders import make_class, make_entry, make_settings

__all__ = ["MAX_STEP_NUMBER", "Scenario", "Step", "StepKind"]

CLASSES: tuple[RequestClass, ...] = (
    make_class(name="safe"),
    make_class(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, name="key for all"),
    make_class(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, name="key for a zone"),
    make_class(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, name="key for a cell"),
    make_class(
        Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.ZONE,
        name="key for a short time",
        deduplication_window_ns=400 * MS,
    ),
    make_class(Idempotency.NON_IDEMPOTENT, name="non-idempotent", late_weight=0.0),
    make_class(name="streaming", streaming=True),
)
OUTCOMES = [
    Outcome.OK,
    Outcome.ERROR,
    Outcome.OVERLOADED,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
]
TIMEOUTS_NS = [0, 1, 3 * MS, 80 * MS, *[SECOND] * 6]
"""Timeouts of requests; 1 s, the maximum of their class, is the most frequent."""
MAX_STEP_NUMBER = 400
"""Largest value of the numbers in a step."""
UNKNOWN_TOKEN = 10_000
"""First timer token for events of timers that the balancer has not set."""


class StepKind(Enum):
    """Kinds of events in a scenario."""

    REQUEST = auto()
    TIME = auto()
    ATTEMPT_ENDED = auto()
    ATTEMPT_ENDED_TWICE = auto()
    RESPONSE_STARTED = auto()
    CLIENT_GONE = auto()
    ENDPOINT_DRAINING = auto()
    ENDPOINT_GONE = auto()
    ENDPOINT_RESTARTED = auto()
    ENDPOINT_READY = auto()
    EMPTY_SNAPSHOT = auto()
    SNAPSHOT = auto()
    DISCOVERY_FAILED = auto()
    GOSSIP = auto()
    HEALTH_CHECKED = auto()
    UNKNOWN_TIMER = auto()
    SETTINGS = auto()
    TENANTS = auto()


class Step(NamedTuple):
    """A step of a scenario; its numbers select the request, the endpoint, the outcome and so on."""

    kind: StepKind
    first_choice: int
    second_choice: int


class Scenario:
    """Applies the steps of a scenario to a gateway, its endpoints and its tenants."""

    def __init__(self, limits: Limits, endpoint_count: int, zones: int, poll_discovery: bool) -> None:
        settings = make_settings(
            *CLASSES,
            zones=zones,
            limits=limits,
            poll_discovery=poll_discovery,
            replicas=3,
            rules=Rules(drain_grace_ns=0, slow_start_initial_share=0.2),
        )
        self._entries = [
            make_entry(f"h{number}", zone=number % zones, cell=number % 3) for number in range(endpoint_count)
        ]
        self._tenant_count = 0
        self.gateway = GatewayModel(settings, self._entries)

    def run(self, steps: Sequence[Step]) -> GatewayModel:
        """Apply all steps, then run until every deadline has passed; return the gateway."""
        for step in steps:
            self._apply_step(step)
        self.gateway.run_for(3 * SECOND)
        return self.gateway

    def _apply_step(self, step: Step) -> None:
        match step.kind:
            case StepKind.REQUEST:
                self._receive_request(step)
            case StepKind.TIME:
                self.gateway.run_for(step.first_choice * MS)
            case StepKind.SETTINGS:
                self._change_settings(step)
            case StepKind.TENANTS:
                self._change_tenants(step)
            case StepKind.CLIENT_GONE:
                if self.gateway.requests:
                    self.gateway.close_client(
                        list(self.gateway.requests)[step.first_choice % len(self.gateway.requests)]
                    )
            case StepKind.ATTEMPT_ENDED | StepKind.ATTEMPT_ENDED_TWICE | StepKind.RESPONSE_STARTED:
                self._advance_request(step)
            case StepKind.GOSSIP | StepKind.HEALTH_CHECKED | StepKind.UNKNOWN_TIMER:
                self._send_event_without_effect(step)
            case _:
                self._update_endpoint_list(step)

    def _receive_request(self, step: Step) -> None:
        self.gateway.receive_request(
            step.first_choice % len(CLASSES),
            TIMEOUTS_NS[step.second_choice % len(TIMEOUTS_NS)],
            tenant_index=step.second_choice % self._tenant_count if self._tenant_count else 0,
        )

    def _advance_request(self, step: Step) -> None:
        """Start the response to a request with an attempt in flight, or end the attempt, if there is one."""
        gateway = self.gateway
        request_ids = gateway.requests_in_flight()
        if not request_ids:
            return
        request_id = request_ids[step.first_choice % len(request_ids)]
        if step.kind is StepKind.RESPONSE_STARTED:
            record = gateway.requests[request_id]
            if record.request_class.streaming and not record.is_done:
                gateway.start_response(request_id)
            return
        attempt = min(gateway.attempts_in_flight(request_id))
        outcome = OUTCOMES[step.second_choice % len(OUTCOMES)]
        gateway.end_attempt(request_id, outcome, attempt)
        if step.kind is StepKind.ATTEMPT_ENDED_TWICE:
            duplicate = AttemptResult(request_id, attempt, "h0", outcome, 1, False, ())
            gateway.balancer.on_attempt_ended(gateway.now_ns, duplicate)

    def _update_endpoint_list(self, step: Step) -> None:
        gateway = self.gateway
        match step.kind:
            case StepKind.EMPTY_SNAPSHOT:
                gateway.update_endpoint_list(UpdateKind.SNAPSHOT, [])
            case StepKind.SNAPSHOT:
                kind = UpdateKind.CACHED if step.first_choice % 2 else UpdateKind.SNAPSHOT
                gateway.update_endpoint_list(kind, self._entries)
            case StepKind.DISCOVERY_FAILED:
                gateway.update_endpoint_list(UpdateKind.FAILED, [])
            case _:
                self._change_endpoint(step)

    def _change_endpoint(self, step: Step) -> None:
        if not self._entries:
            return
        number = step.first_choice % len(self._entries)
        states = {
            StepKind.ENDPOINT_DRAINING: EndpointState.DRAINING,
            StepKind.ENDPOINT_GONE: EndpointState.GONE,
        }
        self._entries[number] = self._entries[number]._replace(
            state=states.get(step.kind, EndpointState.READY),
            started_ns=self.gateway.now_ns + 1 if step.kind is StepKind.ENDPOINT_RESTARTED else 0,
        )
        self.gateway.update_endpoint_list(UpdateKind.DELTA, [self._entries[number]])

    def _change_tenants(self, step: Step) -> None:
        position = step.first_choice % (self._tenant_count + 1)
        tenant = Tenant(f"t{step.first_choice}", float(step.second_choice % 3))
        self.gateway.balancer.on_tenants(self.gateway.now_ns, [(position, tenant)])
        self._tenant_count = max(self._tenant_count, position + 1)

    def _change_settings(self, step: Step) -> None:
        """Change the settings; requests that arrived earlier keep the class settings of their arrival."""
        classes = tuple(
            replace(
                item,
                latency_objective_ns=(step.first_choice + 1) * MS,
                priority_weight=float(step.second_choice + 1),
                deduplication_window_ns=step.second_choice * MS + 1 if item.deduplication_window_ns else 0,
            )
            for item in CLASSES
        )
        self.gateway.apply_settings(
            replace(
                self.gateway.settings,
                classes=classes,
                replicas=step.second_choice % 5 + 1,
                over_quota_weight=step.first_choice / MAX_STEP_NUMBER,
            )
        )

    def _send_event_without_effect(self, step: Step) -> None:
        balancer, now = self.gateway.balancer, self.gateway.now_ns
        if step.kind is StepKind.GOSSIP:
            balancer.on_gossip(now, step.first_choice, b"\x00" * (step.first_choice % 40))
        elif step.kind is StepKind.HEALTH_CHECKED:
            balancer.on_health_checked(now, HealthCheckResult("h1", Outcome.OK, MS, ()))
        else:
            balancer.on_timer(now, UNKNOWN_TOKEN + step.first_choice)
