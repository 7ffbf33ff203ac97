"""Index of the endpoint list, and the subset of endpoints from which this gateway selects.

All lists are in ring order, which is the same at every gateway. Each gateway selects from an arc of the ring
with a start of its own, which spreads the gateways evenly over the endpoints.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterable
from math import ceil
from operator import attrgetter

from .endpoint import Endpoint, EndpointPool, IndexKey
from .endpoint_list import EndpointEntry, EndpointId, EndpointState
from .settings import Settings

__all__ = ["EndpointIndex"]

SUBSET_FACTOR = 1.5
"""Size of a gateway's subset, as a multiple of the number of endpoints per gateway."""
MIN_SUBSET_SIZE = 2
"""Minimum size of a gateway's subset: power of two choices needs two endpoints."""
REBUILD_FACTOR = 8
"""All lists are rebuilt if at least one in this many endpoints has changed."""
GOLDEN_RATIO = 0.6180339887498949
"""Multiples of it modulo 1 spread any number of gateways evenly over the ring."""

_ring_position = attrgetter("ring_position")


class EndpointIndex:
    """Index of all listed endpoints by ID, zone and cell."""

    def __init__(self, settings: Settings) -> None:
        self._zone = settings.zone
        self._replica_index = settings.replica_index
        self._replicas = settings.replicas
        self.by_id: dict[EndpointId, Endpoint] = {}
        self.ready_by_zone: list[list[Endpoint]] = [[] for _ in range(settings.zones)]
        self.ready_remote: list[Endpoint] = []
        """Ready endpoints of the other zones."""
        self.ready_by_cell: dict[int, list[Endpoint]] = {}
        self.local_pool = EndpointPool()
        self.remote_pool = EndpointPool()
        self.endpoints_per_gateway = 1.0
        """Number of ready endpoints per gateway."""

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._replicas = settings.replicas
        self.reindex(())

    def upsert(self, entry: EndpointEntry) -> Endpoint:
        """Update or add the endpoint of an entry; `reindex` then updates the lists."""
        endpoint = self.by_id.get(entry.endpoint_id)
        if endpoint is None:
            endpoint = self.by_id[entry.endpoint_id] = Endpoint(entry)
        endpoint.state = entry.state
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.weight = entry.weight if entry.weight > 0 else 1.0
        return endpoint

    def remove_gone(self, changed: Iterable[Endpoint]) -> None:
        """Remove the endpoints that are gone, as the number of different IDs over time is unbounded.

        Attempts in flight keep a reference to their endpoint. An endpoint that returns is a new one, in slow
        start if its entry has a start time.
        """
        for endpoint in changed:
            if endpoint.state is EndpointState.GONE:
                del self.by_id[endpoint.endpoint_id]

    def reindex(self, changed: Collection[Endpoint]) -> None:
        """Update the lists after a change of the endpoint list.

        A few changes are applied one by one; for many, all endpoints are sorted again.
        """
        if REBUILD_FACTOR * len(changed) < len(self.by_id):
            for endpoint in changed:
                self._remove(endpoint)
                self._add(endpoint, _insert_in_order)
        else:
            self._rebuild()
        local = self.ready_by_zone[self._zone]
        self.endpoints_per_gateway = (len(local) + len(self.ready_remote)) / self._replicas
        self.local_pool.endpoints = self._subset(local)
        self.remote_pool.endpoints = self._subset(self.ready_remote)

    def pool_of(self, endpoint: Endpoint) -> EndpointPool:
        """Return the pool that an endpoint belongs to by its zone."""
        return self.local_pool if endpoint.zone == self._zone else self.remote_pool

    def pools(self) -> tuple[EndpointPool, EndpointPool]:
        """Return the local and the remote pool."""
        return self.local_pool, self.remote_pool

    def _rebuild(self) -> None:
        for endpoints in (*self.ready_by_zone, self.ready_remote):
            endpoints.clear()
        self.ready_by_cell.clear()
        for endpoint in sorted(self.by_id.values(), key=_ring_position):
            self._add(endpoint, list.append)

    def _add(self, endpoint: Endpoint, insert: Callable[[list[Endpoint], Endpoint], None]) -> None:
        is_ready = endpoint.state is EndpointState.READY and endpoint.zone < len(self.ready_by_zone)
        endpoint.index_key = IndexKey(endpoint.zone, endpoint.cell) if is_ready else None
        if is_ready:
            insert(self.ready_by_zone[endpoint.zone], endpoint)
            insert(self.ready_by_cell.setdefault(endpoint.cell, []), endpoint)
            if endpoint.zone != self._zone:
                insert(self.ready_remote, endpoint)

    def _remove(self, endpoint: Endpoint) -> None:
        if endpoint.index_key is None:
            return
        zone, cell = endpoint.index_key
        _remove_in_order(self.ready_by_zone[zone], endpoint)
        _remove_in_order(self.ready_by_cell[cell], endpoint)
        if not self.ready_by_cell[cell]:
            del self.ready_by_cell[cell]
        if zone != self._zone:
            _remove_in_order(self.ready_remote, endpoint)

    def _subset(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the arc of the ring from which this gateway selects.

        With fewer endpoints, its own attempts in flight say more about the load of each.
        """
        size = max(MIN_SUBSET_SIZE, ceil(SUBSET_FACTOR * self.endpoints_per_gateway))
        if size >= len(endpoints):
            return list(endpoints)
        start = int((self._replica_index * GOLDEN_RATIO) % 1.0 * len(endpoints))
        return [endpoints[(start + step) % len(endpoints)] for step in range(size)]


def _insert_in_order(endpoints: list[Endpoint], endpoint: Endpoint) -> None:
    insort(endpoints, endpoint, key=_ring_position)


def _remove_in_order(endpoints: list[Endpoint], endpoint: Endpoint) -> None:
    position = bisect_left(endpoints, endpoint.ring_position, key=_ring_position)
    while endpoints[position] is not endpoint:  # two IDs may have the same repr
        position += 1
    del endpoints[position]
