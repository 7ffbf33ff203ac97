"""Settings of a request class and the latency statistics that this gateway collects for it."""

from __future__ import annotations

from .settings import RequestClass

__all__ = ["LATENCY_WEIGHT", "TrafficClass"]

LATENCY_WEIGHT = 0.05
"""Weight of one response in the mean latency of a class, in its deviation, and in `Throughput`.

It is also the weight of one request in the share of requests that miss their objective.
"""
BASELINE_WEIGHT = 0.005
"""Weight of one response in the baseline latency, once 1 / weight responses have been seen."""
CONGESTED_WEIGHT_SHARE = 0.1
"""Factor on the baseline weight for responses slowed by congestion or slow start.

These must not become the baseline.
"""


class TrafficClass:
    """Settings and latency statistics of one request class.

    Latencies are in ns per unit of a request's cost hint, or per request without a hint.
    """

    __slots__ = (
        "baseline",
        "baseline_units",
        "deduplication_scope",
        "deduplication_window_ns",
        "deviation",
        "idempotency",
        "is_streaming",
        "last_sent_at",
        "late_weight",
        "latency_objective_ns",
        "mean",
        "mean_units",
        "objective_cost_factor",
        "priority_weight",
    )

    def __init__(self, settings: RequestClass) -> None:
        self.idempotency = settings.idempotency
        self.deduplication_scope = settings.deduplication_scope
        self.deduplication_window_ns = settings.deduplication_window_ns
        self.latency_objective_ns = settings.latency_objective_ns
        self.is_streaming = settings.streaming
        self.priority_weight = settings.priority_weight
        self.late_weight = settings.late_weight
        self.objective_cost_factor = settings.objective_cost_factor
        self.mean = 0.0
        self.deviation = 0.0
        """Mean absolute deviation from the mean."""
        self.baseline = 0.0
        """Baseline latency: a long-term mean to which responses slowed by congestion add little."""
        self.mean_units = 0.0
        """Cost units in the mean, with exponential decay."""
        self.baseline_units = 0.0
        self.last_sent_at = 0

    def copy_statistics_from(self, other: TrafficClass) -> None:
        """Copy the latency statistics of the same class under other settings."""
        self.mean, self.deviation, self.baseline = other.mean, other.deviation, other.baseline
        self.mean_units, self.baseline_units = other.mean_units, other.baseline_units
        self.last_sent_at = other.last_sent_at

    def record_latency(self, sample: float, units: int, other_in_flight: int, is_congested: bool) -> None:
        """Record the latency per unit of a response.

        The mean is total time over total units. A mean of per-unit latencies would be dominated by small
        hints: a request with a thousandth of the typical hint that waited in a queue would raise the baseline
        a thousandfold and hide any congestion. `other_in_flight` is the number of other attempts in flight at
        the endpoint, which delayed this response. The more there are, the less the response adds to the
        baseline; otherwise the queueing of a fleet that is full from the start would become the baseline.
        """
        self.mean_units += units - LATENCY_WEIGHT * self.mean_units
        self.baseline_units += units - BASELINE_WEIGHT * self.baseline_units
        if not self.mean:
            self.mean, self.deviation, self.baseline = sample, sample / 2, sample
            return
        error = sample - self.mean
        weight = units / self.mean_units
        self.mean += weight * error
        self.deviation += weight * (abs(error) - self.deviation)
        weight = units / self.baseline_units / (1 + other_in_flight)
        if is_congested:
            weight *= CONGESTED_WEIGHT_SHARE
        self.baseline += weight * (sample - self.baseline)
