"""Latency statistics of a request class."""

from __future__ import annotations

from balancer import MS, SECOND, Outcome
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.settings_builders import make_class, make_entries, make_entry, make_settings


def test_a_delayed_request_with_a_small_cost_hint_does_not_hide_congestion() -> None:
    """A latency of 50 ms at a hint of 1 us must not raise the baseline a thousandfold and hide congestion."""
    gateway = GatewayModel(make_settings(make_class(late_weight=0.0)), make_entries(4))

    def serve(cost_hint_ns: int, latency_ns: int) -> None:
        request_id = gateway.receive_request(cost_hint_ns=cost_hint_ns)
        gateway.run_for(latency_ns)
        gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=latency_ns)
        gateway.run_for(2 * MS)

    for _ in range(200):
        serve(10 * MS, 10 * MS)
    serve(1000, 50 * MS)
    for _ in range(40):
        serve(10 * MS, 60 * MS)
    assert gateway.balancer.endpoints.local_pool.current_delay(SECOND, gateway.now_ns) > 20 * MS


def test_responses_that_waited_behind_others_hardly_raise_the_baseline_latency() -> None:
    """If queueing under full load from the start became the baseline, limits would grow until congestion."""
    gateway = GatewayModel(make_settings(make_class(late_weight=0.0)), [make_entry("h")])
    for _ in range(40):
        gateway.balancer.endpoints.local_pool.limit = 9.0
        serve_sequentially(gateway, 1, 10 * MS, 0)
        request_ids = [gateway.receive_request() for _ in range(5)]
        gateway.run_for(50 * MS)
        for request_id in request_ids:
            gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=50 * MS)
    assert gateway.balancer.classes[0].baseline < 40 * MS
