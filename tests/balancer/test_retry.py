"""Retries: attempt timeouts, endpoint selection, and the conditions that forbid a retry."""

from __future__ import annotations

from balancer import MS, SECOND, DeduplicationScope, Idempotency, Outcome
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_class, make_entries, make_entry, make_settings


def test_a_non_idempotent_request_is_not_retried_after_a_reset() -> None:
    gateway = GatewayModel(make_settings(make_class(Idempotency.NON_IDEMPOTENT)), make_entries(4))
    request_id = gateway.receive_request()
    gateway.run_until(20 * MS)
    gateway.end_attempt(request_id, Outcome.RESET)
    gateway.run_until(2 * SECOND)
    assert len(gateway.attempts) == 1
    assert gateway.final_responses[request_id] is FinalResponse.FAILED
    assert not gateway.violations


def test_a_retry_with_an_idempotency_key_finds_another_endpoint_of_the_cell() -> None:
    """Retries must not draw only from the gateway's subset: it rarely has the cell's one other endpoint."""
    entries = [make_entry(f"h{number}", cell=number // 2) for number in range(60)]
    settings = make_settings(
        make_class(
            Idempotency.IDEMPOTENCY_KEY,
            DeduplicationScope.CELL,
            deduplication_window_ns=2 * SECOND,
            latency_objective_ns=SECOND,
            max_timeout_ns=4 * SECOND,
        ),
        replicas=20,
    )
    gateway = GatewayModel(settings, entries)
    request_id = gateway.receive_request()
    gateway.run_until(20 * MS)
    gateway.end_attempt(request_id, Outcome.RESET)
    gateway.run_until(2 * SECOND)
    assert len(gateway.attempts) == 2
    assert not gateway.violations


def test_a_retry_needs_capacity() -> None:
    """Retries beyond the concurrency limit would keep a congested fleet congested."""
    gateway = GatewayModel(make_settings(), make_entries(4))
    request_ids = [gateway.receive_request() for _ in range(4)]
    gateway.end_attempt(request_ids[0], Outcome.RESET)
    request_ids += [gateway.receive_request() for _ in range(8)]  # uses up the limit
    for request_id in request_ids[1:]:
        if gateway.attempts_in_flight(request_id):
            gateway.balancer.endpoints.local_pool.limit = 0.0  # simulates congestion
    before = len(gateway.attempts)
    gateway.run_for(350 * MS)
    assert len(gateway.attempts) == before


def test_an_attempt_has_no_timeout_where_its_retry_would_miss_the_objective() -> None:
    """Otherwise long requests would time out without congestion, and late retries would duplicate work."""
    gateway = GatewayModel(make_settings(), make_entries(4))
    request_id = gateway.receive_request()
    assert gateway.attempts[-1].timeout_ns == 300 * MS  # no latency is known yet: T1
    gateway.run_for(20 * MS)
    gateway.end_attempt(request_id, Outcome.OK)
    serve_sequentially(gateway, 60, 180 * MS)
    gateway.receive_request()
    # The objective is 100 ms after T1, and a response takes 180 ms.
    assert gateway.attempts[-1].timeout_ns == SECOND
    fast = GatewayModel(make_settings(), make_entries(4))
    serve_sequentially(fast, 60, 20 * MS)
    fast.receive_request()
    assert fast.attempts[-1].timeout_ns == 300 * MS
