"""Overload check: whether the observed endpoint was overloaded, from arrival times and its capacity."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, sqrt
from typing import NamedTuple

from balancer import SECOND, Rules

from .endpoint import SimulatedEndpoint

__all__ = ["OverloadResult", "measure_overload"]

STEPS_PER_SECOND = 10
"""Steps per second in which the capacity is integrated over a run."""


class OverloadResult(NamedTuple):
    """Load on the observed endpoint and share of served requests in one run."""

    worst_window_share: float
    """Requests in the worst window relative to the allowed number; above 1 the endpoint was overloaded."""
    budget_used_share: float
    """Requests during the run relative to the overload budget of the run."""
    requests: int
    """Number of requests that the endpoint received."""
    served_share: float
    """Share of the requests of all clients that were served."""


def measure_overload(
    endpoint: SimulatedEndpoint,
    rules: Rules,
    arrivals_ns: Sequence[int],
    start_ns: int,
    seconds: int,
    served_share: float,
) -> OverloadResult:
    """Return the load on the endpoint; `arrivals_ns` must be ascending.

    The worst window is sought among those that end at an arrival. The allowed number of requests in a window
    is `overload_factor` times the lowest capacity in the window, plus two standard deviations and two
    requests, because requests arrive in random bursts.
    """
    window_ns = rules.overload_window_ns
    worst_share, first = -inf, 0
    for last, arrival_ns in enumerate(arrivals_ns):
        while arrivals_ns[first] <= arrival_ns - window_ns:
            first += 1
        min_capacity_per_s = endpoint.capacity_per_s(max(start_ns, arrival_ns - window_ns))
        allowed_requests = rules.overload_factor * min_capacity_per_s * window_ns / SECOND
        worst_share = max(
            worst_share, (last - first + 1) / (allowed_requests + 2 * sqrt(allowed_requests) + 2)
        )
    budget = sum(
        rules.overload_factor
        * endpoint.capacity_per_s(start_ns + step * SECOND // STEPS_PER_SECOND)
        / STEPS_PER_SECOND
        for step in range(STEPS_PER_SECOND * seconds)
    )
    return OverloadResult(worst_share, len(arrivals_ns) / budget, len(arrivals_ns), served_share)
