"""Slow start: limits the load on an endpoint that has just started to what it can take from all gateways."""

from __future__ import annotations

from collections.abc import Callable

from .endpoint import ASSUMED_IN_FLIGHT, Endpoint
from .endpoint_index import EndpointIndex
from .settings import Settings
from .throughput import Throughput
from .units import SECOND

__all__ = ["SlowStart"]

USED_BUDGET_SHARE = 0.5
"""Share of the overload budget that is used; the rest allows for load that differs by gateway and zone."""
IDLE_RATE_FACTOR = 2.0
"""Factor on the used budget for an endpoint that reports that it is idle.

The factor falls with the reported number of requests in flight: it is 1 at `ASSUMED_IN_FLIGHT`, and less
above that.
"""
MIN_RATE_FACTOR = 0.25
"""Minimum factor on the used budget: without any requests the endpoint would send no more load reports."""


class SlowStart:
    """Limits the rate of attempts at endpoints in slow start.

    The settings give the share of its capacity with which an endpoint starts, the window in which this share
    grows to 1, and the multiple of that capacity at which the endpoint is overloaded.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointIndex,
        throughput: Throughput,
        random: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._throughput = throughput
        self._random = random
        self._replicas = settings.replicas
        self._window_ns = settings.rules.slow_start_window_ns
        self._initial_share = settings.rules.slow_start_initial_share
        self._overload_factor = settings.rules.overload_factor

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings, also for endpoints that are already in slow start."""
        self._replicas = settings.replicas
        self._window_ns = settings.rules.slow_start_window_ns
        self._initial_share = settings.rules.slow_start_initial_share
        self._overload_factor = settings.rules.overload_factor
        for endpoint in self._endpoints.by_id.values():
            if endpoint.started_at:
                endpoint.slow_start_until = endpoint.started_at + self._window_ns

    def begin(self, endpoint: Endpoint, started_at: int, now: int) -> None:
        """Start slow start for an endpoint.

        The initial credit is random, so that the gateways that draw from the endpoint do not all send at
        once, and so that a rate below one attempt per second is met on average.
        """
        endpoint.clear()
        endpoint.started_at = started_at
        endpoint.slow_start_until = started_at + self._window_ns
        endpoint.credit_updated_at = now
        endpoint.slow_start_credit = self._random()

    def slow_start_share(self, endpoint: Endpoint, now: int) -> float:
        """Return the minimum share of its capacity that an endpoint in slow start has."""
        elapsed_share = max(0, now - endpoint.started_at) / self._window_ns
        return min(1.0, self._initial_share + (1.0 - self._initial_share) * elapsed_share)

    def capacity_share(self, endpoint: Endpoint, now: int) -> float:
        """Return the minimum share of its capacity that any endpoint has: 1 outside slow start."""
        return self.slow_start_share(endpoint, now) if endpoint.slow_start_until > now else 1.0

    def keeps_candidate(self, endpoint: Endpoint, now: int) -> bool:
        """Whether an endpoint in slow start stays a candidate, at random by its capacity share.

        This needs neither a rate nor the number of gateways: each gateway reduces its own traffic by the same
        share.
        """
        return self._random() < self.slow_start_share(endpoint, now)

    def has_credit(self, endpoint: Endpoint, now: int) -> bool:
        """Update the credit of an endpoint, and return whether it allows an attempt.

        The credit grows at this gateway's share of the overload budget.
        """
        # All gateways that draw from the endpoint count, including those of other zones: their requests spill
        # over to a zone that recovers.
        ready_count = max(1, len(self._endpoints.ready_by_zone[endpoint.zone]))
        pool_size = len(self._endpoints.pool_of(endpoint).endpoints)
        gateway_count = max(1.0, self._replicas * pool_size / ready_count)
        rate = self._throughput.rate_per_endpoint(self._endpoints.endpoints_per_gateway)
        # The load report covers the load from all gateways, of which this one sees only a small part.
        idle_share = 1.0 - endpoint.reported_in_flight / ASSUMED_IN_FLIGHT
        rate_factor = max(MIN_RATE_FACTOR, 1.0 + (IDLE_RATE_FACTOR - 1.0) * idle_share)
        capacity_share = self.slow_start_share(endpoint, now)
        credit_per_s = (
            USED_BUDGET_SHARE * rate_factor * self._overload_factor * capacity_share * rate / gateway_count
        )
        earned = credit_per_s * (now - endpoint.credit_updated_at) / SECOND
        endpoint.slow_start_credit = min(endpoint.slow_start_credit + earned, 1.0)
        endpoint.credit_updated_at = now
        return endpoint.slow_start_credit >= 1.0
