"""Tests of the balancer: invalid events, and settings that change while it runs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from balancer import MS, SECOND, Idempotency, IncomingRequest, Outcome, Tenant
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_class, make_entries, make_entry, make_settings


def test_unknown_class_is_named_in_the_error() -> None:
    gateway = GatewayModel(make_settings(), [make_entry("h")])
    with pytest.raises(ValueError, match="class 7"):
        gateway.balancer.on_request(0, IncomingRequest(1, 7, 0, 0, SECOND, 0, False))


def test_unknown_tenant_and_reused_request_id_are_named_in_the_error() -> None:
    gateway = GatewayModel(make_settings(), [make_entry("h")])
    with pytest.raises(ValueError, match="tenant 3"):
        gateway.balancer.on_request(0, IncomingRequest(1, 0, 3, 0, SECOND, 0, False))
    request_id = gateway.receive_request()
    with pytest.raises(ValueError, match=f"request {request_id}"):
        gateway.balancer.on_request(0, IncomingRequest(request_id, 0, 0, 0, SECOND, 0, False))


def test_changed_settings_apply_and_classes_keep_their_statistics() -> None:
    one, two = make_class(name="one"), make_class(Idempotency.NON_IDEMPOTENT, name="two")
    before = make_settings(one, two, tenants=(Tenant("a", 40.0),), over_quota_weight=0.05)
    gateway = GatewayModel(before, make_entries(4))
    serve_sequentially(gateway, 20, 30 * MS)
    serve_sequentially(gateway, 20, 60 * MS, class_index=1)
    request_id = gateway.receive_request(1)
    balancer = gateway.balancer
    open_request = balancer.lifecycle.requests[request_id]
    means = [traffic_class.mean for traffic_class in balancer.classes]
    assert means[0] < means[1]
    changed_two = replace(two, latency_objective_ns=300 * MS, priority_weight=5.0)
    gateway.apply_settings(replace(before, classes=(changed_two, one), tenants=(), replicas=4))
    assert [traffic_class.mean for traffic_class in balancer.classes] == means[::-1]
    assert [
        (traffic_class.latency_objective_ns, traffic_class.priority_weight)
        for traffic_class in balancer.classes
    ] == [(300 * MS, 5.0), (400 * MS, 1.0)]
    old_class = open_request.traffic_class
    assert old_class not in balancer.classes
    assert (old_class.latency_objective_ns, old_class.priority_weight) == (400 * MS, 1.0)
    gateway.run_for(20 * MS)
    gateway.end_attempt(request_id, Outcome.RESET)  # non-idempotent under the settings at its arrival
    assert gateway.final_responses[request_id] is FinalResponse.FAILED
    assert open_request.attempt_count == 1
    gateway.run_for(20 * SECOND)
    gateway.receive_request(1)
    tenant = balancer.tenants.quotas[0]
    assert tenant is not None
    assert tenant.credit == 2 * 40.0 / 4 + 4 - 1  # a quarter of the quota, as there are four gateways now
    assert balancer.endpoints.endpoints_per_gateway == 1.0
    assert not gateway.violations


@pytest.mark.parametrize(
    "changes",
    [
        {"zone": 1, "zones": 2},
        {"replica_index": 1},
        {"tick_ns": 5 * MS},
        {"poll_discovery": True},
        {"load_report_fields": ("queue",)},
        {"classes": (make_class(Idempotency.NON_IDEMPOTENT),)},
    ],
)
def test_change_of_an_immutable_setting_raises_and_has_no_effect(changes: dict[str, Any]) -> None:
    before = make_settings()
    gateway = GatewayModel(before, [make_entry("h")])
    classes = gateway.balancer.classes
    with pytest.raises(ValueError, match="can't change"):
        gateway.balancer.on_settings(0, replace(before, over_quota_weight=0.5, **changes))
    assert gateway.balancer.settings is before
    assert gateway.balancer.classes is classes
