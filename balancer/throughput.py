"""Smoothed response rate and baseline latency of all endpoints together, as seen by this gateway."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

from .settings import RequestClass
from .traffic_class import LATENCY_WEIGHT
from .units import SECOND

__all__ = ["Throughput"]

RATE_TIME_CONSTANT_S = 2.0
"""Time constant of the response rate, in seconds."""


class Throughput:
    """Smoothed response rate and baseline latency over all request classes."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.baseline_latency = 0.0
        """Smoothed baseline latency of the requests served, in ns; 0 before the first response."""
        self._rate_per_s = 0.0
        self._updated_at = 0
        self._longest_latency = _longest_latency(classes)

    def apply_settings(self, classes: Sequence[RequestClass]) -> None:
        """Replace the request classes."""
        self._longest_latency = _longest_latency(classes)

    def count_response(self, now: int) -> None:
        """Count a response in the response rate."""
        elapsed_s = (now - self._updated_at) / SECOND
        self._updated_at = now
        self._rate_per_s = (
            self._rate_per_s * exp(-elapsed_s / RATE_TIME_CONSTANT_S) + 1.0 / RATE_TIME_CONSTANT_S
        )

    def record_baseline_latency(self, latency: float) -> None:
        """Record a response to a request whose baseline latency is `latency` ns."""
        if self.baseline_latency:
            self.baseline_latency += LATENCY_WEIGHT * (latency - self.baseline_latency)
        else:
            self.baseline_latency = latency

    def rate_per_endpoint(self, endpoints_per_gateway: float) -> float:
        """Return the minimum rate that an endpoint outside slow start serves, in requests per second.

        An endpoint serves at least one request at a time, and about the fleet's rate per endpoint. The
        baseline latency excludes queueing; otherwise longer queues at other endpoints would reduce the rate
        of one in slow start. Before the first response the longest latency of the classes is used. Without
        it, a gateway that starts while all endpoints are in slow start would send nothing until slow start
        ends.
        """
        serial_rate = SECOND / (self.baseline_latency or self._longest_latency)
        return max(self._rate_per_s / endpoints_per_gateway, serial_rate)


def _longest_latency(classes: Sequence[RequestClass]) -> int:
    """Return the longest time that a request takes outside slow start, by the settings of the classes.

    It is the latency objective, or the maximum timeout where the objective grows with the cost hint or the
    class streams.
    """
    return max(
        request_class.max_timeout_ns
        if request_class.objective_cost_factor or request_class.streaming
        else request_class.latency_objective_ns
        for request_class in classes
    )
