"""Experiment `gateways`: cost of endpoint list updates and of a restart of all gateways, by their number."""

from __future__ import annotations

from time import monotonic_ns, process_time_ns

import numpy as np

from balancer import MS, SECOND

from ..fleet import EndpointRow, Fleet, make_configuration
from ..headless_pool import WorkerPool
from ..registry import Capacity, FakeDiscoveryServer
from ..wait import wait_until

__all__ = ["SIZES", "run"]

SIZES = (20, 90, 240, 720)
PROCESSES = 8
MAX_ENDPOINT_STATES = 720 * 7_500
"""Limit of gateways times endpoints: each gateway holds a state of about 1.5 kB for each endpoint."""
WATCH_TIMEOUT_S = 60.0
"""Maximum wait until all gateways have opened a watch, or until all watches are closed, seconds."""


async def run(
    size: int,
    seed: int,
    hosts: int = 75,
    zones: int = 3,
    ask_within_s: float = 4.0,
    calls_per_s: float = 200.0,
) -> dict[str, float]:
    """Measure a change, the loss of a zone and a restart of all gateways with `size` headless gateways.

    The gateways run in up to 8 processes and call one fake discovery server in this process.  `hosts` is the
    number of endpoints, `ask_within_s` the poll interval.  The change and the loss of a zone are published
    while all gateways watch; their figures are the median, the 99th percentile and the maximum over the
    gateways of the time until the update is applied.  Then all gateways are killed, a change is published,
    and all start at once with their cached list; the figures are the calls, the failed calls, the bytes and
    the time until all gateways have applied the change.  The CPU time of the gateways and the longest event
    loop stall (`hold_ms`) are measured per process, and many gateways share a process.

    Raises ValueError if gateways times endpoints exceed MAX_ENDPOINT_STATES.
    """
    if size * hosts > MAX_ENDPOINT_STATES:
        raise ValueError(
            f"{size} gateways with {hosts} endpoints each are more than {MAX_ENDPOINT_STATES} in all"
        )
    fleet, capacity = Fleet(hosts, zones, seed), Capacity(calls_per_s=calls_per_s)
    discovery = await FakeDiscoveryServer(fleet.rows.values(), capacity).start()
    try:
        async with WorkerPool() as pool:
            configuration = make_configuration(
                fleet, size, discovery=discovery.address, poll_interval_s=ask_within_s
            )
            await pool.launch(configuration, size, PROCESSES)
            await pool.start()
            await wait_until(lambda: discovery.watch_count >= size, WATCH_TIMEOUT_S)
            await pool.wait_until_applied(discovery.generation)
            figures = await _publish(pool, discovery, "change", fleet.drain(1))
            figures |= await _publish(pool, discovery, "zone", fleet.lose_zone(fleet.zones[-1]))
            await pool.kill()
            await wait_until(lambda: not discovery.watch_count, WATCH_TIMEOUT_S)
            discovery.publish(fleet.replace(1))
            await pool.launch(configuration, size, PROCESSES)
            measurement = _UpdateMeasurement(discovery)
            await pool.start()
            return figures | await measurement.end("restart", pool)
    finally:
        await discovery.close()


async def _publish(
    pool: WorkerPool, discovery: FakeDiscoveryServer, name: str, changed: list[EndpointRow]
) -> dict[str, float]:
    """Publish a change and return its figures; `name` is the prefix of their names."""
    measurement = _UpdateMeasurement(discovery)
    await pool.read_and_reset_figures()
    discovery.publish(changed)
    return await measurement.end(name, pool)


class _UpdateMeasurement:
    """Measurement from its creation until every gateway has applied the current generation."""

    def __init__(self, discovery: FakeDiscoveryServer) -> None:
        self._discovery = discovery
        counts = discovery.counts
        self._counts_before = counts.calls, counts.failures, counts.update_bytes()
        self._cpu_ns, self._started_ns = process_time_ns(), monotonic_ns()

    async def end(self, name: str, pool: WorkerPool) -> dict[str, float]:
        """Wait until every gateway has applied the generation; return figures with the name prefix `name`."""
        counts = self._discovery.counts
        delays_ns = np.asarray(await pool.wait_until_applied(self._discovery.generation)) - self._started_ns
        discovery_cpu_ns, workers = process_time_ns() - self._cpu_ns, await pool.read_and_reset_figures()
        calls, failures, update_bytes = self._counts_before
        return {
            f"{name}_p50_ms": float(np.percentile(delays_ns, 50)) / MS,
            f"{name}_p99_ms": float(np.percentile(delays_ns, 99)) / MS,
            f"{name}_last_s": float(delays_ns.max()) / SECOND,
            f"{name}_calls": counts.calls - calls,
            f"{name}_failed_calls": counts.failures - failures,
            f"{name}_bytes": counts.update_bytes() - update_bytes,
            f"{name}_registry_cpu_ms": discovery_cpu_ns / MS,
            f"{name}_gateways_cpu_ms": workers["cpu_ms"],
            f"{name}_hold_ms": workers["hold_ms"],
        }
