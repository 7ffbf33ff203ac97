"""Configuration reload on SIGHUP: over sockets, step by step, and in a real process."""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator, Callable, Generator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import pytest

from balancer import Tenant
from gateway.configuration import Configuration, ConfigurationError, TenantTable
from gateway.reload import ReloadState
from gateway.tenant_table import ROWS_PER_STEP, TenantChanges, TenantDifference
from tests.support.loopback import (
    CLOSING_RESPONSE,
    SETTINGS,
    FakeDiscovery,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.processes import connect, start_gateway, write_config

ACME = {"name": "acme", "portion": 1.0}

Result = TypeVar("Result")


class ConfigurationFile:
    """A configuration file that the test rewrites, and the gateway that reloads it."""

    def __init__(self, harness: GatewayHarness, path: Path) -> None:
        self.harness, self.path = harness, path
        self.reload = harness.gateway.configuration_reloader

    def write(self, sections: dict[str, Any] | None = None, **settings: Any) -> None:
        """Replace the file and reload it."""
        self.path.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": self.harness.discovery.address,
                    "seed": "7",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": {**SETTINGS, **settings},
                    **(sections or {}),
                }
            )
        )
        self.harness.gateway.reload()

    async def wait_for(self, state: ReloadState) -> None:
        """Wait until the reload reaches a state."""
        await wait_until(lambda: self.reload.state is state)

    def state(self) -> ReloadState:
        """The state of the reload."""
        return self.reload.state

    def tenant_names(self) -> list[bytes]:
        """Names of the current tenants."""
        return list(self.reload.tenants.slots)


@asynccontextmanager
async def running_gateway(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, **more: Any
) -> AsyncIterator[tuple[ConfigurationFile, FakeEndpoint]]:
    """A running gateway with one endpoint, and the configuration file that it reloads."""
    path = tmp_path / "configuration.json"
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, **more)
        yield ConfigurationFile(harness, path), endpoint


def tenant_rows(*names: str, quota: float = 1.0) -> list[msgspec.Raw]:
    return [msgspec.Raw(json.dumps({"name": name, "allowance-per-s": quota}).encode()) for name in names]


def tenant_table(*names: str) -> TenantTable:
    return TenantTable(tenant_rows(*names), [Tenant(name, 1.0) for name in names])


def run_steps(steps: Generator[None, None, Result], on_step: Callable[[], None] = lambda: None) -> Result:
    """Run all steps to the end; `on_step` is called after each step but the last."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
        on_step()


def compare(table: TenantTable, rows: Sequence[msgspec.Raw]) -> TenantDifference:
    return run_steps(table.compare(rows))


def apply(table: TenantTable, rows: Sequence[msgspec.Raw]) -> list[tuple[int, Tenant]]:
    """Apply rows to the table; return the changes in the order in which they were applied."""
    changes: list[tuple[int, Tenant]] = []
    run_steps(table.apply(compare(table, rows), changes.extend))
    return changes


# ---- Reload over sockets ---------------------------------------------------------------------------


async def test_tenants_are_added_changed_and_removed_without_losing_a_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "gateway")
    realms = [ACME, {"name": "old", "allowance-per-s": 5.0}]
    async with running_gateway(tmp_path, monkeypatch, realms=realms) as (file, endpoint):
        dispatcher = file.harness.gateway.dispatcher
        sent, waiting, client = [await file.harness.connect() for _ in range(3)]
        sent.send(request(request_id="sent", X_Tenant_Id="old"))
        received = await endpoint.received.get()
        waiting.send(request(request_id="waiting", X_Tenant_Id="old"))  # the one endpoint is busy
        await wait_until(lambda: len(dispatcher.open_requests()) == 2)
        changed: dict[str, Any] = {"over-share-worth": 0.5}
        file.write(realms=[{"name": "acme", "allowance-per-s": 7.0}, {"name": "new"}], **changed)
        await file.wait_for(ReloadState.IDLE)
        assert (await client.exchange(request(request_id="gone", X_Tenant_Id="old")))[0] == 400
        client = await file.harness.connect()
        client.send(request(request_id="new", X_Tenant_Id="new"))
        await wait_until(lambda: len(dispatcher.open_requests()) == 3)
        received.reply(CLOSING_RESPONSE)
        for _ in range(2):
            (await endpoint.received.get()).reply(CLOSING_RESPONSE)
        for connection in (sent, waiting, client):
            assert (await connection.read_response())[::2] == (200, b"done")
        balancer: Any = dispatcher.balancer
        assert [tenant and tenant.quota_per_s for tenant in balancer.tenants.quotas] == [7.0, None]
        assert balancer.settings.over_quota_weight == 0.5
    assert "1 tenants added, 1 changed, 1 removed" in caplog.text


async def test_a_request_that_is_open_during_a_reload_keeps_its_objective_and_class(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shorter latency objective applies to later requests only, even if the classes change their order."""
    async with running_gateway(tmp_path, monkeypatch) as (file, endpoint):
        client = await file.harness.connect()
        client.send(request(request_id="open"))
        received = await endpoint.received.get()
        changed: dict[str, Any] = {
            "request-classes": [
                {**row, "slo-ns": 5_000_000_000} for row in reversed(SETTINGS["request-classes"])
            ]
        }
        file.write(**changed)
        await file.wait_for(ReloadState.IDLE)
        balancer: Any = file.harness.gateway.dispatcher.balancer
        [opened] = balancer.lifecycle.requests.values()
        assert opened.objective_ns == 6_000_000_000
        assert opened.traffic_class not in balancer.classes
        received.reply()
        assert (await client.read_response())[::2] == (200, b"done")
        client.send(request("once", request_id="next"))
        assert (await endpoint.received.get()).first_line.startswith("POST /once")
        [opened] = balancer.lifecycle.requests.values()
        assert opened.objective_ns == 5_000_000_000
        assert opened.traffic_class.idempotency.value == "non-idempotent"


