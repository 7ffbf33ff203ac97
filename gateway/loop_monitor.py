"""Notices that the event loop was held up, and tells how old what is read now may be.

Bytes that a loop reads late look as if they had just come.  The loop is held up when the process is stopped,
has used up its share of the processor, or has worked on something for long; what came meanwhile lay in its
sockets.  A heartbeat shows since when that may be so.
"""

from __future__ import annotations

import asyncio

from bridgesaddle.api import MS

from .timers import Timers, now_ns

HEARTBEAT = 20 * MS
"""Time between two heartbeats, ns: a pause is known to within so much."""
TOLERANCE = 10 * MS
"""A heartbeat that is late by less is no pause, ns: timers are rounded up to a millisecond, and a turn of the
loop that reads many connections takes some."""
TURNS = 3
"""Turns of the loop after a late heartbeat in which old bytes may still be read: one finds the new
connections, another reads what lay in them, and the loop may have been held up just before either."""


class LoopMonitor:
    """The heartbeat of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self._loop = loop
        self._timers = timers
        self._last_heartbeat = now_ns()
        timers.after(HEARTBEAT, self._heartbeat, None)

    def earliest_arrival(self, now: int) -> int:
        """The earliest time, ns, at which what is read at `now` may have come: `now`, but for a pause."""
        late = now - self._last_heartbeat - HEARTBEAT
        return now if late <= TOLERANCE else self._last_heartbeat

    def _heartbeat(self, _: None) -> None:
        now = now_ns()
        if self.earliest_arrival(now) == now:
            self._resume(now)
        else:
            self._loop.call_soon(self._wait, TURNS - 1)

    def _wait(self, turns: int) -> None:
        if turns:
            self._loop.call_soon(self._wait, turns - 1)
        else:
            self._resume(now_ns())

    def _resume(self, now: int) -> None:
        self._last_heartbeat = now
        self._timers.after(HEARTBEAT, self._heartbeat, None)
