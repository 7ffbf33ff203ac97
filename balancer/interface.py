"""Interface of a balancer: the events it handles and the actions it requests.

A caller implements `Actions` and passes every event to a `Balancer`. The package reads no clock: each event
carries its time in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .endpoint_list import EndpointEntry, EndpointId, UpdateKind
from .outcomes import EndReason, Outcome
from .settings import Settings, Tenant

__all__ = ["Actions", "AttemptResult", "EventHandler", "HealthCheckResult", "IncomingRequest"]


class IncomingRequest(NamedTuple):
    """A request received from a client."""

    request_id: int
    """Identifies the request at this gateway."""
    class_index: int
    """Index into `Settings.classes`."""
    tenant_index: int
    """Index into `Settings.tenants`; 0 if there are none."""
    routing_key: int
    """Key of the resource that the request concerns; 0 if the client gave none."""
    timeout_ns: int
    """Time from arrival within which one final response is due."""
    cost_hint_ns: int
    """The client's estimate of the work; 0 if the client gave none."""
    is_retry: bool
    """Whether the client marked it as a retry."""
    is_write: bool = False


class AttemptResult(NamedTuple):
    """Result of an attempt."""

    request_id: int
    attempt: int
    """Number of the attempt within its request, from 0."""
    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ns: int
    """Time from sending the attempt to its end."""
    is_final: bool
    """Whether this attempt supplied the final response, which has been sent to the client."""
    load_report: Sequence[float]
    """Values in the order of `Settings.load_report_fields`; empty if the endpoint sent no load report."""


class HealthCheckResult(NamedTuple):
    """Result of a health check."""

    endpoint_id: EndpointId
    outcome: Outcome
    elapsed_ns: int
    """Time from sending the health check to its end."""
    load_report: Sequence[float]
    """Same format as `AttemptResult.load_report`."""


class Actions(Protocol):
    """Actions that a balancer requests from its gateway; calls take effect in the order they are made."""

    def send_attempt(self, request_id: int, endpoint_id: EndpointId, timeout_ns: int) -> None:
        """Start the next attempt of a request; attempts are numbered from 0.

        The attempt times out after `timeout_ns`; if `timeout_ns` is 0, at the request's deadline.
        """

    def fail(self, request_id: int, reason: EndReason) -> None:
        """Send the final response: failed; the request may or may not have taken effect."""

    def reject(self, request_id: int, retry_after_ns: int, reason: EndReason) -> None:
        """Send the final response: rejected; the client may safely send the request again.

        `retry_after_ns` is the suggested delay before that; 0 for no suggestion.
        """

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt in flight."""

    def set_timer(self, token: int, delay_ns: int) -> None:
        """Schedule a call of `on_timer` with this token after the delay."""

    def cancel_timer(self, token: int) -> None:
        """Release a timer that is no longer needed; if it expires all the same, that has no effect."""

    def watch_endpoints(self, active: bool) -> None:
        """Subscribe to changes of the endpoint list, or unsubscribe if not `active`."""

    def fetch_endpoints(self) -> None:
        """Request one snapshot of the endpoint list."""

    def check_health(self, endpoint_id: EndpointId) -> None:
        """Send a health check to an endpoint."""

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to an endpoint."""

    def send_gossip(self, peer: int | None, content: bytes) -> None:
        """Send a gossip message to one peer, or to all peers if `peer` is None."""

    def log(self, text: str) -> None:
        """Write a line to the operators' log."""


class EventHandler(Protocol):
    """Handlers for the events of one gateway.

    `now_ns` is the time of the event; a time earlier than a previous event's is raised to that event's time.
    """

    def on_endpoint_list(self, now_ns: int, kind: UpdateKind, entries: Sequence[EndpointEntry]) -> None:
        """Handle a delta or snapshot from discovery, or a failed discovery call (no entries)."""

    def on_request(self, now_ns: int, incoming: IncomingRequest) -> None:
        """Handle a request from a client.

        Raises ValueError for an unknown class or tenant, or for a request ID that is in use.
        """

    def on_response_started(self, now_ns: int, request_id: int, attempt: int) -> None:
        """Handle the start of a streamed response: its request has no deadline and no further attempt."""

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:
        """Handle the end of an attempt."""

    def on_client_gone(self, now_ns: int, request_id: int) -> None:
        """Handle the disconnect of the client of a request, which then needs no response."""

    def on_timer(self, now_ns: int, token: int) -> None:
        """Handle the expiry of a timer."""

    def on_health_checked(self, now_ns: int, result: HealthCheckResult) -> None:
        """Handle the result of a health check."""

    def on_gossip(self, now_ns: int, peer: int, content: bytes) -> None:
        """Handle a gossip message from a peer."""

    def on_settings(self, now_ns: int, settings: Settings) -> None:
        """Replace the settings for all later events; ignores the `tenants` field.

        Open requests keep the class settings with which they arrived. `zone`, `zones`, `replica_index`,
        `tick_ns`, `poll_discovery` and `load_report_fields` can't change, nor can the idempotency of a class
        that keeps its name: such a change raises ValueError and leaves the settings unchanged.
        """

    def on_tenants(self, now_ns: int, changes: Sequence[tuple[int, Tenant]]) -> None:
        """Apply changes of tenants in order; each pairs an index with the tenant that it now refers to.

        The index after the last one adds a tenant. A tenant without a quota loses its credit. A higher index
        raises ValueError before any change is applied.
        """
