"""Load shedding: drops requests that can't be in time or exceed a quota while others miss their objective."""

from __future__ import annotations

from collections.abc import Callable

from .delay_estimate import REFERENCE_T1_NS
from .endpoint import EndpointPool
from .request import Request
from .traffic_class import LATENCY_WEIGHT

__all__ = ["TARGET_DELAY_T1", "LoadShedder"]

TARGET_DELAY_T1 = 0.14
"""Delay of a pool, in T1, at which its limit settles: below the lower threshold of the retry gate."""
SHEDDING_START_SHARE = 0.05
"""Load shedding starts when this share of the requests within quota miss their objective."""
FULL_SHEDDING_SHARE = 0.25
"""All eligible requests are shed when this share of the requests within quota miss their objective."""
TRIAL_INTERVAL_OBJECTIVES = 8
"""Maximum time without a sent request of a class, in latency objectives, before one is sent as a trial."""


class LoadShedder:
    """Decides which requests to shed, by the share of requests that miss their objective."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.missed_share = 0.0
        """Smoothed share of the requests within quota that miss their objective."""

    def record(self, request: Request, missed: bool) -> None:
        """Record whether a finished request missed its objective; requests over quota do not count."""
        if not request.is_over_quota:
            self.missed_share += LATENCY_WEIGHT * (missed - self.missed_share)

    def shed_probability(self) -> float:
        """Return the probability of shedding an eligible request: 0 while few objectives are missed."""
        share = (self.missed_share - SHEDDING_START_SHARE) / (FULL_SHEDDING_SHARE - SHEDDING_START_SHARE)
        return min(max(share, 0.0), 1.0)

    def should_shed(self, request: Request, now: int) -> bool:
        """Whether to shed a request whose remaining time is shorter than even a fast response takes.

        Its work would be wasted and would delay other requests. A fast response is one deviation below the
        mean, so that classes with long-tailed latency are not affected. Latencies are learned only from
        requests that are sent. A class without a sent request for `TRIAL_INTERVAL_OBJECTIVES` objectives is
        therefore not shed, which detects the end of congestion.
        """
        traffic_class = request.traffic_class
        if now - traffic_class.last_sent_at > TRIAL_INTERVAL_OBJECTIVES * traffic_class.latency_objective_ns:
            return False
        if self._random() >= self.shed_probability():
            return False
        objective_at = request.arrived_at + request.objective_ns
        return min(request.deadline, objective_at) - now < request.expected_latency(-1.0)

    def over_quota_admit_probability(self, pool: EndpointPool, now: int) -> float:
        """Return the probability of admitting a request over its quota.

        It falls with the delay of the pool, and as requests within quota miss their objective.
        """
        congestion = pool.current_delay(REFERENCE_T1_NS, now) / (TARGET_DELAY_T1 * REFERENCE_T1_NS)
        return min(1.0 - self.shed_probability(), 1.0 - congestion)
