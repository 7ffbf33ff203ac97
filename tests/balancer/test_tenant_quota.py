"""Tests of tenant quotas, and of tenants that change while the balancer runs."""

from __future__ import annotations

import pytest

from balancer import MS, SECOND, Outcome, Tenant
from tests.support.gateway_model import GatewayModel, serve_sequentially
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_entries, make_entry, make_settings


def test_requests_over_quota_are_rejected_first_while_the_pool_is_busy() -> None:
    """A tenant far over its quota must not displace others, as requests over quota have little weight."""
    tenants = (Tenant("over quota", quota_per_s=10.0), Tenant("within quota", quota_per_s=10.0))
    gateway = GatewayModel(
        make_settings(tenants=tenants, over_quota_weight=0.05), [make_entry("a"), make_entry("b")]
    )
    gateway.balancer.endpoints.local_pool.limit = 6.0
    serve_sequentially(gateway, 30, 20 * MS)
    over: list[int] = []
    within: list[int] = []
    # 60 requests per second with late responses; five in six are from the tenant over its quota.
    for number in range(200):
        tenant_index = int(number % 6 == 0)
        request_id = gateway.receive_request(tenant_index=tenant_index)
        (within if tenant_index else over).append(request_id)
        gateway.run_for(16 * MS)
        for earlier_id, record in gateway.requests.items():
            while record.attempts_in_flight and earlier_id <= request_id - 5:
                gateway.end_attempt(earlier_id, Outcome.OK, elapsed_ns=300 * MS)
    assert rejected_share(gateway, within) < 0.25
    assert rejected_share(gateway, over) > 0.5
    assert not gateway.violations


def rejected_share(gateway: GatewayModel, request_ids: list[int]) -> float:
    """Return the share of the requests that were rejected."""
    responses = [gateway.final_responses.get(request_id) for request_id in request_ids]
    return responses.count(FinalResponse.REJECTED) / len(responses)


def test_tenant_within_its_quota_may_send_short_bursts() -> None:
    """With a largest burst of one request, two requests that coincide by chance would count as over quota."""
    tenants = (Tenant("small", quota_per_s=10.0), Tenant("other", quota_per_s=10.0))
    gateway = GatewayModel(
        make_settings(tenants=tenants, over_quota_weight=0.1, replicas=20), make_entries(8)
    )
    gateway.balancer.load_shedder.missed_share = 1.0  # all requests over quota are shed
    gateway.balancer.endpoints.local_pool.limit = 9.0
    # This gateway's share of the quota is half a request per second.
    request_ids = [gateway.receive_request() for _ in range(4)]
    assert [attempt.request_id for attempt in gateway.attempts] == request_ids
    for _ in range(4):
        gateway.receive_request()
    assert FinalResponse.REJECTED in gateway.final_responses.values()


def test_changed_tenants_keep_their_credit() -> None:
    settings = make_settings(tenants=(Tenant("a", quota_per_s=10.0), Tenant("b")), over_quota_weight=0.05)
    gateway = GatewayModel(settings, make_entries(4))
    serve_sequentially(gateway, 4, 20 * MS, gap_ns=0)
    balancer = gateway.balancer
    first = balancer.tenants.quotas[0]
    assert first is not None
    before = first.credit
    balancer.on_tenants(
        gateway.now_ns, [(0, Tenant("a", 1000.0)), (1, Tenant("b", 5.0)), (2, Tenant("c", 3.0))]
    )
    assert balancer.tenants.quotas[0] is first
    assert first.quota_per_s == 1000.0
    # The credit gained since its last request is based on the old quota.
    assert before < first.credit <= before + 10.0 * 0.02 + 1e-9
    gateway.run_for(10 * SECOND)
    gateway.receive_request()
    assert first.credit == 2 * 1000.0 + 4 - 1
    balancer.on_tenants(gateway.now_ns, [(0, Tenant("a", 1.0))])
    gateway.receive_request()
    assert first.credit == 2 * 1.0 + 4 - 1  # limited to the largest burst of the new quota
    request_id = gateway.receive_request(tenant_index=2)
    third = balancer.lifecycle.requests[request_id].tenant
    balancer.on_tenants(gateway.now_ns, [(2, Tenant("")), (2, Tenant("d", 3.0))])
    assert third is not None
    assert third is not balancer.tenants.quotas[2]  # the new tenant starts with a credit of its own
    gateway.run_for(3 * SECOND)
    assert request_id in gateway.final_responses
    assert not gateway.violations


def test_tenant_index_out_of_range_raises_and_has_no_effect() -> None:
    gateway = GatewayModel(make_settings(tenants=(Tenant("a"),)), [make_entry("h")])
    with pytest.raises(ValueError, match="tenant 1 "):
        gateway.receive_request(tenant_index=1)
    with pytest.raises(ValueError, match="tenant 3 "):
        gateway.balancer.on_tenants(0, [(1, Tenant("b", 1.0)), (3, Tenant("c", 1.0))])
    with pytest.raises(ValueError, match="tenant 1 "):
        gateway.receive_request(tenant_index=1)
    gateway.balancer.on_tenants(0, [(1, Tenant("b", 1.0))])
    gateway.receive_request(tenant_index=1)
