"""Model of a gateway: a balancer whose actions are carried out by the simulated network."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from balancer import (
    AttemptResult,
    Balancer,
    EndpointEntry,
    EndpointId,
    EndReason,
    IncomingRequest,
    Outcome,
    Settings,
    UpdateKind,
)

__all__ = ["Network", "OnAttemptEnd", "SimulatedGateway"]

OnAttemptEnd = Callable[[Outcome, Sequence[float]], None]
"""Callback that receives the outcome of an attempt and the load report of the response."""


class Network(Protocol):
    """Clock, timers and transport that the simulation provides to its gateways."""

    now_ns: int

    def call_later(self, delay_ns: int, callback: Callable[[], None]) -> None:
        """Call `callback` when the clock has advanced by `delay_ns`."""

    def send(self, endpoint_id: EndpointId, timeout_ns: int, on_end: OnAttemptEnd) -> None:
        """Send an attempt to an endpoint; `on_end` may be called repeatedly, only the first call counts."""

    def count_served(self) -> None:
        """Count a request whose client has received its response."""


class SimulatedGateway:
    """Simulated gateway that implements `balancer.Actions`; a restart replaces its balancer."""

    def __init__(self, network: Network, settings: Settings, seed: int) -> None:
        self._network = network
        self._settings = settings
        self.start(seed)

    def start(self, seed: int) -> None:
        """Start or restart the gateway; a restart discards all state."""
        self._attempts_sent: dict[int, int] = {}  # by ID of the open request
        self._in_flight: dict[
            tuple[int, int], tuple[EndpointId, int]
        ] = {}  # endpoint and time of sending, ns
        self._balancer = Balancer(self._settings, seed, self)

    def update_endpoints(self, entries: Sequence[EndpointEntry]) -> None:
        """Apply a snapshot of the endpoint list published by discovery."""
        self._balancer.on_endpoint_list(self._network.now_ns, UpdateKind.SNAPSHOT, entries)

    def receive(self, request_id: int) -> None:
        """Handle a new request of a client."""
        self._attempts_sent[request_id] = 0
        timeout_ns = self._settings.classes[0].max_timeout_ns
        incoming = IncomingRequest(request_id, 0, 0, 0, timeout_ns, 0, False)
        self._balancer.on_request(self._network.now_ns, incoming)

    def _on_attempt_end(
        self,
        balancer: Balancer,
        request_id: int,
        attempt: int,
        outcome: Outcome,
        load_report: Sequence[float],
    ) -> None:
        if balancer is not self._balancer or (request_id, attempt) not in self._in_flight:
            return
        endpoint_id, sent_ns = self._in_flight.pop((request_id, attempt))
        is_final = outcome is Outcome.OK or request_id not in self._attempts_sent
        if outcome is Outcome.OK and self._attempts_sent.pop(request_id, 0):
            self._network.count_served()
        now_ns = self._network.now_ns
        elapsed_ns = max(1, now_ns - sent_ns)
        balancer.on_attempt_ended(
            now_ns,
            AttemptResult(request_id, attempt, endpoint_id, outcome, elapsed_ns, is_final, load_report),
        )

    def _on_timer(self, balancer: Balancer, token: int) -> None:
        if balancer is self._balancer:
            balancer.on_timer(self._network.now_ns, token)

    # ---- Actions -----------------------------------------------------------------------------------

    def send_attempt(self, request_id: int, endpoint_id: EndpointId, timeout_ns: int) -> None:
        """Send the next attempt of a request to an endpoint."""
        attempt = self._attempts_sent[request_id]
        self._attempts_sent[request_id] += 1
        self._in_flight[request_id, attempt] = (endpoint_id, self._network.now_ns)
        on_end = partial(self._on_attempt_end, self._balancer, request_id, attempt)
        self._network.send(endpoint_id, timeout_ns, on_end)

    def fail(self, request_id: int, reason: EndReason) -> None:  # noqa: ARG002 - required by the interface
        """Remove a failed request from the open requests."""
        self._attempts_sent.pop(request_id, None)

    def reject(self, request_id: int, retry_after_ns: int, reason: EndReason) -> None:  # noqa: ARG002 - required by the interface
        """Remove a rejected request from the open requests."""
        self._attempts_sent.pop(request_id, None)

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt in flight; its end is delivered later as a separate event."""
        on_end = partial(self._on_attempt_end, self._balancer, request_id, attempt)
        self._network.call_later(0, partial(on_end, Outcome.CANCELLED, ()))

    def set_timer(self, token: int, delay_ns: int) -> None:
        """Call the balancer's `on_timer` with `token` after `delay_ns`."""
        self._network.call_later(delay_ns, partial(self._on_timer, self._balancer, token))

    def cancel_timer(self, token: int) -> None:
        """Do nothing: an expiry without an owner has no effect."""

    def watch_endpoints(self, active: bool) -> None:
        """Do nothing: the scenario publishes the endpoint lists."""

    def fetch_endpoints(self) -> None:
        """Do nothing: the scenario publishes the endpoint lists."""

    def check_health(self, endpoint_id: EndpointId) -> None:
        """Do nothing: the settings of the simulation allow no health checks."""

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Do nothing: connections are not modelled."""

    def send_gossip(self, peer: int | None, content: bytes) -> None:
        """Do nothing: the settings of the simulation allow no gossip."""

    def log(self, text: str) -> None:
        """Discard the text: the simulation has no log."""