@pytest.mark.parametrize(
    ("sections", "settings", "message", "moves_discovery"),
    [
        ({"version": 6}, {"realms": [{"name": "new"}]}, "version 6 is older than 7", False),
        ({"version": "9"}, {"realms": [{"name": "new"}]}, "version must be", False),
        ({}, {"realms": [{"name": "new"}, {"name": "new"}]}, "two tenants have the name 'new'", False),
        ({}, {"realms": [{"name": "new"}, {"name": "x", "allowance-per-s": -1.0}]}, "not be negative", False),
        ({}, {"realms": [{"name": "new"}, 7]}, "keeping the current configuration", False),
        ({}, {"realms": [{"name": "new"}], "over-share-worth": -1}, "must not be negative", False),
        ({}, {"realms": [{"name": "new"}], "az": 1}, "az: a change requires a restart", True),
        (
            {},
            {"realms": [{"name": "new"}], "request-classes": SETTINGS["request-classes"][:2]},
            "request-classes: a change requires a restart",
            True,
        ),
    ],
)
async def test_an_invalid_file_changes_nothing_and_logs_one_line(
    sections: dict[str, Any],
    settings: dict[str, Any],
    message: str,
    moves_discovery: bool,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "gateway")
    async with running_gateway(tmp_path, monkeypatch, configuration={"version": 7}) as (file, endpoint):
        moved: list[Any] = []
        monkeypatch.setattr(file.harness.gateway.discovery, "change_address", moved.append)
        file.write(sections, **settings)
        await file.wait_for(ReloadState.IDLE)
        assert bool(moved) is moves_discovery
        assert file.tenant_names() == [b"acme"]
        assert file.reload.configuration.version == 7
        client = await file.harness.connect()
        client.send(request())
        (await endpoint.received.get()).reply()
        assert (await client.read_response())[0] == 200
    [line] = [record.getMessage() for record in caplog.records if "EDGE_CONFIG" in record.getMessage()]
    assert message in line
    assert "keeping the current" in line
    assert "\n" not in line
    assert "applied:" not in caplog.text


@pytest.mark.parametrize("state", [ReloadState.READING, ReloadState.COMPARING])
async def test_after_two_signals_the_last_file_is_applied(
    state: ReloadState, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "gateway")
    async with running_gateway(tmp_path, monkeypatch) as (file, _):
        many = [{"name": f"t{number}"} for number in range(4 * ROWS_PER_STEP)]
        file.write(realms=[ACME, *many])
        await file.wait_for(state)
        file.write(realms=[ACME, {"name": "second"}])
        assert file.state() is ReloadState.READING
        await file.wait_for(ReloadState.IDLE)
        assert file.tenant_names() == [b"acme", b"second"]  # no tenant of the first file
        file.write(realms=[ACME, *many])
        await file.wait_for(ReloadState.APPLYING)
        file.write(realms=[ACME, {"name": "last"}])
        assert file.state() is ReloadState.APPLYING_WITH_NEXT
        await file.wait_for(ReloadState.IDLE)
        assert file.tenant_names() == [b"acme", b"last"]
    assert caplog.text.count("settings applied:") == 3


