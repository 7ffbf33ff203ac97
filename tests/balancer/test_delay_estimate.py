"""Failures in the delay estimate of an endpoint: how they count in its failure streak."""

from __future__ import annotations

from balancer import MS, SECOND, Outcome
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.settings_builders import make_entry, make_settings


def test_concurrent_failures_count_once_in_the_failure_streak() -> None:
    """Failures of attempts that were in flight together count once.

    Otherwise an endpoint that hangs for 3 s with 19 attempts in flight would stay ejected for 8 s more, and
    the others would be overloaded.
    """
    gateway = GatewayModel(make_settings(), [make_entry("h")])
    serve_sequentially(gateway, 60, 10 * MS, 0)
    endpoint = gateway.balancer.endpoints.by_id["h"]
    gateway.balancer.endpoints.local_pool.limit = 9.0
    request_ids = [gateway.receive_request() for _ in range(3)]
    assert all(gateway.attempts_in_flight(request_id) for request_id in request_ids)
    gateway.run_for(200 * MS)
    for request_id in request_ids:
        gateway.end_attempt(request_id, Outcome.ERROR, elapsed_ns=200 * MS)
        gateway.run_for(MS)
    assert endpoint.failure_streak == 1
    gateway.run_for(8 * SECOND)
    request_id = gateway.receive_request()
    gateway.run_for(20 * MS)
    gateway.end_attempt(request_id, Outcome.ERROR, elapsed_ns=20 * MS)
    assert endpoint.failure_streak == 2
