"""Slow start: the load on an endpoint that has just started, from all gateways together."""

from __future__ import annotations

from dataclasses import replace
from math import sqrt

import pytest

from balancer import MS, SECOND, EndpointState, Rules, UpdateKind
from tests.support.gateway_model import GatewayModel, serve_all_in_flight, serve_sequentially
from tests.support.settings_builders import make_entries, make_entry, make_settings


def replace_list_by_starting_endpoint(gateway: GatewayModel) -> None:
    """Replace the endpoint list by a single endpoint that starts now."""
    starting = make_entry("starting", started_ns=gateway.now_ns)
    gateway.update_endpoint_list(UpdateKind.SNAPSHOT, [starting])


@pytest.mark.parametrize("zones", [1, 2])
def test_many_gateways_together_do_not_overload_an_endpoint_in_slow_start(zones: int) -> None:
    """One request from each of 80 gateways within an overload window would overload the only endpoint."""
    rules = Rules(
        slow_start_initial_share=0.3,
        slow_start_window_ns=10 * SECOND,
        overload_factor=3.0,
        overload_window_ns=2 * SECOND,
    )
    sent = 0
    for number in range(80):
        settings = make_settings(
            replicas=80, replica_index=number, rules=rules, zones=zones, zone=number % zones
        )
        gateway = GatewayModel(settings, [make_entry("warm")], seed=number)
        serve_sequentially(gateway, 20, 80 * MS, 3120 * MS)
        gone = make_entry("warm", state=EndpointState.GONE)
        starting = make_entry("starting", started_ns=gateway.now_ns)
        gateway.update_endpoint_list(UpdateKind.DELTA, [gone, starting])
        if number < 50:  # gateways whose next request arrives within the first two seconds
            gateway.run_for(number * 40 * MS)
            serve_sequentially(gateway, 1, 80 * MS)
        sent += gateway.attempts_by_endpoint()["starting"]
    # One core serves 12.5 requests per second, and 0.3 to 0.44 of that in the first 2 s of slow start.
    assert sent < 3.0 * 0.3 * 12.5 * 2


@pytest.mark.parametrize("gateways", [2, 8, 20, 30, 200])
def test_gateways_notified_of_a_start_at_the_same_time_do_not_send_at_once(gateways: int) -> None:
    """With an initial credit of one attempt, each of 200 gateways would send one, even to a slow endpoint."""
    rules = Rules(
        slow_start_initial_share=0.12,
        slow_start_window_ns=23 * SECOND,
        overload_factor=2.5,
        overload_window_ns=2 * SECOND,
    )
    sent = 0
    for number in range(gateways):
        settings = make_settings(replicas=gateways, replica_index=number, rules=rules)
        gateway = GatewayModel(settings, [make_entry("warm")], seed=number)
        serve_sequentially(gateway, 20, 300 * MS, 3120 * MS)
        replace_list_by_starting_endpoint(gateway)
        serve_all_in_flight(gateway, 20, 10 * MS)
        sent += gateway.attempts_by_endpoint()["starting"]
    # One core serves 10 requests in 3 s, and 0.12 of that in slow start.
    overload = 2.5 * 0.12 * 10 / 3 * 2
    assert sent <= overload + 2 * sqrt(overload) + 2


def test_unused_slow_start_credit_does_not_accumulate() -> None:
    """Credit that is unused while no requests arrive does not add to the budget of later ones."""
    gateway = GatewayModel(make_settings(), [make_entry("warm")])
    serve_sequentially(gateway, 60, 50 * MS)
    replace_list_by_starting_endpoint(gateway)
    gateway.run_for(5 * SECOND)
    serve_all_in_flight(gateway, 20, MS)
    assert gateway.attempts_by_endpoint()["starting"] <= 2


def test_endpoints_that_started_long_ago_are_warm_soon_after_time_zero() -> None:
    """If all counted as in slow start near time zero, the next endpoint list would raise the limit."""
    gateway = GatewayModel(make_settings(), make_entries(4))
    before = gateway.balancer.endpoints.local_pool.limit
    gateway.run_until(5 * SECOND)
    gateway.update_endpoint_list(UpdateKind.SNAPSHOT, make_entries(4))
    assert gateway.balancer.endpoints.local_pool.limit == before


def test_congestion_of_warm_endpoints_leaves_the_slow_start_budget_as_it_is() -> None:
    """If the budget were based on a latency with queueing, longer queues elsewhere would reduce it."""
    sent = []
    for queueing_delay in (0, 280 * MS):
        gateway = GatewayModel(make_settings(), [make_entry("warm")])
        serve_sequentially(gateway, 100, 20 * MS)
        serve_sequentially(gateway, 40, 20 * MS + queueing_delay)
        replace_list_by_starting_endpoint(gateway)
        serve_all_in_flight(gateway, 200, 10 * MS)
        sent.append(gateway.attempts_by_endpoint()["starting"])
    assert sent[1] > 0.5 * sent[0] > 10


def test_an_endpoint_in_slow_start_gets_attempts_by_its_reported_load() -> None:
    """A worst-case estimate alone would give even an idle endpoint only a fraction of the budget."""
    sent = []
    for reported_in_flight in (1.0, 3.0, 9.0):
        gateway = GatewayModel(make_settings(load_report_fields=("inflight",)), [make_entry("warm")])
        serve_all_in_flight(gateway, 100, 20 * MS, load_report=(1.0,))
        replace_list_by_starting_endpoint(gateway)
        serve_all_in_flight(gateway, 200, 10 * MS, load_report=(reported_in_flight,))
        sent.append(gateway.attempts_by_endpoint()["starting"])
    assert sent[0] > 1.3 * sent[1] > 1.3 * 2 * sent[2] > 0


def test_requests_that_spill_over_go_to_endpoints_in_slow_start_too() -> None:
    """Spillover must not avoid a zone until its slow start ends: the local zone may be short of endpoints."""
    gateway = GatewayModel(make_settings(zones=2), [make_entry("local"), make_entry("remote", zone=1)])
    serve_all_in_flight(gateway, 100, 20 * MS)
    gateway.update_endpoint_list(
        UpdateKind.SNAPSHOT, [make_entry("remote", zone=1, started_ns=gateway.now_ns)]
    )
    before = len(gateway.attempts)
    serve_all_in_flight(gateway, 200, 10 * MS)
    assert len(gateway.attempts) > before + 20


def test_changed_rules_apply_to_an_endpoint_in_slow_start() -> None:
    gateway = GatewayModel(make_settings(), [make_entry("warm")])
    gateway.run_until(100 * SECOND)
    gateway.update_endpoint_list(UpdateKind.DELTA, [make_entry("starting", started_ns=gateway.now_ns)])
    gateway.apply_settings(replace(gateway.settings, rules=Rules(slow_start_window_ns=30 * SECOND)))
    endpoints = gateway.balancer.endpoints.by_id
    assert endpoints["starting"].slow_start_until == 130 * SECOND
    assert endpoints["warm"].slow_start_until == 0
