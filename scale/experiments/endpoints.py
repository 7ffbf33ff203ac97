"""Experiment `hosts`: cost of endpoint list updates for one gateway, by the number of endpoints."""

from __future__ import annotations

from time import monotonic_ns

from balancer import MS

from ..fleet import EndpointRow, Fleet, make_configuration
from ..headless_pool import WorkerPool
from ..registry import Capacity, FakeDiscoveryServer

__all__ = ["SIZES", "run"]

SIZES = (75, 250, 750, 2500, 7500)
UNLIMITED = Capacity(calls_per_s=10_000.0, entries_per_unit=1e9)
"""Capacity at which discovery queues no calls, as queueing is not measured here."""
ENDPOINTS_PER_GATEWAY = 10
"""Ratio of endpoints to gateways in the fleet that the gateway is designed for."""


async def run(size: int, seed: int, zones: int = 3, gateways: int = 0, changes: int = 5) -> dict[str, float]:
    """Measure a snapshot, single changes and the loss of a zone with `size` endpoints and one gateway.

    The gateway is headless and runs in a process of its own.  Its settings state `gateways` replicas (0: one
    for every ten endpoints), so it uses only its subset of the endpoints.

    Times in ms are CPU time of that process, except the longest event loop stall (`hold_ms`) and the time
    until an update is applied (`in_force_ms`), which are wall-clock times.  The figures of a change are means
    over `changes`; its `hold_ms` is the maximum.
    """
    fleet = Fleet(size, zones, seed)
    discovery = await FakeDiscoveryServer(fleet.rows.values(), UNLIMITED, generation=100).start()
    try:
        async with WorkerPool() as pool:
            replicas = gateways or max(1, size // ENDPOINTS_PER_GATEWAY)
            configuration = make_configuration(fleet, replicas, discovery=discovery.address, pushed=True)
            configuration["known"] = {"generation": 0, "reset": True, "instances": []}
            await pool.launch(configuration, 1)
            figures = {"start_rss_mb": (await pool.read_and_reset_figures())["rss_mb"]}
            started_ns = await pool.start()
            figures |= await _update_figures(pool, discovery, "list", started_ns, 0)
            figures |= _summarize_changes(
                [await _publish(pool, discovery, "change", fleet.drain(1)) for _ in range(changes)]
            )
            return figures | await _publish(pool, discovery, "zone", fleet.lose_zone(fleet.zones[-1]))
    finally:
        await discovery.close()


def _summarize_changes(changes: list[dict[str, float]]) -> dict[str, float]:
    """Return the maximum of the event loop stall and the mean of every other figure."""
    return {
        name: max(change[name] for change in changes)
        if name == "change_hold_ms"
        else sum(change[name] for change in changes) / len(changes)
        for name in changes[0]
    }


async def _publish(
    pool: WorkerPool, discovery: FakeDiscoveryServer, name: str, changed: list[EndpointRow]
) -> dict[str, float]:
    """Publish a change and return its figures; `name` is the prefix of their names."""
    bytes_before, started_ns = discovery.counts.update_bytes(), monotonic_ns()
    discovery.publish(changed)
    return await _update_figures(pool, discovery, name, started_ns, bytes_before)


async def _update_figures(
    pool: WorkerPool, discovery: FakeDiscoveryServer, name: str, started_ns: int, bytes_before: int
) -> dict[str, float]:
    [applied_at_ns] = await pool.wait_until_applied(discovery.generation)
    figures = await pool.read_and_reset_figures()
    return {
        f"{name}_parse_ms": figures["parse_ms"],
        f"{name}_sockets_ms": figures["sockets_ms"],
        f"{name}_module_ms": figures["module_ms"],
        f"{name}_hold_ms": figures["hold_ms"],
        f"{name}_in_force_ms": (applied_at_ns - started_ns) / MS,
        f"{name}_rss_mb": figures["rss_mb"],
        f"{name}_bytes": discovery.counts.update_bytes() - bytes_before,
    }
