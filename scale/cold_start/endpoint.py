"""Model of an endpoint: one queue for all cores, with the lowest capacity that the slow-start rules allow."""

from __future__ import annotations

from heapq import heappop, heappush

from balancer import MS, SECOND

from .scenario import Scenario

__all__ = ["SimulatedEndpoint"]

REPORT_INTERVAL_NS = 250 * MS
"""Interval at which the load report of an endpoint is updated."""


class SimulatedEndpoint:
    """Simulated endpoint; `started_ns` is None if it has long finished its slow start."""

    def __init__(self, scenario: Scenario, speed: float, started_ns: int | None) -> None:
        self.speed = speed
        self.reported_in_flight = 0
        """Requests in flight according to the latest load report."""
        self._scenario = scenario
        self._started_ns = started_ns
        self._core_free_ns = [0] * scenario.cores  # heap: when each core becomes free
        self._ends_ns: list[int] = []  # heap: end times of the requests in flight
        self._reported_ns = 0

    def capacity_per_s(self, now_ns: int) -> float:
        """Return how many requests of mean work the endpoint can process per second."""
        rules, share = self._scenario.rules, 1.0
        if self._started_ns is not None and now_ns >= self._started_ns:
            initial = rules.slow_start_initial_share
            growth = (1.0 - initial) * (now_ns - self._started_ns) / rules.slow_start_window_ns
            share = min(1.0, initial + max(0.0, growth))
        return share * self.speed * self._scenario.cores * SECOND / self._scenario.mean_work_ns

    def start_request(self, now_ns: int, work: float) -> int | None:
        """Queue a request of `work` times the mean work; return its end time, or None if it is rejected."""
        scenario = self._scenario
        while self._ends_ns and self._ends_ns[0] <= now_ns:
            heappop(self._ends_ns)
        if now_ns - self._reported_ns >= REPORT_INTERVAL_NS:
            self._reported_ns = now_ns
            self.reported_in_flight = 0 if scenario.hidden_slow_start else len(self._ends_ns)
        if len(self._ends_ns) >= scenario.max_in_flight_per_core * scenario.cores:
            return None
        begin_ns = max(now_ns, heappop(self._core_free_ns))
        capacity_per_s = self.capacity_per_s(0 if scenario.hidden_slow_start else begin_ns)
        end_ns = begin_ns + int(work * scenario.cores * SECOND / capacity_per_s)
        heappush(self._core_free_ns, end_ns)
        heappush(self._ends_ns, end_ns)
        return end_ns
