"""The monotonic clock, and timers on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from time import monotonic_ns as now_ns
from typing import Any, TypeVar

from balancer import MS, SECOND

__all__ = ["LATE_EXPIRY_THRESHOLD_NS", "Timers", "now_ns"]

LATE_EXPIRY_THRESHOLD_NS = 5 * MS
"""Lag of an expiry, ns, above which it is delayed by `READ_DELAY_NS`, so that the event loop reads from its
sockets first."""
READ_DELAY_NS = 1 * MS
"""Delay of a late expiry, ns, long enough for the event loop to read from its sockets first."""

Argument = TypeVar("Argument")


class Timers:
    """Calls functions at monotonic times, never early; one heap and one event loop timer serve them all.

    The single timer keeps the event loop's own heap small, as every request sets several timers and none of
    them is cancelled.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        # The count makes timers with the same time expire in the order in which they were set.
        self._heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._count = 0
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_due_ns = 0
        self._is_delayed = False  # a late expiry was delayed, so that the event loop reads first
        self.on_expiry: Callable[[int], None] | None = None
        """Called at each expiry with its lag, ns."""

    def call_after(self, delay_ns: int, callback: Callable[[Argument], None], argument: Argument) -> None:
        """Call `callback` once after a delay."""
        self.call_at(now_ns() + delay_ns, callback, argument)

    def call_at(self, due_ns: int, callback: Callable[[Argument], None], argument: Argument) -> None:
        """Call `callback` once at `due_ns`.

        The call cannot be cancelled, so the callback must check whether it still applies.
        """
        self._count += 1
        heappush(self._heap, (due_ns, self._count, callback, argument))
        if self._loop_timer is None or due_ns < self._loop_timer_due_ns:
            self._arm()

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
                _, _, callback, argument = heappop(heap)
                callback(argument)
        finally:
            if heap and self._loop_timer is None:
                self._arm()
