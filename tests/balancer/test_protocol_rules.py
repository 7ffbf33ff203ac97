"""Property tests of the operators' rules under arbitrary sequences of events, with a `RuleChecker`."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import MS, SECOND, DeduplicationScope, EndpointState, Idempotency, Limits, Outcome
from balancer.discovery_polling import DiscoveryPolling
from tests.support.gateway_model import GatewayModel
from tests.support.scenario import MAX_STEP_NUMBER, Scenario, Step, StepKind
from tests.support.settings_builders import make_class, make_entry, make_settings

# Requests, outcomes and time steps are frequent, so that requests with many events are common.
FREQUENCIES = {
    StepKind.REQUEST: 6,
    StepKind.TIME: 8,
    StepKind.ATTEMPT_ENDED: 8,
    StepKind.ENDPOINT_READY: 2,
    StepKind.SNAPSHOT: 2,
}
KINDS = [kind for kind in StepKind for _ in range(FREQUENCIES.get(kind, 1))]
NUMBERS = st.integers(0, MAX_STEP_NUMBER)
STEPS = st.lists(st.builds(Step, st.sampled_from(KINDS), NUMBERS, NUMBERS), min_size=10, max_size=80)


@settings(max_examples=300)
@given(
    STEPS, st.booleans(), st.booleans(), st.sampled_from([0, 1, 2, 6]), st.sampled_from([1, 2]), st.booleans()
)
def test_no_sequence_of_events_violates_a_rule(
    steps: list[Step],
    cancellation: bool,
    hedging: bool,
    endpoint_count: int,
    zones: int,
    poll_discovery: bool,
) -> None:
    limits = Limits(max_attempts=4, cancellation=cancellation, hedging=hedging)
    gateway = Scenario(limits, endpoint_count, zones, poll_discovery).run(steps)
    assert gateway.violations == []
    assert all(record.response_count <= 1 for record in gateway.requests.values())


@settings(max_examples=100)
@given(STEPS)
def test_ended_requests_leave_no_state(steps: list[Step]) -> None:
    gateway = Scenario(Limits(max_attempts=4), 4, 1, False).run(steps)
    for request_id, record in gateway.requests.items():
        while record.attempts_in_flight:
            gateway.end_attempt(request_id, Outcome.RESET)
    gateway.run_for(10 * SECOND)
    balancer = gateway.balancer
    assert not balancer.lifecycle.attempts
    assert not [request for request in balancer.lifecycle.requests.values() if not request.is_streaming]
    assert not [
        token for token, owner in balancer.timers.owners.items() if not isinstance(owner, DiscoveryPolling)
    ]
    assert all(endpoint.in_flight == 0 for endpoint in balancer.endpoints.by_id.values())
    assert (balancer.endpoints.local_pool.in_flight, balancer.endpoints.remote_pool.in_flight) == (0, 0)


@settings(max_examples=50)
@given(STEPS)
def test_the_same_events_lead_to_the_same_actions(steps: list[Step]) -> None:
    one, two = (Scenario(Limits(max_attempts=4), 6, 2, False).run(steps) for _ in range(2))
    assert (one.attempts, one.final_responses, one.timers) == (two.attempts, two.final_responses, two.timers)


def test_protocol_rules_do_not_rely_on_endpoint_selection() -> None:
    """The selection only offers permitted endpoints; the rules must also hold for others."""
    with_key = make_class(
        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, deduplication_window_ns=400 * MS
    )
    gateway = GatewayModel(
        make_settings(with_key, limits=Limits(max_attempts=4, hedging=False)),
        [make_entry(f"h{number}", cell=number // 2) for number in range(4)],
    )
    request_id = gateway.receive_request()
    rules, endpoints = gateway.balancer.rules, gateway.balancer.endpoints.by_id.values()
    request = gateway.balancer.lifecycle.requests[request_id]
    first = request.last_endpoint
    assert first is not None
    same_cell = next(item for item in endpoints if item is not first and item.cell == first.cell)
    other_cell = next(item for item in endpoints if item.cell != first.cell)
    assert not rules.may_send(request, same_cell, 0)  # an attempt is in flight
    gateway.run_until(10 * MS)
    gateway.end_attempt(request_id, Outcome.RESET)
    assert rules.may_send(request, same_cell, gateway.now_ns)
    assert not rules.may_send(request, other_cell, gateway.now_ns)  # outside the deduplication scope
    assert not rules.may_send(request, same_cell, 400 * MS)  # the deduplication window is over
    same_cell.state = EndpointState.DRAINING
    assert not rules.may_send(request, same_cell, gateway.now_ns)
    same_cell.state = EndpointState.READY
    same_cell.started_at, same_cell.slow_start_until = gateway.now_ns, gateway.now_ns + SECOND
    same_cell.credit_updated_at, same_cell.slow_start_credit = gateway.now_ns, 0.0
    assert not rules.may_send(request, same_cell, gateway.now_ns)  # no slow-start credit yet
