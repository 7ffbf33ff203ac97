"""Headless gateways: discovery client, upstream and balancer of the gateway, without clients.

The code is the gateway's own; subclasses here measure how long updates of the endpoint list take in it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from time import monotonic_ns, process_time_ns
from typing import Any

from balancer import MS, Actions, Balancer, EndpointEntry, Settings, UpdateKind
from gateway.discovery import (
    Discovery,
    DiscoveryCall,
    EndpointCapacity,
    EndpointListParser,
    ListedEndpoint,
)
from gateway.dispatcher import Dispatcher
from gateway.gateway import SWEEP_INTERVAL_NS
from gateway.timers import Timers, now_ns
from gateway.upstream import Upstream

__all__ = ["HeadlessGateway", "UpdateTimes"]

MAX_CONNECTIONS = 400
"""Limit of connections to endpoints for each gateway; a headless gateway opens none."""


class UpdateTimes:
    """CPU time of this process that updates of the endpoint list took, and the longest event loop stall."""

    def __init__(self) -> None:
        self.receive_ns = 0
        """CPU time of handling received data, ns: reading, parsing, `upstream_ns` and `balancer_ns`."""
        self.upstream_ns = 0
        """CPU time of applying the list to the connections, ns."""
        self.balancer_ns = 0
        """CPU time of handling the list in the balancer, ns."""
        self.longest_stall_ns = 0
        """Longest wall-clock time that the event loop was blocked by one piece of received data, ns."""

    def read_and_reset(self) -> dict[str, float]:
        """Return the figures in ms and reset them to 0.

        Their names are those of the stored records: `module` is the balancer, `hold` the longest stall.
        """
        figures = {
            "parse_ms": (self.receive_ns - self.upstream_ns - self.balancer_ns) / MS,
            "sockets_ms": self.upstream_ns / MS,
            "module_ms": self.balancer_ns / MS,
            "hold_ms": self.longest_stall_ns / MS,
        }
        self.receive_ns = self.upstream_ns = self.balancer_ns = self.longest_stall_ns = 0
        return figures


class _TimedUpstream(Upstream):
    """Measures the CPU time of applying a list to the connections."""

    times: UpdateTimes

    def apply_endpoint_list(self, is_snapshot: bool, listed: Any) -> None:
        started_ns = process_time_ns()
        super().apply_endpoint_list(is_snapshot, listed)
        self.times.upstream_ns += process_time_ns() - started_ns


class _TimedCall(DiscoveryCall):
    """Measures CPU time and wall-clock time of handling each piece of a response."""

    times: UpdateTimes

    def data_received(self, data: bytes) -> None:
        times, started_ns, wall_started_ns = self.times, process_time_ns(), monotonic_ns()
        super().data_received(data)
        times.receive_ns += process_time_ns() - started_ns
        times.longest_stall_ns = max(times.longest_stall_ns, monotonic_ns() - wall_started_ns)


class _TimedDiscovery(Discovery):
    """A discovery client that makes timed calls."""

    times: UpdateTimes

    def _call(self, watch: bool) -> _TimedCall:
        call = _TimedCall(self, watch)
        call.times = self.times
        call.task = self._loop.create_task(self._connect(call))
        return call


class _TimedBalancer(Balancer):
    """Measures the CPU time of handling a list in the balancer."""

    times: UpdateTimes

    def on_endpoint_list(self, now_ns: int, kind: UpdateKind, entries: Sequence[EndpointEntry]) -> None:
        started_ns = process_time_ns()
        super().on_endpoint_list(now_ns, kind, entries)
        self.times.balancer_ns += process_time_ns() - started_ns


class HeadlessGateway:
    """One gateway without its client side; the other parts are connected as in the gateway."""

    def __init__(
        self,
        settings: Settings,
        zones: Sequence[str],
        machine_types: Sequence[str],
        seed: int,
        discovery_address: tuple[str, int],
        cached_list: Any,
        list_applied: asyncio.Event,
    ) -> None:
        """Create the parts; `cached_list` is decoded JSON; each applied update sets `list_applied`."""
        loop = asyncio.get_running_loop()
        self.times = UpdateTimes()
        self.failed_calls = 0
        """Number of failed discovery calls, as the gateway counts them."""
        self._cached_list = cached_list
        self._list_applied = list_applied
        self._applied_at_ns: list[tuple[int, int]] = []  # each generation, and when it was applied
        self._timers = Timers(loop)
        self._dispatcher = Dispatcher(settings, seed, self._timers, (), self._make_balancer)
        self._upstream = _TimedUpstream(
            loop,
            self._timers,
            MAX_CONNECTIONS,
            settings.limits.connect_timeout_ns,
            settings.limits.idle_timeout_ns,
            self._dispatcher.memory_budget,
        )
        self._discovery = _TimedDiscovery(
            loop,
            self._timers,
            discovery_address,
            EndpointListParser(zones, machine_types, EndpointCapacity(self._dispatcher.memory_budget)),
            not settings.poll_discovery,
            settings.rules.drain_grace_ns,
            self._on_endpoint_list,
            self._dispatcher.memory_budget,
        )
        self._upstream.times = self._discovery.times = self.times
        self._dispatcher.attach(self._upstream, self._discovery)

    def _make_balancer(self, settings: Settings, seed: int, actions: Actions) -> Balancer:
        balancer = _TimedBalancer(settings, seed, actions)
        balancer.times = self.times
        return balancer

    def _on_endpoint_list(self, kind: UpdateKind, listed: list[ListedEndpoint]) -> None:
        # No other event is being handled, so the balancer has applied the list when this call returns.
        self._dispatcher.on_endpoint_list(kind, listed)
        if kind is UpdateKind.FAILED:
            self.failed_calls += 1
        elif kind is not UpdateKind.CACHED:
            self._applied_at_ns.append((self._discovery.generation, monotonic_ns()))
            self._list_applied.set()

    def start(self) -> None:
        """Apply the cached list and start the discovery client."""
        self._discovery.load_cached_list(self._cached_list)
        self.times.read_and_reset()  # the cached list is not measured, only what discovery sends
        self._discovery.start()
        self._sweep(None)

    def _sweep(self, _: None) -> None:
        self._upstream.sweep(now_ns())
        self._discovery.sweep(now_ns())
        self._timers.call_after(SWEEP_INTERVAL_NS, self._sweep, None)

    def applied_at_ns(self, generation: int) -> int | None:
        """Return when (monotonic, ns) this generation or a later one was applied; None if it is not yet."""
        return next(
            (at_ns for applied_generation, at_ns in self._applied_at_ns if applied_generation >= generation),
            None,
        )
