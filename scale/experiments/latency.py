"""Experiment `latency`: latency that endpoint list changes add to requests through one real gateway.

Requests arrive as an open workload.  A run has three phases: without changes (the baseline), at the rate of
changes of an average day, and at that of an hour in which a zone is lost and restored during a rolling
replacement.  A phase has four processes: this one with discovery and the changes, the gateway as the `run` of
deploy/balancer.toml starts it, the endpoints and the clients.  The time that the gateway adds to a request is
the time that the client measures from the due time, less the time that the endpoint reports; it includes the
jitter of clients and endpoints (their timers have a resolution of milliseconds) and of the network, which the
baseline shows alone.  Endpoints keep listening after their removal from the list, so that the figures contain
only the cost of the changes and not that of lost endpoints.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import deque
from collections.abc import Sequence
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from balancer import MS

from ..child_process import module_process, read_json_line
from ..fleet import EndpointRow, Fleet, make_configuration
from ..gateway_process import GatewayProcess, deployed_command
from ..load import Sample, histogram
from ..registry import FakeDiscoveryServer
from ..wait import wait_until

__all__ = ["SIZES", "ChangeKind", "ListChange", "plan_changes", "run", "run_phase", "summarize"]

ZONES = 11
MAX_LISTENERS = 256
"""Maximum number of listening addresses; larger fleets share them, as each takes a file descriptor."""
REFERENCE_SIZE = 7500
"""Fleet size for which the rates of changes are given; the rates are proportional to the size."""
SIZES = (75, 750, 2_500, REFERENCE_SIZE)
WATCH_TIMEOUT_S = 30.0
"""Longest wait until the gateway has a watch open."""
SECONDS_PER_DAY = 86_400
LOAD_REPORT_COLUMNS = ("utilization", "outstanding")
MIB = 2**20


class ChangeKind(Enum):
    """Kinds of changes of the endpoint list."""

    ROW = "row"
    """Change of the row of one endpoint."""
    LOSE_ZONE = "lose"
    RESTORE_ZONE = "restore"


class ListChange(NamedTuple):
    """Change of the endpoint list, due `due_s` seconds after the start."""

    due_s: float
    kind: ChangeKind


def plan_changes(rows_per_s: float, size: int, seconds: float, zone_loss: bool = False) -> list[ListChange]:
    """Return the changes of a list of `size` endpoints within `seconds` seconds, ordered by due time.

    `rows_per_s` is the rate for a fleet of REFERENCE_SIZE endpoints.  A rate of 0 gives no change; any other
    rate gives at least one replacement, which is two rows, so a small fleet or a short run gets more changes
    than the rate says.  With `zone_loss` a zone is lost for the middle third of the time.
    """
    if not rows_per_s:
        return []
    count = max(2, round(rows_per_s * size / REFERENCE_SIZE * seconds))
    zone_changes = [
        ListChange(seconds / 3, ChangeKind.LOSE_ZONE),
        ListChange(seconds * 2 / 3, ChangeKind.RESTORE_ZONE),
    ]
    plan = zone_changes if zone_loss else []
    plan += [ListChange((number + 0.5) * seconds / count, ChangeKind.ROW) for number in range(count)]
    return sorted(plan, key=lambda change: change.due_s)


async def _publish_changes(plan: Sequence[ListChange], fleet: Fleet, discovery: FakeDiscoveryServer) -> None:
    """Publish the changes of the plan when they are due; the zone that is lost is the last of the fleet."""
    clock = asyncio.get_running_loop().time
    start_s = clock()
    zone = fleet.zones[-1]
    pending: deque[EndpointRow] = deque()
    for due_s, kind in plan:
        await asyncio.sleep(start_s + due_s - clock())
        if kind is ChangeKind.ROW:
            if not pending:
                pending.extend(fleet.replace(1))
            discovery.publish([pending.popleft()])
            continue
        while pending:  # otherwise an endpoint of the zone might be published after its loss
            discovery.publish([pending.popleft()])
        changed = fleet.lose_zone(zone) if kind is ChangeKind.LOSE_ZONE else fleet.restore_zone(zone)
        discovery.publish(changed)


async def run_phase(
    plan: Sequence[ListChange], size: int, seed: int, seconds: float, rate: float, mean_ms: float = 10.0
) -> tuple[list[Sample], dict[str, float]]:
    """Send `rate` requests per second for `seconds` s while the list changes according to the plan.

    `mean_ms` is the mean service time of the endpoints in ms.  Returns the samples and the costs of the
    phase: CPU time of the gateway (`cpu_s`), its memory at the end (`rss_mb`, MiB), bytes written by
    discovery (`registry_bytes`) and changes of the list (`list_changes`).  Raises RuntimeError or
    TimeoutError if the gateway ends or does not become ready.
    """
    columns = [argument for name in LOAD_REPORT_COLUMNS for argument in ("--column", name)]
    listeners = str(min(size, MAX_LISTENERS))
    async with module_process(
        "scale.backend", listeners, "--seed", str(seed), "--mean-ms", str(mean_ms), *columns
    ) as fake_endpoints:
        addresses: list[str] = await read_json_line(fake_endpoints)
        fleet = Fleet(size, ZONES, seed, lambda number: addresses[number % len(addresses)])
        discovery = await FakeDiscoveryServer(fleet.rows.values()).start()
        try:
            configuration = make_configuration(fleet, gateways=1, discovery=discovery.address)
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "config.json"
                path.write_text(json.dumps(configuration))
                gateway = GatewayProcess(deployed_command(), path)
                try:
                    await gateway.start()
                    await wait_until(lambda: discovery.watch_count > 0, WATCH_TIMEOUT_S)
                    arguments = _load_arguments(gateway.address, configuration, rate, seconds, seed)
                    async with module_process("scale.load", *arguments) as load:
                        result = await _measure(gateway.psutil_process, load, plan, fleet, discovery)
                    if gateway.returncode is not None:
                        raise RuntimeError(f"the gateway has ended with exit code {gateway.returncode}")
                finally:
                    await gateway.kill()
                return result
        finally:
            await discovery.close()


def _load_arguments(
    address: tuple[str, int], configuration: dict[str, Any], rate: float, seconds: float, seed: int
) -> list[str]:
    """Return the arguments of `scale.load`; requests have the first request class and tenant."""
    settings = configuration["settings"]
    request_class, tenant = settings["request-classes"][0], settings["realms"][0]
    return [
        "{}:{}".format(*address),
        *("--rate", str(rate)),
        *("--seconds", str(seconds)),
        *("--seed", str(seed)),
        *("--class", request_class["name"]),
        *("--tenant", tenant["name"]),
        *("--timeout-ms", str(request_class["give-up-ns"] // MS)),
    ]


async def _measure(
    gateway: psutil.Process,
    load: asyncio.subprocess.Process,
    plan: Sequence[ListChange],
    fleet: Fleet,
    discovery: FakeDiscoveryServer,
) -> tuple[list[Sample], dict[str, float]]:
    """Return the samples of a load that is about to begin and what it cost the gateway and discovery."""
    assert load.stdout is not None
    await load.stdout.readline()
    counts = discovery.counts
    bytes_before, generation_before = counts.bytes_written, discovery.generation
    cpu_times_before = gateway.cpu_times()
    publishing = asyncio.create_task(_publish_changes(plan, fleet, discovery))
    samples = [Sample(*row) for row in await read_json_line(load)]
    await publishing
    cpu_times = gateway.cpu_times()
    return samples, {
        "cpu_s": cpu_times.user + cpu_times.system - cpu_times_before.user - cpu_times_before.system,
        "rss_mb": gateway.memory_info().rss / MIB,
        "registry_bytes": counts.bytes_written - bytes_before,
        "list_changes": discovery.generation - generation_before,
    }


def summarize(samples: Sequence[Sample]) -> dict[str, float]:
    """Return the number of requests, of served and of unanswered ones, and times in ms.

    The percentiles and `worst_ms` refer to the time added to served requests; `hold_ms` is the longest time
    added to a health check of the gateway, which is sent every 20 ms.
    """
    requests = [sample for sample in samples if not sample.is_health_check]
    served = [sample for sample in requests if sample.status == 200]
    added = histogram(sample.added_latency_ns for sample in served)
    checks = [sample for sample in samples if sample.is_health_check]
    return {
        "requests": len(requests),
        "served": len(served),
        "unanswered": sum(not sample.status for sample in requests),
        "p50_ms": added.get_value_at_percentile(50) / 1e3,
        "p99_ms": added.get_value_at_percentile(99) / 1e3,
        "worst_ms": max((sample.added_latency_ns for sample in served), default=0) / MS,
        "hold_ms": max((sample.added_latency_ns for sample in checks), default=0) / MS,
    }


async def run(
    size: int,
    seed: int,
    seconds: float = 12.0,
    rate: float = 86.0,
    quiet_per_day: float = 1700.0,
    bad_per_s: float = 10.0,
) -> dict[str, float]:
    """Run three phases of `seconds` s each; the names of their figures begin with `none_`, `quiet_`, `bad_`.

    `quiet_per_day` is the number of endpoints replaced on an average day; each replacement is two rows.
    `bad_per_s` is the rate of changed rows in an hour in which a zone is lost and restored during a rolling
    replacement.  Both are rates of a fleet of REFERENCE_SIZE endpoints.  Raises ValueError unless all options
    are above 0.
    """
    if min(seconds, rate, quiet_per_day, bad_per_s) <= 0:
        raise ValueError("seconds, rate, quiet_per_day and bad_per_s must be above 0")
    plans = {
        "none": [],
        "quiet": plan_changes(2 * quiet_per_day / SECONDS_PER_DAY, size, seconds),
        "bad": plan_changes(bad_per_s, size, seconds, zone_loss=True),
    }
    figures: dict[str, float] = {}
    for name, plan in plans.items():
        samples, costs = await run_phase(plan, size, seed, seconds, rate)
        figures |= {f"{name}_{key}": value for key, value in (summarize(samples) | costs).items()}
    return figures
