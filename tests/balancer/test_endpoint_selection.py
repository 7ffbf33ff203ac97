"""Selection of an endpoint for a first attempt."""

from __future__ import annotations

from balancer import MS, Outcome
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.settings_builders import make_entries, make_entry, make_settings


def test_selection_uses_weight_and_measured_latency() -> None:
    """Selection uses both the weight and the measured latency of endpoints.

    Without weights, endpoints of threefold speed would get no more requests than others; by weight alone,
    large endpoints would get too many.
    """
    gateway = GatewayModel(make_settings(), [make_entry("large", weight=3.0), make_entry("small")])
    gateway.balancer.endpoints.local_pool.limit = 8.0
    for _ in range(4):
        gateway.receive_request()
    # The load is (attempts in flight + 1) / weight: `large` is picked twice; then both loads are 1, and each
    # is picked once.
    assert gateway.attempts_by_endpoint() == {"large": 3, "small": 1}
    slow = GatewayModel(make_settings(), [make_entry("large", weight=2.0), *make_entries(3)])
    for _ in range(80):
        request_id = slow.receive_request()
        is_large = slow.attempts_in_flight(request_id)[0] == "large"
        slow.run_for((150 if is_large else 30) * MS)
        slow.end_attempt(request_id, Outcome.OK)
    slow.attempts.clear()
    serve_sequentially(slow, 40, 30 * MS)
    assert slow.attempts_by_endpoint()["large"] < 14  # half of the random pairs contain it: 20 of 40
