"""Queueing delay from load reports."""

from __future__ import annotations

from balancer import MS, EndpointId, Outcome
from tests.support.gateway_model import GatewayModel
from tests.support.settings_builders import make_entry, make_settings


def test_a_load_report_of_queue_and_service_time_gives_the_delay() -> None:
    """Reports without the requests in flight must not be ignored."""
    settings = make_settings(load_report_fields=("queue", "service_ms"), load_report_inline=True)
    gateway = GatewayModel(settings, [make_entry("busy"), make_entry("idle")])
    for _ in range(30):
        request_id = gateway.receive_request()
        gateway.run_for(20 * MS)
        queue = 9.0 if gateway.attempts_in_flight(request_id)[0] == "busy" else 0.0
        gateway.end_attempt(request_id, Outcome.OK, elapsed_ns=20 * MS, load_report=(queue, 40.0))
    endpoints = gateway.balancer.endpoints.by_id
    assert endpoints["busy"].smoothed_delay > 100 * MS
    assert endpoints["idle"].smoothed_delay < 20 * MS


def test_load_reports_show_endpoints_that_other_gateways_have_filled() -> None:
    """Otherwise 40 gateways would fill a zone, as each raises its limit after the few responses it sees."""
    zones: dict[EndpointId, int] = {f"h{number}": number % 2 for number in range(60)}
    gateway = GatewayModel(
        make_settings(zones=2, replicas=40, load_report_fields=("util", "inflight")),
        [make_entry(endpoint_id, zone=zone) for endpoint_id, zone in zones.items()],
    )
    for _ in range(150):
        request_id = gateway.receive_request()
        gateway.run_for(50 * MS)
        for attempt, endpoint_id in list(gateway.attempts_in_flight(request_id).items()):
            load_report = (1.0, 1.0 if zones[endpoint_id] else 9.0)
            gateway.end_attempt(request_id, Outcome.OK, attempt, elapsed_ns=50 * MS, load_report=load_report)
    spilled_over = [zones[attempt.endpoint_id] for attempt in gateway.attempts[-50:]]
    assert sum(spilled_over) > 25
