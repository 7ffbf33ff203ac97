"""Harness for tests of `Discovery` alone: a fake discovery server, and a queue of endpoint list updates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from balancer import MS, UpdateKind
from gateway.discovery import Discovery, EndpointCapacity, EndpointListParser, ListedEndpoint
from gateway.memory_budget import MemoryBudget
from gateway.timers import Timer, Timers
from tests.support.loopback import FakeDiscovery

DRAIN_GRACE_NS = 400 * MS
BUDGET_BYTES = 64 << 20
ENDPOINT_ENTRY: dict[str, Any] = {
    "instanceId": "h0",
    "hostPort": "127.0.0.1:7070",
    "zone": "b",
    "machineType": "m2",
    "cell": 3,
    "lifecycle": "in_service",
    "weight": 1.5,
    "startedAtMs": 2000,
}
"""An endpoint list entry as discovery sends it; the zones are a and b, the machine types m1 and m2."""
CACHED_GENERATION = 41


def split_address(server: FakeDiscovery) -> tuple[str, int]:
    """Return the host and the port on which a server listens."""
    host, _, port = server.address.rpartition(":")
    return host, int(port)


class RecordingTimers(Timers):
    """Timers that record each requested delay, ns."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.delays_ns: list[int] = []

    def call_after(self, delay_ns: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        self.delays_ns.append(delay_ns)
        return super().call_after(delay_ns, callback, argument)


class DiscoveryHarness:
    """A `Discovery` with a cached list of one entry, and the fake server that it calls."""

    def __init__(self, server: FakeDiscovery, is_pushed: bool) -> None:
        loop = asyncio.get_running_loop()
        self.server = server
        self.updates: asyncio.Queue[tuple[UpdateKind, list[ListedEndpoint]]] = asyncio.Queue()
        self.timers = RecordingTimers(loop)
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.discovery = Discovery(
            loop,
            self.timers,
            split_address(server),
            EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(self.budget)),
            is_pushed,
            DRAIN_GRACE_NS,
            lambda kind, endpoints: self.updates.put_nowait((kind, endpoints)),
            self.budget,
        )

    @classmethod
    async def start(cls, is_pushed: bool = False) -> DiscoveryHarness:
        """Start a server and a `Discovery` that has loaded its cached list."""
        harness = cls(await FakeDiscovery().start(), is_pushed)
        harness.discovery.load_cached_list(
            {"generation": CACHED_GENERATION, "reset": True, "instances": [ENDPOINT_ENTRY]}
        )
        kind, endpoints = await harness.updates.get()
        assert (kind, len(endpoints)) == (UpdateKind.CACHED, 1)
        harness.discovery.start()
        return harness
