"""The monotonic clock, and timers on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from time import monotonic_ns as now_ns
from typing import Any

from balancer import MS, SECOND

__all__ = ["LATE_EXPIRY_THRESHOLD_NS", "Timer", "Timers", "now_ns"]

LATE_EXPIRY_THRESHOLD_NS = 5 * MS
"""Lag of an expiry, ns, above which it is delayed by `READ_DELAY_NS`, so that the event loop reads from its
sockets first."""
READ_DELAY_NS = 1 * MS
"""Delay of a late expiry, ns, long enough for the event loop to read from its sockets first."""

MAX_CANCELLED_TIMERS = 256
"""The heap is rebuilt when its cancelled timers outnumber the others by more than this."""


class Timer:
    """A timer that has been set; it refers to its callback and argument until it expires or is cancelled."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: Callable[[Any], None], argument: Any) -> None:
        self.callback: Callable[[Any], None] | None = callback
        """None once the timer has expired or is cancelled."""
        self.argument = argument


class Timers:
    """Calls functions at monotonic times, never early; one heap and one event loop timer serve them all.

    The single timer keeps the event loop's own heap small, as every request sets several timers.  A request
    cancels them when it ends: otherwise the heap would store a second of requests, or more, at any rate.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        # The count makes timers with the same time expire in the order in which they were set.
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._cancelled_count = 0  # of the timers in the heap
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_due_ns = 0
        self._is_delayed = False  # a late expiry was delayed, so that the event loop reads first
        self.on_expiry: Callable[[int], None] | None = None
        """Called at each expiry with its lag, ns."""

    def __len__(self) -> int:
        """Return the number of heap entries, including those of cancelled timers."""
        return len(self._heap)

    def call_after(self, delay_ns: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        """Call `callback` once with `argument` after a delay."""
        return self.call_at(now_ns() + delay_ns, callback, argument)

    def call_at(self, due_ns: int, callback: Callable[[Any], None], argument: Any) -> Timer:
        """Call `callback` once with `argument` at `due_ns`, unless the timer is cancelled."""
        timer = Timer(callback, argument)
        self._count += 1
        heappush(self._heap, (due_ns, self._count, timer))
        if self._loop_timer is None or due_ns < self._loop_timer_due_ns:
            self._arm()
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer and release its argument; no effect if it has expired, is cancelled or is None."""
        if timer is None or timer.callback is None:
            return
        timer.callback = timer.argument = None
        self._cancelled_count += 1
        if self._cancelled_count > len(self._heap) // 2 + MAX_CANCELLED_TIMERS:
            # In place, as an expiry may be going through the heap.
            self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
            heapify(self._heap)
            self._cancelled_count = 0

    def _arm(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer_due_ns = self._heap[0][0]
        wait_ns = max(0, self._loop_timer_due_ns - now_ns())
        wait_ms = -(-wait_ns // MS)  # milliseconds as in the loop, rounded up so that none expires early
        self._loop_timer = self._loop.call_later(wait_ms / 1000, self._expire)

    def _expire(self) -> None:
        self._loop_timer = None
        heap, now = self._heap, now_ns()
        lag_ns = now - self._loop_timer_due_ns
        if self.on_expiry is not None:
            self.on_expiry(lag_ns)
        if lag_ns > LATE_EXPIRY_THRESHOLD_NS and not self._is_delayed:
            # The event loop expires timers before it reads, so that an attempt whose response waits in the
            # socket would time out.
            self._is_delayed = True
            self._loop_timer = self._loop.call_later(READ_DELAY_NS / SECOND, self._expire)
            return
        self._is_delayed = False
        try:
            while heap and heap[0][0] <= now:
                _, _, timer = heappop(heap)
                callback, argument = timer.callback, timer.argument
                if callback is None:
                    self._cancelled_count -= 1
                    continue
                timer.callback = timer.argument = None
                callback(argument)
        finally:
            if heap and self._loop_timer is None:
                self._arm()
