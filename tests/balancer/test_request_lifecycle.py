"""Tests of the request lifecycle up to the final response."""

from __future__ import annotations

import pytest

from balancer import MS, SECOND, Idempotency, Outcome
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_class, make_entries, make_settings


def test_a_served_request_has_one_attempt_and_leaves_no_state() -> None:
    gateway = GatewayModel(make_settings(), make_entries(4))
    serve_sequentially(gateway, 1, 20 * MS)
    assert len(gateway.attempts) == 1
    assert gateway.final_responses == {1: FinalResponse.SERVED}
    assert not gateway.balancer.lifecycle.requests
    assert not gateway.violations


def test_a_request_is_rejected_while_the_endpoint_list_is_empty() -> None:
    gateway = GatewayModel(make_settings())
    request_id = gateway.receive_request()
    gateway.run_until(2 * SECOND)
    assert gateway.final_responses[request_id] is FinalResponse.REJECTED
    assert not gateway.violations


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_bad_request_fails_at_once_and_does_not_count_against_its_endpoint(
    idempotency: Idempotency,
) -> None:
    """If retried, a second endpoint would respond 400 too; if counted, both would be ejected for seconds."""
    gateway = GatewayModel(make_settings(make_class(idempotency)), make_entries(4))
    serve_sequentially(gateway, 40, 20 * MS)
    request_id = gateway.receive_request()
    before = len(gateway.attempts)
    gateway.end_attempt(request_id, Outcome.BAD_REQUEST, elapsed_ns=MS)
    assert gateway.final_responses[request_id] is FinalResponse.FAILED
    assert len(gateway.attempts) == before
    assert not any(
        endpoint.failure_share or endpoint.failure_streak
        for endpoint in gateway.balancer.endpoints.by_id.values()
    )
    gateway.run_for(2 * SECOND)
    assert len(gateway.attempts) == before
    assert not gateway.balancer.lifecycle.requests
    assert not gateway.violations
