"""Experiment `gateways`: cost of endpoint list updates and of a restart of all gateways, by their number."""

from __future__ import annotations

from time import monotonic_ns, process_time_ns

import numpy as np

from balancer import MS, SECOND

from ..fleet import EndpointRow, Fleet, make_configuration
from ..headless_pool import WorkerPool
from ..registry import Capacity, Registry
from ..wait import wait_until

__all__ = ["SIZES", "run"]

SIZES = (20, 90, 240, 720)
PROCESSES = 8
MAX_ENDPOINT_STATES = 720 * 7_500
"""Limit of gateways times endpoints: each gateway holds a state of about 1.5 kB for each endpoint."""
WATCH_TIMEOUT_S = 60.0
"""Longest wait until all gateways, or none, have a watch open."""


async def run(
    size: int,
    seed: int,
    hosts: int = 75,
    zones: int = 3,
    ask_within_s: float = 4.0,
    calls_per_s: float = 200.0,
) -> dict[str, float]:
    """Measure a change, the loss of a zone and a restart of all gateways with `size` headless gateways.

    The gateways run in up to 8 processes and poll one discovery stub in this process.  `hosts` is the number
    of endpoints, `ask_within_s` the poll interval.  The change and the loss of a zone are published while all
    gateways watch; their figures are the time until the update is in force at the median gateway, at 99% of
    the gateways and at the last one.  Then all gateways are killed, a change is published, and all start at
    once with their cached list; the figures are the calls, the failed calls, the bytes and the time until the
    change is in force at all gateways.  The CPU time of the gateways and the longest event loop stall
    (`hold_ms`) are measured per process, and many gateways share a process.

    Raises ValueError if gateways times endpoints exceed MAX_ENDPOINT_STATES.
    """
    if size * hosts > MAX_ENDPOINT_STATES:
        raise ValueError(
            f"{size} gateways with {hosts} endpoints each are more than {MAX_ENDPOINT_STATES} in all"
        )
    fleet, capacity = Fleet(hosts, zones, seed), Capacity(calls_per_s=calls_per_s)
    registry = await Registry(fleet.rows.values(), capacity).start()
    try:
        async with WorkerPool() as pool:
            configuration = make_configuration(
                fleet, size, discovery=registry.address, poll_interval_s=ask_within_s
            )
            await pool.launch(configuration, size, PROCESSES)
            await pool.start()
            await wait_until(lambda: registry.watch_count >= size, WATCH_TIMEOUT_S)
            await pool.in_force_ns(registry.generation)
            figures = await _publish(pool, registry, "change", fleet.drain(1))
            figures |= await _publish(pool, registry, "zone", fleet.lose_zone(fleet.zones[-1]))
            await pool.kill()
            await wait_until(lambda: not registry.watch_count, WATCH_TIMEOUT_S)
            registry.publish(fleet.replace(1))
            await pool.launch(configuration, size, PROCESSES)
            measurement = _UpdateMeasurement(registry)
            await pool.start()
            return figures | await measurement.end("restart", pool)
    finally:
        await registry.close()


async def _publish(
    pool: WorkerPool, registry: Registry, name: str, changed: list[EndpointRow]
) -> dict[str, float]:
    """Publish a change and return its figures; `name` is the prefix of their names."""
    measurement = _UpdateMeasurement(registry)
    await pool.read_and_reset_figures()
    registry.publish(changed)
    return await measurement.end(name, pool)


class _UpdateMeasurement:
    """Measurement from its creation until the current generation is in force at every gateway."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        counts = registry.counts
        self._counts_before = counts.calls, counts.failures, counts.update_bytes()
        self._cpu_ns, self._begun_ns = process_time_ns(), monotonic_ns()

    async def end(self, name: str, pool: WorkerPool) -> dict[str, float]:
        """Wait until the generation is in force at every gateway; return figures with the prefix `name`."""
        counts = self._registry.counts
        delays_ns = np.asarray(await pool.in_force_ns(self._registry.generation)) - self._begun_ns
        registry_cpu_ns, workers = process_time_ns() - self._cpu_ns, await pool.read_and_reset_figures()
        calls, failures, update_bytes = self._counts_before
        return {
            f"{name}_p50_ms": float(np.percentile(delays_ns, 50)) / MS,
            f"{name}_p99_ms": float(np.percentile(delays_ns, 99)) / MS,
            f"{name}_last_s": float(delays_ns.max()) / SECOND,
            f"{name}_calls": counts.calls - calls,
            f"{name}_failed_calls": counts.failures - failures,
            f"{name}_bytes": counts.update_bytes() - update_bytes,
            f"{name}_registry_cpu_ms": registry_cpu_ns / MS,
            f"{name}_gateways_cpu_ms": workers["cpu_ms"],
            f"{name}_hold_ms": workers["hold_ms"],
        }
