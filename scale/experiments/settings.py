"""Experiment `settings`: cost of the settings for one gateway and of a reload, by the number of tenants.

The settings have no routes; the tenants are their only part that grows with the number of users.
"""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from time import monotonic_ns
from typing import Any

from balancer import MS, SECOND

from ..child_process import module_process, read_json_line
from ..fleet import Fleet, make_configuration
from ..gateway_process import MODULE_COMMAND, GatewayProcess
from ..registry import Capacity, FakeDiscoveryServer
from ..wait import wait_until

__all__ = ["SIZES", "run"]

SIZES = (500, 5_000, 15_000, 50_000)
UNLIMITED = Capacity(calls_per_s=10_000.0, entries_per_unit=1e9)
"""Capacity at which discovery queues no calls, as queueing is not measured here."""
RELOAD_TIMEOUT_NS = 5 * SECOND
"""Maximum time within which the gateway must apply a change."""
QUIET_TIME_NS = SECOND // 2
"""How long health checks are measured before SIGHUP is sent."""
TIMEOUT_S = 60.0
"""Longest wait for a response of the gateway, for its readiness or for its watch."""
POLL_INTERVAL_S = 0.005
"""Interval between two requests that poll whether the gateway has applied a change or is ready."""
HEALTH_CHECK_INTERVAL_S = 0.002
UNUSED_ADDRESS = "127.0.0.1:9"
"""Address at which no endpoint listens, so that requests are not served."""
KNOWN_TENANT, NEW_TENANT = "tenant-0", "tenant-new"
MIB = 2**20


