"""The operators' rules for attempts and rejections, checked for each attempt and final response."""

from __future__ import annotations

from .endpoint import Endpoint
from .endpoint_list import EndpointState
from .idempotency import DeduplicationScope, Idempotency
from .request import Request
from .settings import Settings
from .slow_start import SlowStart

__all__ = ["ProtocolRules"]


class ProtocolRules:
    """Checks attempts and rejections against the settings."""

    def __init__(self, settings: Settings, slow_start: SlowStart) -> None:
        self._slow_start = slow_start
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._max_attempts = settings.limits.max_attempts
        self._allows_hedging = settings.limits.hedging
        self._tick_ns = settings.tick_ns

    def may_send(self, request: Request, endpoint: Endpoint, now: int) -> bool:
        """Whether an attempt of the request may be sent to the endpoint now."""
        if request.is_done or request.is_streaming or endpoint.state is not EndpointState.READY:
            return False
        if request.attempt_count >= self._max_attempts or now >= request.deadline:
            return False
        if request.attempts_in_flight and not self._allows_hedging:
            return False
        first = request.first_endpoint
        if first is not None and not self._may_repeat(request, first, endpoint, now):
            return False
        return endpoint.slow_start_until <= now or self._slow_start.has_credit(endpoint, now)

    def may_reject(self, request: Request) -> bool:
        """Whether the request may be rejected, which tells the client that it may safely send it again."""
        traffic_class = request.traffic_class
        if traffic_class.idempotency is Idempotency.SAFE or request.first_endpoint is None:
            return True
        return (
            traffic_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and traffic_class.deduplication_scope is DeduplicationScope.ALL
        )

    def _may_repeat(self, request: Request, first: Endpoint, endpoint: Endpoint, now: int) -> bool:
        """Whether a request that `first` may have processed may also be sent to `endpoint`."""
        traffic_class = request.traffic_class
        if traffic_class.idempotency is Idempotency.SAFE:
            return True
        if traffic_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if now >= request.first_sent_at + traffic_class.deduplication_window_ns - self._tick_ns:
            return False
        scope = traffic_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return True
        if endpoint.zone != first.zone:
            return False
        return scope is not DeduplicationScope.CELL or endpoint.cell == first.cell
