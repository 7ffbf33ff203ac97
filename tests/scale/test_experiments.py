"""Experiments at small sizes: counts, bytes and ratios of the figures."""

from __future__ import annotations

import pytest

from scale.experiments import endpoints, extra_responses, gateways, settings


async def test_bytes_of_a_snapshot_and_a_zone_loss_grow_with_the_fleet_and_those_of_a_change_do_not() -> None:
    small, large = [await endpoints.run(size, 1, changes=2) for size in (30, 300)]
    assert 9 < large["list_bytes"] / small["list_bytes"] < 11
    assert 9 < large["zone_bytes"] / small["zone_bytes"] < 11
    assert 0.9 < large["change_bytes"] / small["change_bytes"] < 1.1
    for name in ("list_parse_ms", "list_module_ms", "change_module_ms", "zone_hold_ms", "zone_rss_mb"):
        assert large[name] > 0, name


async def test_headless_gateways_apply_a_change_a_zone_loss_and_the_list_after_a_restart() -> None:
    figures = await gateways.run(9, 1, hosts=12, ask_within_s=0.4)
    for name in ("change", "zone"):
        assert (figures[f"{name}_calls"], figures[f"{name}_failed_calls"]) == (0, 0)
        assert 0 < figures[f"{name}_p50_ms"] <= figures[f"{name}_p99_ms"]
        assert figures[f"{name}_p99_ms"] <= 1000 * figures[f"{name}_last_s"]
    assert (figures["restart_calls"], figures["restart_failed_calls"]) == (9, 0)
    assert figures["zone_bytes"] > 3 * figures["change_bytes"] > 0
    # 720 * 7,500 states of endpoints are the most that the memory of one machine is expected to hold.
    with pytest.raises(ValueError, match="are more than"):
        await gateways.run(721, 1, hosts=7_500)


async def test_settings_change_is_applied_after_sighup_and_after_a_restart() -> None:
    figures = await settings.run(20, 1)
    assert figures["restart_in_force_share"] == figures["sighup_in_force_share"] == 1.0
    assert figures["sighup_hold_ms"] > 0
    assert figures["sighup_in_force_s"] > 0
    assert 0 < figures["tenants_bytes"] < figures["config_bytes"]
    assert figures["restart_told_s"] > 0


async def test_extra_responses_come_from_the_faulty_endpoints_only() -> None:
    figures = await extra_responses.run(2, 1, seconds=1.0, rate=100.0, one_in=2, share=1.0, mean_ms=1.0)
    assert figures["clean_requests"] == figures["mixed_requests"] > 50
    assert (figures["clean_extra_responses"], figures["clean_foreign"]) == (0, 0)
    assert figures["mixed_extra_responses"] > 0
    assert figures["mixed_connections_per_request"] > figures["clean_connections_per_request"]