async def run(size: int, seed: int, hosts: int = 75) -> dict[str, float]:
    """Measure parsing, a reload and a restart with `size` tenants and `hosts` endpoints.

    Parsing is measured in a process of its own, the rest with one gateway.  A tenant is added to the
    configuration file of the gateway, because a changed quota would be visible from outside only under
    congestion.  The file also names another discovery, whose watch shows that the gateway has read the file
    after SIGHUP.

    `sighup_in_force_share` is 1 if the gateway accepts the new tenant within the 5 s that a change may take,
    otherwise 0; `sighup_in_force_s` is the time from the signal until then.  `sighup_hold_ms` is the longest
    response time of consecutive health checks in that time, `quiet_hold_ms` that of health checks before the
    signal.  `sighup_cpu_ms` is the CPU time of the gateway from the signal on, health checks included, and
    `sighup_rss_mb` the growth of its memory in MiB.  After a restart, the time is measured from the start of
    the program to its first ready response, and until discovery has sent it the list.
    """
    fleet = Fleet(hosts, 3, seed, lambda _: UNUSED_ADDRESS)
    first_discovery, second_discovery = [
        await FakeDiscoveryServer(fleet.rows.values(), UNLIMITED).start() for _ in range(2)
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        configuration = make_configuration(
            fleet, 20, discovery=first_discovery.address, tenants=size, pushed=True
        )
        path.write_text(json.dumps(configuration))
        gateway = GatewayProcess(MODULE_COMMAND, path)
        try:
            async with module_process("scale.parsing", str(path)) as parsing:
                figures: dict[str, float] = await asyncio.wait_for(read_json_line(parsing), TIMEOUT_S)
            await gateway.start()
            await wait_until(lambda: first_discovery.watch_count > 0, TIMEOUT_S)
            if not await _accepts_tenant(gateway, KNOWN_TENANT):
                raise RuntimeError("the gateway rejects a tenant that its settings contain")
            _add_tenant(configuration)
            path.write_text(json.dumps({**configuration, "discovery": second_discovery.address}))
            figures |= await _reload(gateway)
            await wait_until(lambda: second_discovery.watch_count > 0, TIMEOUT_S)
            return figures | await _restart(gateway, second_discovery)
        finally:
            await gateway.kill()
            await first_discovery.close()
            await second_discovery.close()


def _add_tenant(configuration: dict[str, Any]) -> None:
    configuration["settings"]["realms"].append({"name": NEW_TENANT, "allowance-per-s": 1.0, "portion": 0.0})


async def _reload(gateway: GatewayProcess) -> dict[str, float]:
    """Send SIGHUP and return the cost until the gateway accepts the new tenant."""
    process = gateway.psutil_process
    quiet_until_ns = monotonic_ns() + QUIET_TIME_NS
    quiet_ms = await _longest_health_check_ms(gateway, lambda: monotonic_ns() >= quiet_until_ns)
    rss_before_bytes, cpu_before_s = process.memory_info().rss, sum(process.cpu_times()[:2])
    reload_done = asyncio.Event()
    started_ns = monotonic_ns()
    gateway.signal(signal.SIGHUP)
    checks = asyncio.create_task(_longest_health_check_ms(gateway, reload_done.is_set))
    is_applied, elapsed_ns = False, 0
    while not is_applied and elapsed_ns < RELOAD_TIMEOUT_NS:
        is_applied = await _accepts_tenant(gateway, NEW_TENANT)
        elapsed_ns = monotonic_ns() - started_ns
        await asyncio.sleep(POLL_INTERVAL_S)
    reload_done.set()
    longest_ms = await checks
    return {
        "sighup_in_force_share": float(is_applied),
        "sighup_in_force_s": elapsed_ns / SECOND,
        "sighup_hold_ms": longest_ms,
        "quiet_hold_ms": quiet_ms,
        "sighup_cpu_ms": 1000 * (sum(process.cpu_times()[:2]) - cpu_before_s),
        "sighup_rss_mb": (process.memory_info().rss - rss_before_bytes) / MIB,
    }


async def _restart(gateway: GatewayProcess, discovery: FakeDiscoveryServer) -> dict[str, float]:
    """Kill and restart the gateway; return the time until it is ready and until it has the endpoint list."""
    await gateway.kill()
    started_ns = monotonic_ns()
    await gateway.start()
    async with asyncio.timeout(TIMEOUT_S):
        while await _get_status(gateway, "/health/ready") != 200:  # noqa: ASYNC110 - only polling shows it
            await asyncio.sleep(POLL_INTERVAL_S)
    ready_ns = monotonic_ns() - started_ns
    await wait_until(lambda: discovery.watch_count > 0, TIMEOUT_S)
    listed_ns = min(discovery.written_ns(discovery.generation)) - started_ns
    return {
        "restart_ready_s": ready_ns / SECOND,
        "restart_told_s": listed_ns / SECOND,
        "restart_in_force_share": float(await _accepts_tenant(gateway, NEW_TENANT)),
    }


async def _get_status(gateway: GatewayProcess, path: str, headers: str = "") -> int:
    """Return the status of the response to a GET request on a new connection."""
    reader, writer = await asyncio.open_connection(*gateway.address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode())
        return int((await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()[1])
    finally:
        writer.close()


async def _accepts_tenant(gateway: GatewayProcess, tenant: str) -> bool:
    """Whether the gateway accepts a request of this tenant as valid (its status is not 400)."""
    headers = (
        f"X-Request-ID: r-{tenant}\r\nX-Priority-Class: read\r\n"
        f"X-Tenant-Id: {tenant}\r\nX-Timeout-Ms: 400\r\n"
    )
    return await _get_status(gateway, "/read/x", headers) != 400


async def _longest_health_check_ms(gateway: GatewayProcess, is_done: Callable[[], bool]) -> float:
    """Send health checks on one connection until `is_done`, at least one; return the longest time in ms."""
    reader, writer = await asyncio.open_connection(*gateway.address)
    longest_ns = 0
    try:
        while True:
            started_ns = monotonic_ns()
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            await reader.readexactly(_content_length(head))
            longest_ns = max(longest_ns, monotonic_ns() - started_ns)
            if is_done():
                return longest_ns / MS
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
    finally:
        writer.close()


def _content_length(head: bytes) -> int:
    return next(
        int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")
    )
