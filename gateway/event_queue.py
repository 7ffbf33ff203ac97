"""Queue of the events of one balancer, in order of occurrence."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

from .request import Request
from .timers import now_ns

__all__ = ["Event", "EventQueue"]

log = logging.getLogger("gateway.event_queue")

Event = Callable[[int], None]
"""An event: a function that is called with the time at which it is handled, ns."""


class EventQueue:
    """Passes events to the balancer one at a time.

    A balancer's actions act on sockets immediately, which may cause further events.  These are queued until
    the current event has been handled, so that calls into the balancer are never nested.
    """

    def __init__(self, on_failure: Callable[[Request], None]) -> None:
        """Register `on_failure`, which is called with the request of an event that raised an exception."""
        self.now_ns = 0
        """Time at which handling of the current event began, ns."""
        self._events: deque[tuple[Event, Request | None]] = deque()
        self._is_handling = False
        self._on_failure = on_failure

    def add(self, event: Event, request: Request | None = None) -> None:
        """Queue an event, with its request if any, and process the queue unless that is already happening."""
        self._events.append((event, request))
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event, request = self._events.popleft()
                self.now_ns = now_ns()
                try:
                    event(self.now_ns)
                except Exception:
                    log.exception("the balancer raised an exception while handling an event")
                    if request is not None:
                        self._on_failure(request)
        finally:
            self._is_handling = False
