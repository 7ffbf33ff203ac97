"""Adaptive limit on the attempts in flight at a pool; it settles where the pool's queueing delay is low."""

from __future__ import annotations

from collections.abc import Callable

from .delay_estimate import REFERENCE_T1_NS
from .endpoint import Endpoint, EndpointPool
from .endpoint_index import EndpointIndex
from .load_shedding import TARGET_DELAY_T1
from .outlier import MAX_FAILURE_SHARE, is_ejected
from .slow_start import SlowStart
from .wait_queue import WaitQueue

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT_PER_ENDPOINT = 1.0
"""Initial limit per endpoint, over all gateways; up to twice that with more gateways than endpoints."""
MIN_LIMIT = 0.1
"""Minimum limit: the few requests that still pass detect when congestion is over."""
MIN_FAIR_SHARE = 0.5
"""Floor of the limit while only delay lowers it, as a multiple of the endpoints per gateway."""
GROWTH_STEP = 0.05
"""Growth of the limit for one response at a low delay; in one mean latency, it grows by about this share."""
FAST_GROWTH_STEPS = 4.0
"""Growth for one response, in steps, while requests wait and endpoints are idle."""
MAX_DECREASE_STEPS = 8.0
"""Maximum decrease for one outcome, in steps."""
MIN_USED_SHARE = 0.75
"""The limit grows only while at least this share of it is in use."""


class ConcurrencyLimit:
    """Adapts the concurrency limits of the pools and checks them for free capacity."""

    def __init__(
        self,
        endpoints: EndpointIndex,
        slow_start: SlowStart,
        wait_queue: WaitQueue,
        random: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._wait_queue = wait_queue
        self._random = random

    def has_capacity(self, pool: EndpointPool, t1: int, now: int) -> bool:
        """Whether the limit leaves capacity; a fractional limit is met on average, by random rounding."""
        used, limit = self._usage_and_limit(pool, t1, now)
        return used + self._random() < limit

    def adapt(self, pool: EndpointPool, endpoint: Endpoint, was_rejected: bool, t1: int, now: int) -> None:
        """Adapt the pool's limit to the outcome of an attempt at one of its endpoints.

        Endpoints that get too many requests queue them and slow down, so the limit follows the pool's
        smoothed delay. A rejection for overload lowers the limit by itself, because it returns so fast that
        the smoothed delay hardly shows it. Delay alone does not lower the limit below a floor: behind a slow
        shared dependency every response is late at any limit.
        """
        if was_rejected:
            adjustment = -MAX_DECREASE_STEPS * _rejection_share(pool)
        else:
            adjustment = max(
                -MAX_DECREASE_STEPS,
                1.0 - pool.current_delay(REFERENCE_T1_NS, now) / (TARGET_DELAY_T1 * REFERENCE_T1_NS),
            )
        used, limit = self._usage_and_limit(pool, t1, now)
        if adjustment >= 0 and used + 1 < MIN_USED_SHARE * limit:
            return
        if adjustment > 0:
            growth_steps = FAST_GROWTH_STEPS if self._should_grow_fast(pool, endpoint, adjustment) else 1.0
            step = GROWTH_STEP * (growth_steps * min(adjustment, 1.0))
        else:
            step = GROWTH_STEP * (adjustment * min(pool.limit, 1.0))
        floor = MIN_LIMIT if was_rejected else min(pool.limit, self._fair_share_floor())
        pool.limit = max(floor, pool.limit + step)

    def rescale(self, pool: EndpointPool, now: int) -> None:
        """Scale the limit to the endpoints that the pool has now.

        Without it, a few remaining endpoints with the limit of many would be overloaded before the delay
        shows it, and many endpoints would stay idle behind the limit of a few. The first endpoints set the
        initial limit. In a small fleet it is less than one request per gateway, as hundreds of gateways
        starting together would overload the fleet with one request each.
        """
        if pool.endpoints and not pool.limit:
            fair_share = self._endpoints.endpoints_per_gateway
            pool.limit = max(
                MIN_LIMIT, INITIAL_LIMIT_PER_ENDPOINT * max(fair_share, min(2 * fair_share, 1.0))
            )
        size = sum(self._slow_start.capacity_share(endpoint, now) for endpoint in pool.endpoints)
        if size and pool.effective_size:
            pool.limit = max(MIN_LIMIT, pool.limit * size / pool.effective_size)
        pool.effective_size = size or pool.effective_size

    def _usage_and_limit(self, pool: EndpointPool, t1: int, now: int) -> tuple[int, float]:
        """Return the attempts in flight at endpoints that are not ejected, and the limit for these.

        The limit shrinks by the share of the ejected endpoints. Otherwise the last endpoint left would get
        the capacity of all, become overloaded and be ejected too.
        """
        slow_start = self._slow_start
        size = ejected_size = 0.0
        used = pool.in_flight
        for endpoint in pool.endpoints:
            share = slow_start.capacity_share(endpoint, now) if endpoint.slow_start_until > now else 1.0
            size += share
            # This loop runs for every request. Few endpoints have failures, so the cheap check comes first.
            if endpoint.failure_share > MAX_FAILURE_SHARE and is_ejected(endpoint, t1, now):
                ejected_size += share
                used -= endpoint.in_flight - endpoint.released_in_flight
        return used, pool.limit * (size - ejected_size) / (size or 1.0)

    def _fair_share_floor(self) -> float:
        return max(MIN_LIMIT, MIN_FAIR_SHARE * self._endpoints.endpoints_per_gateway)

    def _should_grow_fast(self, pool: EndpointPool, endpoint: Endpoint, adjustment: float) -> bool:
        """Whether requests wait while endpoints other than the one that just responded are idle.

        This occurs after a start, after congestion, or when clients move to this gateway from others. A pool
        with a single endpoint has no other that could be idle, so a low delay is enough there.
        """
        if not len(self._wait_queue) or adjustment <= 0.5:
            return False
        return len(pool.endpoints) == 1 or any(
            not other.in_flight and other is not endpoint and other.failure_share <= MAX_FAILURE_SHARE
            for other in pool.endpoints
        )


def _rejection_share(pool: EndpointPool) -> float:
    """Return the share of the pool's endpoints whose last attempt was rejected.

    The rejection by one endpoint says little about the others.
    """
    return sum(endpoint.last_was_rejection for endpoint in pool.endpoints) / max(1, len(pool.endpoints))
