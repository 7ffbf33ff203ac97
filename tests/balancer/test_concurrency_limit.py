"""The concurrency limit of a pool."""

from __future__ import annotations

from balancer import MS, SECOND, Outcome, UpdateKind
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.settings_builders import make_entries, make_settings


def test_a_change_of_the_endpoint_list_does_not_reset_the_limit() -> None:
    """A reset at each change would let all gateways send a burst to a congested fleet."""
    entries = make_entries(8)
    gateway = GatewayModel(make_settings(), entries)
    for _ in range(60):
        request_id = gateway.receive_request()
        while gateway.attempts_in_flight(request_id):
            gateway.end_attempt(request_id, Outcome.OVERLOADED, elapsed_ns=MS)
        gateway.run_for(50 * MS)
    gateway.run_for(20 * MS)
    before = len(gateway.attempts)
    gateway.update_endpoint_list(UpdateKind.SNAPSHOT, entries[1:])
    for _ in range(8):
        gateway.receive_request()
    assert len(gateway.attempts) - before <= 2


def test_many_gateways_that_start_together_send_about_two_requests_per_endpoint() -> None:
    """An initial limit of one request per pool would let hundreds of gateways congest a small fleet."""
    settings = make_settings(replicas=200)
    attempts = 0
    for seed in range(200):
        gateway = GatewayModel(settings, make_entries(20), seed)
        gateway.receive_request()
        attempts += len(gateway.attempts)
    assert 20 <= attempts <= 60  # about two per endpoint, not one per gateway


def test_the_last_endpoint_that_is_not_ejected_does_not_get_the_capacity_of_all() -> None:
    """The full limit would congest the third endpoint while two are ejected, and it would be ejected too."""
    gateway = GatewayModel(make_settings(), make_entries(3))
    serve_sequentially(gateway, 30, 10 * MS)
    endpoints = gateway.balancer.endpoints
    endpoints.local_pool.limit = 12.0
    for endpoint_id in ("h0", "h1"):
        for _ in range(3):
            gateway.run_for(100 * MS)
            endpoints.by_id[endpoint_id].observe(
                SECOND, 300 * MS, gateway.now_ns, failed_attempt_sent_at=gateway.now_ns
            )
    before = gateway.attempts_by_endpoint()["h2"]
    for _ in range(12):
        gateway.receive_request()
    sent = gateway.attempts_by_endpoint()["h2"] - before
    assert sent in (4, 5)  # a third of the limit, and at most one more by random rounding


def test_the_limit_does_not_grow_fast_while_every_endpoint_is_busy() -> None:
    """At a start under full load, with no baseline latency, limits must not grow from 3 to 14 in 0.5 s."""
    gateway = GatewayModel(make_settings(), make_entries(3))
    for _ in range(9):
        gateway.receive_request()
    served = 0
    # Whenever a request ends, a waiting one is sent, so no endpoint is idle.
    while len(gateway.balancer.wait_queue):
        request_id = gateway.requests_in_flight()[0]
        gateway.run_for(5 * MS)
        gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=5 * MS)
        served += 1
    assert served
    assert gateway.balancer.endpoints.local_pool.limit <= 3.0 + 0.06 * served
