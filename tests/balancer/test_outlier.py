"""Outlier ejection: which endpoints are ejected, and for how long."""

from __future__ import annotations

import pytest

from balancer import MS, SECOND, Idempotency, Outcome
from balancer.outlier import MIN_BROKEN_STREAK, is_ejected
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_class, make_entries, make_entry, make_settings


def test_an_endpoint_that_rejects_every_attempt_is_ejected() -> None:
    """An endpoint that hangs and rejects every attempt must not count as recovered after each one.

    Its queue is full, so the rejections come fast.
    """
    gateway = GatewayModel(make_settings(), [make_entry("good"), make_entry("full")])
    for _ in range(60):
        request_id = gateway.receive_request()
        gateway.run_for(5 * MS)
        while in_flight := gateway.attempts_in_flight(request_id):
            outcome = Outcome.OVERLOADED if in_flight[min(in_flight)] == "full" else Outcome.OK
            gateway.end_attempt(request_id, outcome, elapsed_ns=5 * MS)
    assert gateway.attempts_by_endpoint()["full"] < 10


def test_an_unresponsive_endpoint_is_ejected_by_requests_that_may_not_be_retried() -> None:
    """Non-idempotent attempts last until the deadline; an unresponsive endpoint must not get half of them."""
    gateway = GatewayModel(
        make_settings(make_class(Idempotency.NON_IDEMPOTENT)), [make_entry("good"), make_entry("silent")]
    )
    for _ in range(40):
        request_id = gateway.receive_request()
        in_flight = gateway.attempts_in_flight(request_id)
        gateway.run_for(20 * MS)
        if in_flight and in_flight[0] == "good":
            gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=20 * MS)
        gateway.run_for(80 * MS)
    assert gateway.attempts_by_endpoint()["silent"] < 12
    assert not gateway.violations


def test_failures_of_slow_requests_eject_an_endpoint_for_fast_ones_too() -> None:
    """Failures decay no faster for requests with a short T1.

    If they decayed by the T1 of the current request, the class with the shortest latency objective would go
    on sending to unresponsive endpoints.
    """
    fast = make_class(name="fast", latency_objective_ns=100 * MS)
    slow = make_class(name="slow", latency_objective_ns=SECOND, max_timeout_ns=2 * SECOND)
    gateway = GatewayModel(make_settings(fast, slow), [make_entry("h")])
    endpoint = gateway.balancer.endpoints.by_id["h"]
    for now in (SECOND, 2 * SECOND):
        endpoint.observe(SECOND, SECOND, now, failed_attempt_sent_at=now)
    assert is_ejected(endpoint, 75 * MS, 3400 * MS)


def test_endpoints_that_reject_every_attempt_get_few_attempts() -> None:
    """A subset that rejects all attempts could not recover from overload if gateways continued to send."""
    gateway = GatewayModel(make_settings(), [make_entry("a"), make_entry("b")])
    for _ in range(400):  # 40 seconds
        gateway.receive_request()
        for request_id, record in gateway.requests.items():
            while record.attempts_in_flight:
                gateway.end_attempt(request_id, Outcome.OVERLOADED, elapsed_ns=MS)
        gateway.run_for(100 * MS)
    late = sum(attempt.sent_at_ns > 10 * SECOND for attempt in gateway.attempts)
    assert 1 <= late <= 30  # a few are still sent
    assert not gateway.violations


@pytest.mark.parametrize("outcome", [Outcome.INVALID_RESPONSE, Outcome.RESET])
def test_broken_responses_count_as_failures_only_in_a_row(outcome: Outcome) -> None:
    gateway = GatewayModel(make_settings(make_class(Idempotency.NON_IDEMPOTENT)), [make_entry("h")])
    serve_sequentially(gateway, 20, 20 * MS, 200 * MS)
    endpoint = gateway.balancer.endpoints.by_id["h"]
    for number in range(MIN_BROKEN_STREAK):
        request_id = gateway.receive_request()
        gateway.run_for(20 * MS)
        gateway.end_attempt(request_id, outcome)
        assert gateway.final_responses[request_id] is FinalResponse.FAILED
        assert (endpoint.failure_share > 0.0) == (number == MIN_BROKEN_STREAK - 1)
    assert not gateway.violations


def test_an_endpoint_no_longer_ejected_gets_one_attempt_until_one_is_served() -> None:
    """Otherwise as many attempts as its part of the limit would be sent, and all fail if it still hangs."""
    gateway = GatewayModel(make_settings(), make_entries(2))
    serve_sequentially(gateway, 30, 10 * MS)
    gateway.balancer.endpoints.local_pool.limit = 20.0
    failing = gateway.balancer.endpoints.by_id["h0"]
    for _ in range(3):
        gateway.run_for(100 * MS)
        failing.observe(SECOND, 300 * MS, gateway.now_ns, failed_attempt_sent_at=gateway.now_ns)
    while is_ejected(failing, 300 * MS, gateway.now_ns):
        gateway.run_for(100 * MS)
    before = gateway.attempts_by_endpoint()["h0"]
    request_ids = [gateway.receive_request() for _ in range(9)]
    assert gateway.attempts_by_endpoint()["h0"] - before == 1
    first = next(
        request_id for request_id in request_ids if "h0" in gateway.attempts_in_flight(request_id).values()
    )
    gateway.run_for(10 * MS)
    gateway.end_attempt(first, Outcome.OK, elapsed_ns=10 * MS)
    for _ in range(5):
        gateway.receive_request()
    assert gateway.attempts_by_endpoint()["h0"] - before > 2
