"""Counters, request traces and the summary line that is logged once a second.

On the request path each call costs a dictionary update or a list append; only a few sampled reads per second
cost a system call.  Log lines are written once a second for the gateway, and for requests that end
abnormally; with EDGE_TRACE=all for every request and every closed client connection.
"""

from __future__ import annotations

import logging
import os
import socket
import time
from collections import Counter
from enum import Enum
from typing import Final, NamedTuple

from balancer import MS, SECOND

from .sockets import unread_age_ms

__all__ = ["CloseReason", "CounterName", "GatewayReason", "Phase", "Telemetry", "Trace"]

log = logging.getLogger("gateway.stats")
trace_log = logging.getLogger("gateway.trace")

SUMMARY_INTERVAL_NS = 1 * SECOND
"""Time between two summary lines, ns."""
TRACES_PER_SUMMARY = 20
"""Maximum number of request traces between two summary lines, to bound the log if many requests fail."""
AGE_SAMPLES_PER_SUMMARY = 16
"""Maximum number of reads between two summary lines for which the age of the data is queried, which takes a
system call."""
TRACE_VARIABLE = "EDGE_TRACE"
"""Environment variable; if its value is `all`, every request is traced, without a limit."""


class Phase(Enum):
    """Phases of a request as named in traces."""

    READ = "read"
    SENT = "sent"
    ATTEMPT_ENDED = "attempt_ended"
    HALF_CLOSED = "half_closed"
    CLIENT_GONE = "client_gone"
    RESPONSE = "response"


class GatewayReason(Enum):
    """Reasons for which the gateway itself, not the balancer, ended a request."""

    TABLE_FULL = "table_full"
    """The request table has no capacity for one more request, or for its bytes."""
    PIPELINE_FULL = "pipeline_full"
    """Too many requests are open on one connection."""
    LATE_READ = "late_read"
    """The client's timeout had expired when the request was read, or the client had sent EOF while reading
    was paused; it may have disconnected."""
    NO_CONNECTION_SLOT = "no_connection_slot"
    """Its connection exceeds the limit on client connections."""
    BALANCER_TIMEOUT = "balancer_timeout"
    """The balancer had not ended it shortly before the client's deadline."""
    CLIENT_CLOSING = "client_closing"
    """The client has sent EOF, and no attempt is in flight on an established connection."""
    BALANCER_ERROR = "balancer_error"
    """The balancer raised an exception."""
    MEMORY_EXHAUSTED = "memory_exhausted"
    """Later responses of its connection waited for it, and the memory budget was exhausted."""
    SHUTDOWN = "shutdown"
    """The request was still open at the time limit of the graceful shutdown."""


class CounterName:
    """Names of the counters in the summary line; a detail such as a reason may follow after a dot.

    They are plain strings, as the lookup of an Enum member is slower and every request counts several.
    """

    ACCEPTED: Final = "accepted"
    """Client connections accepted."""
    ADMITTED: Final = "admitted"
    """Requests passed to the balancer."""
    SERVED: Final = "served"
    REJECTED: Final = "rejected"
    FAILED: Final = "failed"
    CLIENT_GONE: Final = "client_gone"
    """Requests whose client disconnected before the response; `overdue` if that was after its deadline."""
    ATTEMPT: Final = "attempt"
    """Ended attempts, by outcome."""
    RETRY: Final = "retry"
    """Attempts after the first one of a request, also those that are not sent."""
    DEFERRED: Final = "deferred"
    """Reads from clients whose requests were not all handled in one turn."""
    INVALID: Final = "invalid"
    """Complete requests that the gateway answered with a 4xx status of its own, by reason.  Requests that
    cannot be parsed are not counted."""
    CLOSED: Final = "closed"
    """Client connections closed, by reason."""
    RECLAIMED: Final = "reclaimed"
    """Items that were released as the memory budget was exhausted, by kind (`Priority`)."""
    INCOMPLETE: Final = "incomplete"
    """Client connections closed after a part of a request had been received."""


class CloseReason(Enum):
    """Reasons for which a client connection was closed."""

    BY_CLIENT = "by_client"
    IDLE = "idle"
    EVICTED = "evicted"
    """Closed to free a slot for a newer connection."""
    OVER_LIMIT = "over_limit"
    """Closed without a rejection, as too many connections were open even for that."""
    AFTER_RESPONSE = "after_response"
    """Closed some time after its last response, so that the client could read it."""
    SLOW_READER = "slow_reader"
    MEMORY_EXHAUSTED = "memory_exhausted"
    """Closed to free memory, as the client did not read its responses."""
    HALF_CLOSED = "half_closed"
    """The client had sent EOF, and all responses have been sent."""
    SHUTDOWN = "shutdown"


class _Step(NamedTuple):
    """One step of a request trace."""

    at_ns: int
    phase: Phase
    detail: str
    """Endpoint, outcome or reason."""


