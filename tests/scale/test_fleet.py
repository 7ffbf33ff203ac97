"""Synthetic fleet: endpoint rows, their changes and the matching gateway configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from gateway.configuration import Configuration
from gateway.discovery import EndpointCapacity, EndpointListParser
from gateway.memory_budget import MemoryBudget
from scale.fleet import make_configuration

from .fleets import START_MS, make_fleet


def test_fleet_and_changes_depend_only_on_the_seed() -> None:
    def history(seed: int) -> list[Any]:
        fleet = make_fleet(seed=seed)
        lists = [list(fleet.rows.values())]
        lists += [fleet.drain(2), fleet.replace(2), fleet.lose_zone("zone-1"), fleet.restore_zone("zone-1")]
        return [*lists, list(fleet.rows.values())]

    assert history(3) == history(3) != history(4)


def test_changes_have_the_format_of_discovery() -> None:
    fleet = make_fleet()
    rows = dict(fleet.rows)
    assert [row["lifecycle"] for row in fleet.drain(2)] == ["terminating"] * 2
    replaced = fleet.replace(2)
    assert [row["lifecycle"] for row in replaced] == ["terminated"] * 2 + ["in_service"] * 2
    assert [row["startedAtMs"] for row in replaced[2:]] == [START_MS] * 2
    assert [row["zone"] for row in replaced[:2]] == [row["zone"] for row in replaced[2:]]
    lost = fleet.lose_zone("zone-1")
    assert {row["lifecycle"] for row in lost} == {"terminated"}
    assert all(row["zone"] != "zone-1" for row in fleet.rows.values())
    restored = fleet.restore_zone("zone-1")
    assert [row["instanceId"] for row in restored] == [row["instanceId"] for row in lost]
    assert {(row["lifecycle"], row["startedAtMs"]) for row in restored} == {("in_service", START_MS)}
    assert len(fleet.rows) == 12
    assert {row["lifecycle"] for row in rows.values()} == {"in_service"}


def test_gateway_parses_the_configuration_and_every_row(tmp_path: Path) -> None:
    fleet = make_fleet()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(make_configuration(fleet, 20, number=4, tenants=50, discovery="127.0.0.1:8500"))
    )
    configuration = Configuration.read({"EDGE_CONFIG": str(path)})
    settings = configuration.settings
    assert (settings.replica_index, settings.zone, settings.replicas) == (4, 1, 20)
    shares = [tenant.traffic_share for tenant in settings.tenants]
    assert sum(shares) == pytest.approx(1.0)
    assert shares[0] > 10 * shares[-1]
    parser = EndpointListParser(
        configuration.zones, configuration.machine_types, EndpointCapacity(MemoryBudget(64 << 20))
    )
    generation, is_snapshot, listed = parser.parse(configuration.cached_list, 0)
    assert (generation, is_snapshot, len(listed)) == (1, True, 12)
    assert all(
        set(row)
        == {"instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs"}
        for row in fleet.rows.values()
    )
