"""Detects event loop stalls, and bounds the age of data that is read after one.

Data that the event loop reads late looks as if it had just arrived.  The loop stalls while the process is
stopped, has used up its CPU quota, or runs one callback for a long time; data that arrives meanwhile waits in
the sockets.  The last heartbeat before a stall is the earliest time at which that data may have arrived.
"""

from __future__ import annotations

import asyncio

from balancer import MS

from .timers import Timers, now_ns

__all__ = ["HEARTBEAT_INTERVAL_NS", "HEARTBEAT_TOLERANCE_NS", "LoopMonitor"]

HEARTBEAT_INTERVAL_NS = 20 * MS
"""Time between two heartbeats, ns; the start of a stall is known with this precision."""
HEARTBEAT_TOLERANCE_NS = 10 * MS
"""Delay of a heartbeat up to which it does not indicate a stall, ns: timers are rounded up to a millisecond,
and an event loop iteration that reads many connections takes some milliseconds."""
STALE_ITERATIONS = 3
"""Event loop iterations after a late heartbeat in which old data may still be read: one accepts the new
connections, another reads their data, and the loop may have stalled just before either."""
MAX_BACKLOG_NS = 100 * MS
"""Longest time after a stall, ns, in which accepted connections are assumed to have been established during
it: accepting them takes several iterations."""


class LoopMonitor:
    """Measures the stalls of one event loop with a periodic heartbeat."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self._loop = loop
        self._timers = timers
        self._last_heartbeat_ns = now_ns()
        self._backlog_from_ns = 0  # earliest connect time of connections accepted now, ns; 0 without a stall
        self._backlog_until_ns = 0  # time at which `_backlog_from_ns` is reset at the latest, ns
        self._iterations = 0  # event loop iterations since the late heartbeat
        self._last_accept_iteration = 0  # value of `_iterations` when a connection was last accepted
        timers.call_after(HEARTBEAT_INTERVAL_NS, self._on_heartbeat, None)

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest possible arrival, ns, of data read at `now`.

        This is `now`, unless the event loop has just stalled.
        """
        late_ns = now - self._last_heartbeat_ns - HEARTBEAT_INTERVAL_NS
        return now if late_ns <= HEARTBEAT_TOLERANCE_NS else self._last_heartbeat_ns

    def earliest_connect(self, now: int) -> int:
        """Return the earliest time, ns, at which a connection accepted at `now` may have been established."""
        self._last_accept_iteration = self._iterations
        return min(self._backlog_from_ns or now, self.earliest_arrival(now))

    def _on_heartbeat(self, _: None) -> None:
        now = now_ns()
        if self.earliest_arrival(now) == now:
            self._restart_heartbeat(now)
            return
        is_counting_iterations = self._backlog_from_ns != 0
        self._backlog_from_ns = self._backlog_from_ns or self._last_heartbeat_ns
        self._backlog_until_ns = now + MAX_BACKLOG_NS
        self._iterations = self._last_accept_iteration = 0
        if not is_counting_iterations:
            self._loop.call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        """Count an event loop iteration after a late heartbeat; end the stall once old data has been read."""
        now = now_ns()
        self._iterations += 1
        if self._iterations == STALE_ITERATIONS:
            self._restart_heartbeat(now)
        is_backlog_empty = self._iterations - self._last_accept_iteration >= STALE_ITERATIONS
        if self._iterations >= STALE_ITERATIONS and (is_backlog_empty or now >= self._backlog_until_ns):
            self._backlog_from_ns = 0
        else:
            self._loop.call_soon(self._on_iteration)

    def _restart_heartbeat(self, now: int) -> None:
        self._last_heartbeat_ns = now
        self._timers.call_after(HEARTBEAT_INTERVAL_NS, self._on_heartbeat, None)
