"""Graceful shutdown on SIGTERM: serves open requests and late arrivals, then ends the process."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from balancer import MS, Settings

from .client import ClientServer, Listener
from .dispatcher import Dispatcher
from .timers import Timers, now_ns

__all__ = ["GracefulShutdown", "ShutdownPhase", "ShutdownSchedule"]

ACCEPT_TIME_NS = 600 * MS
"""Time after SIGTERM in which connections are accepted, ns: clients keep connecting for up to 0.4 s."""
MAX_SERVE_TIME_NS = 1500 * MS
"""Longest time after SIGTERM in which new requests on open connections are admitted, ns: in a rolling restart
the gateway that was stopped before this one may not be ready yet."""
MAX_SHUTDOWN_TIME_NS = 3200 * MS
"""Time from SIGTERM to the end of the process, ns, even if requests are still open."""
DEADLINE_MARGIN_NS = 400 * MS
"""Time from the longest request deadline to the end of the process, ns, unless `MAX_SHUTDOWN_TIME_NS` ends it
earlier: SIGKILL follows 0.7 s after the longest deadline, and no deadline exceeds 3 s."""
LAST_REQUEST_MARGIN_NS = 800 * MS
"""Time from the last admitted request to the end of the process, ns."""
CHECK_INTERVAL_NS = 20 * MS
"""Interval of the checks whether all connections are closed, ns."""


class ShutdownPhase(Enum):
    """Phases of a shutdown, in order."""

    RUNNING = "running"
    """No shutdown is in progress."""
    ACCEPTING = "accepting"
    """Readiness checks fail, idle connections that have received no valid request are closed (see
    `ClientServer.begin_shutdown`), and new connections are accepted."""
    SERVING = "serving"
    """No new connections are accepted; requests on open connections are still admitted."""
    DRAINING = "draining"
    """Each connection is closed as soon as it has no open request."""
    OVERDUE = "overdue"
    """Requests that are still open fail, and the process ends."""
    ENDED = "ended"


class ShutdownSchedule(NamedTuple):
    """Start of the phases, ns after SIGTERM."""

    draining_ns: int
    overdue_ns: int

    @classmethod
    def for_settings(cls, settings: Settings) -> ShutdownSchedule:
        """Return the schedule for the deadlines of the request classes."""
        overdue_ns = min(
            MAX_SHUTDOWN_TIME_NS,
            max(request_class.max_timeout_ns for request_class in settings.classes) + DEADLINE_MARGIN_NS,
        )
        draining_ns = max(ACCEPT_TIME_NS, min(MAX_SERVE_TIME_NS, overdue_ns - LAST_REQUEST_MARGIN_NS))
        return cls(draining_ns, overdue_ns)

    def phase_at(self, elapsed_ns: int) -> ShutdownPhase:
        """Return the phase at this time after SIGTERM, once new connections are no longer accepted."""
        if elapsed_ns > self.overdue_ns:
            return ShutdownPhase.OVERDUE
        return ShutdownPhase.DRAINING if elapsed_ns >= self.draining_ns else ShutdownPhase.SERVING


class GracefulShutdown:
    """Ends a gateway once all client connections are closed, at the latest in the phase OVERDUE."""

    def __init__(
        self,
        timers: Timers,
        listener: Listener,
        server: ClientServer,
        dispatcher: Dispatcher,
        settings: Settings,
        on_ended: Callable[[], None],
    ) -> None:
        """`on_ended` is called once, when the shutdown is complete."""
        self._timers = timers
        self._listener = listener
        self._server = server
        self._dispatcher = dispatcher
        self._schedule = ShutdownSchedule.for_settings(settings)
        self._on_ended = on_ended
        self._started_ns = 0
        self.phase = ShutdownPhase.RUNNING

    def on_settings(self, settings: Settings) -> None:
        """Apply new deadlines, also to a shutdown in progress."""
        self._schedule = ShutdownSchedule.for_settings(settings)

    def begin(self) -> None:
        """Begin a shutdown: readiness checks fail at once, and requests are served for some time."""
        if self.phase is not ShutdownPhase.RUNNING:
            return
        self.phase = ShutdownPhase.ACCEPTING
        self._started_ns = now_ns()
        self._server.begin_shutdown()
        self._timers.call_after(ACCEPT_TIME_NS, self._stop_accepting, None)

    def _stop_accepting(self, _: None) -> None:
        self._listener.close()
        self._update_phase(None)

    def _update_phase(self, _: None) -> None:
        self.phase = self._schedule.phase_at(now_ns() - self._started_ns)
        if self.phase in (ShutdownPhase.DRAINING, ShutdownPhase.OVERDUE):
            self._server.drain()  # repeated: a connection may have become idle since the last call
        if self.phase is ShutdownPhase.OVERDUE:
            self._dispatcher.fail_all()
            self._server.reject_received()
        if self.phase is ShutdownPhase.OVERDUE or not self._server.open_connections:
            self.phase = ShutdownPhase.ENDED
            self._on_ended()
        else:
            self._timers.call_after(CHECK_INTERVAL_NS, self._update_phase, None)
