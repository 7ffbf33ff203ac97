"""Queueing delay from the load reports that endpoints send with their responses."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from .endpoint import Endpoint
from .throughput import Throughput

__all__ = ["ENDPOINT_SMOOTHING_WEIGHT", "LoadReports"]

ENDPOINT_SMOOTHING_WEIGHT = 0.1
"""Weight of one response in the smoothed latency and load of a single endpoint."""
NS_PER_MS = 1e6

IN_FLIGHT = "inflight"
QUEUE = "queue"
SERVICE_MS = "service_ms"


class LoadReports:
    """Interprets load reports with the fields named in the settings."""

    def __init__(self, fields: Sequence[str], throughput: Throughput) -> None:
        self._throughput = throughput
        self._field_count = len(set(fields))
        positions = {name: fields.index(name) for name in fields}
        self._in_flight = positions.get(IN_FLIGHT)
        self._queue = positions.get(QUEUE)
        self._service_ms = positions.get(SERVICE_MS)

    @property
    def reports_speed(self) -> bool:
        """Whether reports include the speed of the endpoint, and not only its requests in flight."""
        return self._queue is not None or self._service_ms is not None

    def queueing_delay(self, endpoint: Endpoint, elapsed_ns: int, report: Sequence[float]) -> float | None:
        """Return the delay in ns that the report of a response indicates, or None if it indicates none.

        `elapsed_ns` is the latency of that response.
        """
        if not report or len(report) < self._field_count or inf in report:
            return None
        delay = self._delay(endpoint, elapsed_ns, report)
        return delay if delay is not None and delay >= 0 else None

    def _delay(self, endpoint: Endpoint, elapsed_ns: int, report: Sequence[float]) -> float | None:
        endpoint.mean_latency = _smoothed(endpoint.mean_latency, elapsed_ns)
        if self._in_flight is None:
            if self._queue is None or self._service_ms is None:
                return None
            return report[self._queue] * report[self._service_ms] * NS_PER_MS
        in_flight = endpoint.reported_in_flight = report[self._in_flight]
        endpoint.mean_reported_in_flight = _smoothed(endpoint.mean_reported_in_flight, in_flight)
        if self._queue is not None:
            # Little's law: the service rate is the mean number in flight divided by the mean latency.
            return report[self._queue] * endpoint.mean_latency / max(1.0, endpoint.mean_reported_in_flight)
        if self._service_ms is not None:
            return in_flight * report[self._service_ms] * NS_PER_MS
        # All requests in flight but one, from all gateways, each at the baseline latency. Otherwise many
        # gateways, each of which sees few responses, would together fill an endpoint before any of them sees
        # it slow down.
        baseline_latency = self._throughput.baseline_latency
        return max(0.0, in_flight - 1.0) * baseline_latency if baseline_latency else None


def _smoothed(mean: float, value: float) -> float:
    return mean + ENDPOINT_SMOOTHING_WEIGHT * (value - mean) if mean else value
