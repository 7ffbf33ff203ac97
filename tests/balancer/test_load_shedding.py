"""Load shedding: which requests are shed while others miss their objective."""

from __future__ import annotations

from balancer import MS
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_entries, make_settings


def test_a_request_that_cannot_be_in_time_is_rejected_at_once() -> None:
    """Otherwise a third of the work would go to requests with a quarter of the time that a response takes."""
    gateway = GatewayModel(make_settings(), make_entries(4))
    serve_sequentially(gateway, 60, 200 * MS)
    request_id = gateway.receive_request(timeout_ns=50 * MS)
    assert not gateway.final_responses.get(request_id)  # nothing is shed while all requests are in time
    gateway.balancer.load_shedder.missed_share = 1.0
    before = len(gateway.attempts)
    request_id = gateway.receive_request(timeout_ns=50 * MS)
    assert len(gateway.attempts) == before
    assert gateway.final_responses[request_id] is FinalResponse.REJECTED
    request_id = gateway.receive_request()
    assert gateway.attempts[-1].request_id == request_id


def test_a_class_that_is_shed_is_sent_again_as_a_trial() -> None:
    """Without a trial, no response could show that a class considered too slow has become fast."""
    gateway = GatewayModel(make_settings(), make_entries(4))
    serve_sequentially(gateway, 60, 900 * MS)
    before = len(gateway.attempts)
    for _ in range(100):
        gateway.receive_request()
        gateway.run_for(100 * MS)
    assert 1 <= len(gateway.attempts) - before <= 5