class Trace:
    """Records the steps of one request, for the log line of a request that ends abnormally."""

    __slots__ = ("_arrived_ns", "_steps", "client_request_id", "connection_number", "timeout_ns")

    def __init__(
        self, client_request_id: bytes, connection_number: int, timeout_ns: int, arrived_ns: int, now: int
    ) -> None:
        """Begin a trace; `client_request_id` is the X-Request-ID, `timeout_ns` counts from `arrived_ns`."""
        self.client_request_id = client_request_id
        self.connection_number = connection_number
        self.timeout_ns = timeout_ns
        self._arrived_ns = arrived_ns
        self._steps = [_Step(now, Phase.READ, "")]

    def add_step(self, now: int, phase: Phase, detail: str = "") -> None:
        """Add a step to the trace."""
        self._steps.append(_Step(now, phase, detail))

    def is_overdue(self, now: int) -> bool:
        """Whether the client's timeout has expired."""
        return now - self._arrived_ns > self.timeout_ns

    def line(self) -> str:
        """Return the trace as one log line; times are milliseconds since the earliest possible arrival."""
        steps = " ".join(map(self._format_step, self._steps))
        client_request_id = _decode(self.client_request_id)
        return (
            f"request id={client_request_id} connection={self.connection_number} "
            f"timeout_ms={self.timeout_ns // MS} {steps}"
        )

    def _format_step(self, step: _Step) -> str:
        name = f"{step.phase.value}:{step.detail}" if step.detail else step.phase.value
        return f"{name}@{(step.at_ns - self._arrived_ns) / MS:.1f}"


class Telemetry:
    """Collects the counters of one gateway between summary lines, and writes summaries and traces."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._max_lag_ns = 0
        self._trace_count = 0
        self._age_samples = 0
        self._max_age_ms = 0
        self._cpu_ns = time.process_time_ns()
        self._next_summary_ns = 0
        self._trace_all = os.environ.get(TRACE_VARIABLE) == "all"

    def count(self, name: str, detail: str = "") -> None:
        """Increment the counter `name`, a `CounterName`; `detail` is the reason or outcome, if any."""
        self._counts[name, detail] += 1

    def record_lag(self, lag_ns: int) -> None:
        """Record how late a timer expired; the summary line reports the longest lag in its interval."""
        self._max_lag_ns = max(self._max_lag_ns, lag_ns)

    def record_read_age(self, sock: socket.socket) -> None:
        """Record, for a sample of client reads, how long the data had waited unread in the socket."""
        if self._age_samples < AGE_SAMPLES_PER_SUMMARY:
            self._age_samples += 1
            self._max_age_ms = max(self._max_age_ms, unread_age_ms(sock))

    def finish_trace(self, trace: Trace, is_abnormal: bool) -> None:
        """Write the trace of an ended request if it ended abnormally or if all requests are traced."""
        if not is_abnormal and not self._trace_all:
            return
        self._trace_count += 1
        if self._trace_count <= TRACES_PER_SUMMARY or self._trace_all:
            trace_log.info("%s", trace.line())

    def count_invalid_request(self, connection_number: int, client_request_id: bytes, reason: str) -> None:
        """Count a complete request that the gateway answered with a 4xx status of its own."""
        self.count(CounterName.INVALID, reason)
        if self._trace_all:
            trace_log.info(
                "invalid_request id=%s connection=%d reason=%s",
                _decode(client_request_id),
                connection_number,
                reason,
            )

    def count_closed_connection(
        self, connection_number: int, reason: CloseReason, is_incomplete: bool
    ) -> None:
        """Count a closed client connection; `is_incomplete`: a part of a request had been received on it."""
        self.count(CounterName.CLOSED, reason.value)
        if is_incomplete:
            self.count(CounterName.INCOMPLETE)
        if self._trace_all:
            trace_log.info(
                "closed connection=%d reason=%s incomplete=%d", connection_number, reason.value, is_incomplete
            )

    def write_summary(self, now: int, **gauges: int) -> None:
        """Write the summary line if it is due; `gauges` are current values, such as open connections."""
        if now < self._next_summary_ns:
            return
        self._next_summary_ns = now + SUMMARY_INTERVAL_NS
        cpu_ns = time.process_time_ns()
        fields = {
            "cpu_ms": (cpu_ns - self._cpu_ns) // MS,
            "lag_ms": self._max_lag_ns // MS,
            "unread_ms": self._max_age_ms,
            **gauges,
        }
        for (name, detail), count in self._counts.items():
            fields[f"{name}.{detail}" if detail else name] = count
        if self._trace_count > TRACES_PER_SUMMARY and not self._trace_all:
            fields["traces_dropped"] = self._trace_count - TRACES_PER_SUMMARY
        self._cpu_ns = cpu_ns
        self._max_lag_ns = self._trace_count = self._age_samples = self._max_age_ms = 0
        self._counts.clear()
        log.info("%s", " ".join(f"{name}={value}" for name, value in fields.items()))


def _decode(client_request_id: bytes) -> str:
    return client_request_id.decode("ascii", "replace")
