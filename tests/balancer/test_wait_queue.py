"""Tests of the queue of requests that wait for capacity."""

from __future__ import annotations

from balancer import MS
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.settings_builders import make_class, make_entries, make_settings


def test_entries_of_ended_requests_do_not_accumulate_in_the_wait_queue() -> None:
    """Entries of ended requests must be removed even while no request is taken from the queue."""
    gateway = GatewayModel(make_settings())
    for _ in range(3000):
        gateway.receive_request(timeout_ns=20 * MS)
        gateway.run_for(10 * MS)
    assert gateway.balancer.wait_queue.heap_size < 100


def test_new_requests_do_not_overtake_waiting_ones() -> None:
    """With a second random draw for capacity, a request would overtake waiting ones of higher priority."""
    high = make_class(name="high", priority_weight=9.0)
    low = make_class(name="low", priority_weight=1.0)
    gateway = GatewayModel(make_settings(high, low), make_entries(4))
    serve_sequentially(gateway, 20, 20 * MS)
    serve_sequentially(gateway, 20, 20 * MS, class_index=1)
    gateway.balancer.endpoints.local_pool.limit = 0.5  # each draw finds capacity with a probability of 0.5
    request_ids = [gateway.receive_request(class_index) for class_index in (0, 0, 1, 1, 1, 1, 1, 1)]
    sent = [attempt.request_id for attempt in gateway.attempts if attempt.request_id in request_ids]
    assert sent == request_ids[:1]
