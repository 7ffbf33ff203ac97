"""Events and actions of a balancer that do not belong to a client's request."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Sequence

from balancer import (
    MS,
    EndpointId,
    EventHandler,
    HealthCheckResult,
    Outcome,
    Settings,
    Tenant,
    UpdateKind,
)

from .discovery import Discovery, ListedEndpoint
from .event_queue import EventQueue
from .gossip import GossipSocket
from .load_report import LoadReportParser
from .messages import Payload, Response
from .request import Request
from .timers import Timer, Timers, now_ns
from .upstream import Attempt, Upstream

__all__ = ["ControlPlane"]

log = logging.getLogger("gateway.control_plane")

HEALTH_CHECK_TIMEOUT_NS = 1000 * MS
"""Timeout of a health check, ns; there is no setting for it."""
HEALTH_PATH = b"/health/live"
LOAD_REPORT_PATH = b"/stats"
"""Path of health checks if the settings name load report columns: the response body is a load report."""


class ControlPlane(ABC):
    """Connects a balancer to discovery, timers, gossip peers and health checks.

    `Dispatcher` adds the handling of client requests, which completes the balancer's `Actions`.
    """

    balancer: EventHandler
    upstream: Upstream
    discovery: Discovery

    def __init__(self, settings: Settings, timers: Timers, load_report_columns: Sequence[str]) -> None:
        self._settings = settings
        self._timers = timers
        self._events = EventQueue(self._on_balancer_failure)
        self._balancer_timers: dict[int, Timer] = {}  # the pending timers of the balancer, by token
        self._load_reports = LoadReportParser(load_report_columns, settings.load_report_fields)
        self.gossip_socket: GossipSocket | None = None
        self.has_endpoints = False
        """Whether any endpoint list or delta so far had at least one entry; the cached list counts too."""

    def attach(self, upstream: Upstream, discovery: Discovery) -> None:
        """Set the targets of the actions on endpoints and discovery; called once, before the first event."""
        self.upstream = upstream
        self.discovery = discovery

    @abstractmethod
    def _on_balancer_failure(self, request: Request) -> None:
        """Handle an exception that the balancer raised in an event for this request."""

    # ---- Events ----------------------------------------------------------------------------------

    def on_endpoint_list(self, kind: UpdateKind, listed: list[ListedEndpoint]) -> None:
        """Handle the cached list, a snapshot or a delta from discovery, or the failure of a discovery call.

        Connections are updated before the balancer is notified, so that attempts that it starts in response
        go to the current endpoints.
        """
        if kind is not UpdateKind.FAILED:
            self.upstream.apply_endpoint_list(kind is not UpdateKind.DELTA, listed)
            self.has_endpoints = self.has_endpoints or bool(listed)
        entries = [item.entry for item in listed]
        self._events.add(lambda now: self.balancer.on_endpoint_list(now, kind, entries))

    def on_timer(self, token: int) -> None:
        """Pass the expiry of one of the balancer's timers to the balancer."""
        self._balancer_timers.pop(token, None)
        self._events.add(lambda now: self.balancer.on_timer(now, token))

    def on_settings(self, settings: Settings) -> None:
        """Apply changed settings; changes of tenants are passed by `on_tenants`."""
        self._settings = settings
        self._events.add(lambda now: self.balancer.on_settings(now, settings))

    def on_tenants(self, changes: Sequence[tuple[int, Tenant]]) -> None:
        """Pass changed tenants, each with its slot, to the balancer."""
        self._events.add(lambda now: self.balancer.on_tenants(now, changes))

    def on_gossip(self, peer: int, content: bytes) -> None:
        """Pass a gossip message from a peer to the balancer."""
        self._events.add(lambda now: self.balancer.on_gossip(now, peer, content))

    # ---- Actions ---------------------------------------------------------------------------------

    def set_timer(self, token: int, delay_ns: int) -> None:
        """Set a timer that calls `on_timer` with this token after the delay."""
        due_ns = self._events.now_ns + delay_ns
        self._balancer_timers[token] = self._timers.call_at(due_ns, self.on_timer, token)

    def cancel_timer(self, token: int) -> None:
        """Cancel one of the balancer's timers."""
        self._timers.cancel(self._balancer_timers.pop(token, None))

    def watch_endpoints(self, active: bool) -> None:
        """Start or stop the discovery watch."""
        self.discovery.watch(active)

    def fetch_endpoints(self) -> None:
        """Request one snapshot of the endpoint list from discovery."""
        self.discovery.fetch()

    def check_health(self, endpoint_id: EndpointId) -> None:
        """Send a health check to an endpoint if the settings allow health checks."""
        if not self._settings.limits.health_checks:
            log.error("dropped a health check: the settings do not allow health checks")
            return
        path = LOAD_REPORT_PATH if self._load_reports.columns else HEALTH_PATH
        now = self._events.now_ns
        attempt = Attempt(
            endpoint_id,
            0,
            Payload(b"GET %b HTTP/1.1\r\nHost: host\r\n" % path, b""),
            now,
            now + HEALTH_CHECK_TIMEOUT_NS,
            self._on_health_checked,
        )
        attempt.timer = self._timers.call_at(attempt.deadline_ns, self._expire_attempt, attempt)
        self.upstream.start_attempt(attempt)

    def _on_health_checked(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        self._timers.cancel(attempt.timer)
        is_served = outcome is Outcome.OK
        load_report = self._load_reports.parse(response.body) if is_served and response is not None else ()
        result = HealthCheckResult(
            attempt.endpoint_id, outcome, max(1, now_ns() - attempt.started_ns), load_report
        )
        self._events.add(lambda now: self.balancer.on_health_checked(now, result))

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Close the idle connections to an endpoint."""
        self.upstream.close_idle_connections(endpoint_id)

    def send_gossip(self, peer: int | None, content: bytes) -> None:
        """Send a gossip message to one peer, or to all for None, if gossip is enabled and has a socket."""
        if not self._settings.limits.gossip or self.gossip_socket is None:
            log.error("dropped a gossip message: gossip is disabled or has no socket")
        else:
            self.gossip_socket.send(peer, content)

    def log(self, text: str) -> None:
        """Write a message of the balancer to the log, for the operator."""
        log.info("balancer: %s", text)

    def _expire_attempt(self, attempt: Attempt) -> None:
        if not attempt.is_ended:
            self.upstream.expire_attempt(attempt)