async def test_a_request_is_served_before_many_rows_are_compared(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_gateway(tmp_path, monkeypatch) as (file, endpoint):
        client = await file.harness.connect()
        file.write(realms=[ACME, *({"name": f"t{number}"} for number in range(20_000))])
        await file.wait_for(ReloadState.COMPARING)
        client.send(request())
        (await endpoint.received.get()).reply()
        assert (await client.read_response())[0] == 200
        assert file.state() is ReloadState.COMPARING
        await file.wait_for(ReloadState.IDLE)
        assert len(file.tenant_names()) == 20_001


async def test_the_process_applies_a_change_on_sighup(tmp_path: Path) -> None:
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    config = write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    busy, client = await connect(address), await connect(address)
    busy.send(request(request_id="open"))
    received = await endpoint.received.get()
    assert (await client.exchange(request(request_id="early", X_Tenant_Id="new")))[0] == 400
    (tmp_path / "c").write_text(json.dumps({**config, "settings": {**SETTINGS, "realms": [{"name": "new"}]}}))
    process.send_signal(signal.SIGHUP)
    assert process.stderr is not None
    while b"settings applied: 1 tenants added, 0 changed, 1 removed" not in (
        line := await process.stderr.readline()
    ):
        assert line, "the process has ended"
    client = await connect(address)
    assert (await client.exchange(request(request_id="late")))[0] == 400  # removed, with one request open
    received.reply()
    assert (await busy.read_response())[::2] == (200, b"done")
    client = await connect(address)
    client.send(request(request_id="r2", X_Tenant_Id="new"))
    (await endpoint.received.get()).reply()
    assert (await client.read_response())[0] == 200
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


# ---- Difference of tenant rows ---------------------------------------------------------------------


@pytest.mark.parametrize("names", ["abc", "cab", "cba"])
def test_rows_in_another_order_change_nothing(names: str) -> None:
    table = tenant_table(*"abc")
    assert apply(table, tenant_rows(*names)) == []
    assert table.slots == {b"a": 0, b"b": 1, b"c": 2}
    changed_row = tenant_rows("b", quota=2.0)
    [change] = apply(table, [*changed_row, *tenant_rows("a", "c")])  # the table knows the new positions
    assert change == (1, Tenant("b", 2.0))


def test_a_slot_is_freed_before_it_is_reused() -> None:
    table = tenant_table(*"abc")
    assert apply(table, tenant_rows("a", "d", "e", "c")) == [
        (1, Tenant("")),
        (1, Tenant("d", 1.0)),
        (3, Tenant("e", 1.0)),
    ]
    assert apply(table, tenant_rows("c")) == [(0, Tenant("")), (1, Tenant("")), (3, Tenant(""))]
    assert table.slots == {b"c": 2}
    assert sorted(slot for slot, _ in apply(table, tenant_rows(*"cxyzw"))) == [0, 1, 3, 4]
    assert len(set(table.slots.values())) == 5


def test_a_moved_row_without_a_name_is_another_tenant() -> None:
    bare = msgspec.Raw(b"{}")
    table = TenantTable([*tenant_rows("a"), bare], [Tenant("a", 1.0), Tenant("1")])
    apply(table, [bare, *tenant_rows("a")])
    assert table.slots.keys() == {b"0", b"a"}


def test_duplicate_names_are_rejected_before_any_change() -> None:
    table = tenant_table(*"abc")
    with pytest.raises(ConfigurationError, match="'a'"):
        compare(table, [*tenant_rows("a", "b"), *tenant_rows("a", quota=3.0)])
    assert table.slots == {b"a": 0, b"b": 1, b"c": 2}


@pytest.mark.parametrize("quota", [1.0, 2.0])
def test_rows_are_processed_in_steps(quota: float) -> None:
    """Counts the rows that are read or applied in each step."""

    class CountingRows(list[msgspec.Raw]):
        read = 0

        def __iter__(self) -> Any:
            for row in super().__iter__():
                self.read += 1
                yield row

        def __getitem__(self, index: Any) -> Any:
            self.read += 1
            return super().__getitem__(index)

    names = [f"t{number}" for number in range(20_000)]
    table, counting_rows = tenant_table(*names), CountingRows(tenant_rows(*names, quota=quota))
    rows_read_per_step: list[int] = []

    def on_step() -> None:
        rows_read_per_step.append(counting_rows.read)
        counting_rows.read = 0

    difference = run_steps(table.compare(counting_rows), on_step)
    assert max(rows_read_per_step) <= ROWS_PER_STEP + 1
    assert len(rows_read_per_step) >= 2 * len(names) // ROWS_PER_STEP
    rows_applied_per_step: list[int] = []

    def on_tenants(changes: TenantChanges) -> None:
        rows_applied_per_step.append(len(changes))

    run_steps(table.apply(difference, on_tenants))
    assert sum(rows_applied_per_step) == (0 if quota == 1.0 else len(names))
    assert max(rows_applied_per_step, default=0) <= ROWS_PER_STEP


def test_the_file_is_read_in_steps_and_its_rows_are_not_decoded(tmp_path: Path) -> None:
    path = tmp_path / "c"
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "settings": {**SETTINGS, "realms": [{"name": "a"}, {"x": 1}]},
            }
        )
    )
    environ = {"EDGE_CONFIG": str(path)}
    steps: list[int] = []
    configuration = run_steps(Configuration.read_in_steps(environ), lambda: steps.append(1))
    assert len(steps) >= 3
    assert configuration.settings.tenants == ()
    assert len(configuration.tenant_rows) == 2
    tenants = Configuration.read(environ).settings.tenants
    assert [tenant.name for tenant in tenants] == ["a", "1"]
