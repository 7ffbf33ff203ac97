"""Endpoint selection by power of two choices: the local pool first, with spillover to other zones.

Of two random endpoints the less loaded one is selected. Random pairs keep gateways that know little of each
other's load from all selecting the same endpoint.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .concurrency_limit import ConcurrencyLimit
from .delay_estimate import REFERENCE_T1_NS
from .endpoint import Endpoint
from .endpoint_index import EndpointIndex
from .load_shedding import LoadShedder
from .outlier import is_ejected
from .protocol_rules import ProtocolRules
from .request import Request
from .slow_start import SlowStart

__all__ = ["EndpointSelector"]

MAX_PAIR_DRAWS = 6
"""Maximum number of pairs drawn for a first attempt while the best endpoint so far is ejected or not idle."""
MIN_SPILLOVER_EXCESS_T1 = 0.1
"""Excess of the local pool's delay over the remote pool's, in T1, at which spillover starts."""
SPILLOVER_RANGE_T1 = 0.2
"""Further excess, in T1, over which spillover grows from no requests to all requests."""


class EndpointSelector:
    """Selects endpoints for first attempts; retries share its pair selection and spillover decision."""

    def __init__(
        self,
        endpoints: EndpointIndex,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        rules: ProtocolRules,
        load_shedder: LoadShedder,
        random: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._limit = limit
        self._slow_start = slow_start
        self._rules = rules
        self._load_shedder = load_shedder
        self._random = random

    def select_for_first_attempt(self, request: Request, now: int) -> Endpoint | None:
        """Select an endpoint for a first attempt; None if no pool has one with free capacity."""
        local, remote = self._endpoints.local_pool, self._endpoints.remote_pool
        for pool in (remote, local) if self.should_spill_over(now) else (local, remote):
            if request.is_over_quota:
                probability = self._load_shedder.over_quota_admit_probability(pool, now)
                if self._random() >= probability:
                    continue
            if not pool.endpoints or not self._limit.has_capacity(pool, request.t1, now):
                continue
            endpoint = self.pick_less_loaded(request, pool.endpoints, now, MAX_PAIR_DRAWS)
            # Ejected endpoints get no first attempts. If all endpoints that a gateway draws from are ejected,
            # sending to them anyway would keep overloaded or unresponsive ones from ever recovering.
            if endpoint is not None and not is_ejected(endpoint, request.t1, now):
                return endpoint
        return None

    def pick_less_loaded(
        self, request: Request, candidates: Sequence[Endpoint], now: int, max_draws: int
    ) -> Endpoint | None:
        """Return the less loaded of two random endpoints.

        At most `max_draws` pairs are drawn, until the best endpoint so far is idle and not ejected. Returns
        None if no drawn endpoint may receive the request.
        """
        best: Endpoint | None = None
        best_rank = (True, 0.0)
        for _ in range(max_draws if candidates else 0):
            for endpoint in self._draw_pair(candidates):
                if endpoint is request.last_endpoint or not self._rules.may_send(request, endpoint, now):
                    continue
                if endpoint.slow_start_until > now and not self._slow_start.keeps_candidate(endpoint, now):
                    continue
                rank = (is_ejected(endpoint, request.t1, now), _relative_load(endpoint))
                if best is None or rank < best_rank:
                    best, best_rank = endpoint, rank
            if best is not None and not best_rank[0] and not best.in_flight:
                break
        return best

    def should_spill_over(self, now: int) -> bool:
        """Whether a request goes to other zones: the local delay exceeds theirs by a random threshold.

        The pools are compared, and not the endpoints. A delay of T1 at every candidate as the condition would
        apply too late: with few responses per endpoint, no single estimate reaches T1 until long after the
        zone is overloaded.
        """
        local = self._endpoints.local_pool.current_delay(REFERENCE_T1_NS, now)
        remote = self._endpoints.remote_pool.current_delay(REFERENCE_T1_NS, now)
        threshold = (MIN_SPILLOVER_EXCESS_T1 + self._random() * SPILLOVER_RANGE_T1) * REFERENCE_T1_NS
        return threshold < local - max(0.0, remote)

    def _draw_pair(self, candidates: Sequence[Endpoint]) -> tuple[Endpoint, Endpoint]:
        """Draw two random endpoints; they differ if there are at least two."""
        size = len(candidates)
        first = int(self._random() * size)
        if size == 1:
            return candidates[first], candidates[first]
        second = int(self._random() * (size - 1))
        if second >= first:
            second += 1
        return candidates[first], candidates[second]


def _relative_load(endpoint: Endpoint) -> float:
    """Return the endpoint's load: its attempts in flight, scaled by relative latency and divided by weight.

    The next attempt is included, so that of two idle endpoints the faster one has the lower load. A large
    endpoint whose weight gives it too many requests gets fewer as its latency rises.
    """
    return (endpoint.in_flight + 1) * endpoint.relative_latency / endpoint.weight
