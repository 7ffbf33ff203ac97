"""What the outcome of an attempt indicates about its endpoint."""

from __future__ import annotations

from balancer import MS, Outcome, UpdateKind
from tests.support.gateway_model import GatewayModel, serve_all_in_flight, serve_sequentially
from tests.support.settings_builders import make_entry, make_settings


def test_a_cancelled_attempt_of_a_request_with_little_time_left_counts_as_a_failure() -> None:
    """Cancellations before T1 must count; otherwise overload would hide endpoints that do not respond.

    Requests that have waited for capacity have less time left than T1.
    """
    gateway = GatewayModel(make_settings(), [make_entry("good"), make_entry("silent")])
    serve_sequentially(gateway, 30, 20 * MS)
    gateway.attempts.clear()
    for _ in range(40):
        request_id = gateway.receive_request(timeout_ns=150 * MS)
        if gateway.attempts_in_flight(request_id).get(0) == "good":
            gateway.run_for(20 * MS)
            gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=20 * MS)
        else:
            gateway.run_for(200 * MS)
            while gateway.attempts_in_flight(request_id):
                gateway.end_attempt(request_id, Outcome.CANCELLED, elapsed_ns=150 * MS)
    assert gateway.attempts_by_endpoint()["silent"] < 12


def test_an_endpoint_in_slow_start_is_slow_without_a_queue() -> None:
    """Twice the baseline latency must not count as queueing, lower the zone's limit and cause spillover."""
    gateway = GatewayModel(make_settings(), [make_entry("warm")])
    serve_sequentially(gateway, 60, 50 * MS)
    # By default an endpoint in slow start has at least a third of its full speed.
    gateway.update_endpoint_list(UpdateKind.SNAPSHOT, [make_entry("starting", started_ns=gateway.now_ns)])
    serve_all_in_flight(gateway, 20, 100 * MS)
    assert gateway.attempts_by_endpoint()["starting"] > 5
    assert gateway.balancer.endpoints.local_pool.smoothed_delay < 10 * MS
    serve_all_in_flight(gateway, 10, 350 * MS)  # seven times the baseline is more than slow start explains
    assert gateway.balancer.endpoints.local_pool.smoothed_delay > 50 * MS


def test_responses_show_an_endpoint_that_is_slow_at_a_low_reported_load() -> None:
    """Reports assume the baseline latency: endpoints slowed tenfold after a start would stay overloaded."""
    gateway = GatewayModel(
        make_settings(load_report_fields=("util", "inflight")), [make_entry("a"), make_entry("b")]
    )
    serve_all_in_flight(gateway, 100, 20 * MS, load_report=(0.5, 1.0))
    assert gateway.balancer.endpoints.local_pool.smoothed_delay < 10 * MS
    serve_all_in_flight(gateway, 20, 200 * MS, load_report=(1.0, 1.0))
    assert gateway.balancer.endpoints.local_pool.smoothed_delay > 50 * MS


def test_an_attempt_cancelled_early_does_not_count_as_a_failure() -> None:
    """One response in eight takes over twice the mean latency; a cancellation by then is no failure."""
    gateway = GatewayModel(make_settings(), [make_entry("h")])
    for _ in range(50):
        serve_sequentially(gateway, 1, 25 * MS)
        serve_sequentially(gateway, 1, 75 * MS)
    for elapsed_ns, counts_as_failure in ((100 * MS, False), (250 * MS, True)):  # mean + 3 deviations: 125 ms
        request_id = gateway.receive_request()
        gateway.run_for(elapsed_ns)
        gateway.close_client(request_id)
        gateway.end_attempt(request_id, Outcome.CANCELLED, elapsed_ns=elapsed_ns)
        assert (gateway.balancer.endpoints.by_id["h"].failure_share > 0) == counts_as_failure
