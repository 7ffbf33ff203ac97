"""Slow-start simulation: the joint load of many gateways on endpoints in slow start."""

from __future__ import annotations

import pytest

from balancer import MS
from scale.cold_start.fleet import SimulatedFleet
from scale.cold_start.scenario import Scenario


@pytest.mark.parametrize(("gateways", "endpoints"), [(2, 8), (8, 6), (20, 6), (30, 6), (200, 20)])
def test_gateways_that_start_together_with_all_endpoints_send_requests(gateways: int, endpoints: int) -> None:
    """Gateways must send before the first response.

    Otherwise a gateway, which has no estimate of the rate without a response, would send nothing until the
    slow start ends after 23 s.
    """
    scenario = Scenario(
        gateways, endpoints, gateways_start=True, restarted=True, starting_share=1.0, seconds=8
    )
    fleet = SimulatedFleet(scenario, seed=1)
    result = fleet.run()
    assert fleet.served > 0
    assert result.budget_used_share > 0.02
    assert result.worst_window_share < 1.0


@pytest.mark.parametrize(("gateways", "endpoints"), [(2, 1), (8, 3), (20, 6), (30, 6)])
@pytest.mark.parametrize("mean_work_ns", [12 * MS, 50 * MS])
def test_overload_budget_holds_when_nothing_else_limits_the_load(
    gateways: int, endpoints: int, mean_work_ns: int
) -> None:
    """All endpoints are in slow start, but respond at full speed and report no requests in flight.

    The load is 1.5 times their capacity.  A fifth of the allowed load must stay unused: the speed of an
    endpoint and the load from other gateways are only estimates.
    """
    for seed in range(2):
        scenario = Scenario(
            gateways,
            endpoints,
            mean_work_ns=mean_work_ns,
            load=1.5,
            restarted=True,
            hidden_slow_start=True,
            starting_share=1.0,
            seconds=3,
        )
        result = SimulatedFleet(scenario, seed).run()
        assert result.budget_used_share > 0.2
        assert result.worst_window_share < 0.8
