"""Composition of one gateway from its components."""

from __future__ import annotations

import asyncio
import logging
import signal
from dataclasses import replace

from balancer import MS, Balancer

from .client import ClientServer, Listener
from .configuration import Address, Configuration, TenantTable
from .discovery import Discovery, EndpointCapacity, EndpointListParser
from .dispatcher import BalancerFactory, Dispatcher
from .gossip import GossipSocket
from .loop_monitor import LoopMonitor
from .memory_budget import MemoryBudget
from .reload import ConfigurationReloader
from .resource_budget import ResourceBudget, peer_memory_bytes, private_memory_bytes
from .shutdown import GracefulShutdown
from .timers import Timers, now_ns
from .upstream import Upstream

__all__ = ["SWEEP_INTERVAL_NS", "Gateway"]

log = logging.getLogger("gateway")

SWEEP_INTERVAL_NS = 250 * MS
"""Interval of the sweep over all connections, ns; their time limits are enforced with this precision."""


class Gateway:
    """Creates the components of one gateway, starts them and shuts them down."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        make_balancer: BalancerFactory = Balancer,
    ) -> None:
        settings = configuration.settings
        budget = ResourceBudget.divide(configuration.max_sockets)
        self.memory_budget = MemoryBudget(
            peer_memory_bytes(configuration.max_memory_bytes, private_memory_bytes())
        )
        self._loop = loop
        self.timers = Timers(loop)
        self.dispatcher = Dispatcher(
            settings,
            configuration.seed,
            self.timers,
            configuration.load_report_columns,
            make_balancer,
            budget.open_requests,
            self.memory_budget,
        )
        self.upstream = Upstream(
            loop,
            self.timers,
            budget.endpoint_connections,
            settings.limits.connect_timeout_ns,
            settings.limits.idle_timeout_ns,
            self.memory_budget,
        )
        self.discovery = Discovery(
            loop,
            self.timers,
            configuration.discovery_address,
            EndpointListParser(
                configuration.zones, configuration.machine_types, EndpointCapacity(self.memory_budget)
            ),
            not settings.poll_discovery,
            settings.rules.drain_grace_ns,
            self.dispatcher.on_endpoint_list,
            self.memory_budget,
        )
        self.dispatcher.attach(self.upstream, self.discovery)
        self.timers.on_expiry = self.dispatcher.telemetry.record_lag
        tenants = TenantTable(configuration.tenant_rows, settings.tenants)
        self.server = ClientServer(
            self.dispatcher,
            settings,
            tenants.slots,
            budget.client_connections,
            LoopMonitor(loop, self.timers),
        )
        self._listener = Listener(loop, self.timers, self.server.create_protocol)
        self._ended = asyncio.Event()
        self.shutdown = GracefulShutdown(
            self.timers, self._listener, self.server, self.dispatcher, settings, self._close
        )
        # `tenants` now holds the tenants; keeping a long list twice would only waste memory.
        configuration.settings = replace(settings, tenants=())
        configuration.tenant_rows = []
        self.configuration_reloader = ConfigurationReloader(
            loop,
            configuration,
            tenants,
            self.server,
            self.dispatcher,
            self.discovery,
            self.shutdown.on_settings,
        )

    async def start(self) -> Address:
        """Load the cached list, start discovery, the listener and gossip; return the listener's address."""
        configuration = self.configuration_reloader.configuration
        self.discovery.load_cached_list(configuration.cached_list)
        self.discovery.start()
        address = self._listener.start(configuration.listen_address)
        await self._open_gossip_socket(configuration)
        self.timers.call_after(SWEEP_INTERVAL_NS, self._sweep, None)
        log.info("listening on %s:%d", *address)
        return address

    async def _open_gossip_socket(self, configuration: Configuration) -> None:
        local_address = configuration.gossip_address
        if not configuration.settings.limits.gossip or local_address is None:
            return
        gossip_socket = GossipSocket(
            configuration.peers, configuration.broadcast_address, self.dispatcher.on_gossip
        )
        self.dispatcher.gossip_socket = gossip_socket
        await self._loop.create_datagram_endpoint(lambda: gossip_socket, local_address)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._ended.wait()

    def reload(self) -> None:
        """Handle SIGHUP: reload the configuration file."""
        self.configuration_reloader.start()

    def stop(self) -> None:
        """Handle SIGTERM or SIGINT: begin a graceful shutdown."""
        self.shutdown.begin()

    def _sweep(self, _: None) -> None:
        try:
            self._sweep_once(now_ns())
        finally:  # an exception at one connection must not prevent later sweeps
            self.timers.call_after(SWEEP_INTERVAL_NS, self._sweep, None)

    def _sweep_once(self, now: int) -> None:
        self.upstream.sweep(now)
        self.discovery.sweep(now)
        self.server.sweep(now)
        self.dispatcher.telemetry.write_summary(
            now,
            client_connections=self.server.open_connections,
            open_requests=len(self.dispatcher.open_requests()),
            endpoint_connections=self.upstream.open_connections,
            single_use_endpoints=self.upstream.single_use_endpoints,
            stored_kb=self.memory_budget.used_bytes >> 10,
            generation=self.discovery.generation,
        )

    def _close(self) -> None:
        self.discovery.close()
        self.upstream.close()
        if self.dispatcher.gossip_socket is not None:
            self.dispatcher.gossip_socket.close()
        self._ended.set()
