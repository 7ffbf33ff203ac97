"""Table of open client connections, and the eviction policy when the connection limit is reached."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..telemetry import CloseReason
from ..timers import now_ns

if TYPE_CHECKING:
    from .connection import ClientConnection

__all__ = ["ConnectionTable"]

OVERFLOW_CONNECTIONS = 16
"""Connections above the limit that still receive a rejection; beyond these they are closed without one."""


class ConnectionTable:
    """All open connections, with the evictable ones grouped by how they have been used.

    A new connection above the limit replaces an existing one that has no open request.  Evicted first are
    connections that have sent only readiness checks and invalid requests, and those that had sent nothing at
    the last sweep; then newer ones that never sent anything, then those whose first request stays incomplete,
    and last those that have sent a valid request.
    With this order, many useless connections cannot displace the useful ones.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        """Maximum number of connections, not counting `OVERFLOW_CONNECTIONS`."""
        self._connections: dict[ClientConnection, None] = {}  # oldest first, like the other groups
        self._unused: dict[ClientConnection, None] = {}  # no data received yet
        self._idle: dict[ClientConnection, None] = {}  # idle, after at least one valid request
        self._unvalidated: dict[ClientConnection, None] = {}  # idle at a response or sweep, no valid request

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._connections)

    def admit(self, connection: ClientConnection) -> None:
        """Add a new connection; above the limit, evict another one or mark this one for rejection."""
        self._connections[connection] = None
        if len(self._connections) > self.max_connections and not self._evict_one():
            connection.is_over_limit = True
            if len(self._connections) > self.max_connections + OVERFLOW_CONNECTIONS:
                connection.close(CloseReason.OVER_LIMIT)
        self._unused[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is lost."""
        self._connections.pop(connection, None)
        self.mark_active(connection)

    def mark_active(self, connection: ClientConnection) -> None:
        """Record that a connection has received data, so that it is not evicted as unused or idle."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._unvalidated.pop(connection, None)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that every request received on a connection has been answered."""
        (self._idle if connection.has_sent_valid_request else self._unvalidated)[connection] = None

    @property
    def is_half_full(self) -> bool:
        """Whether more than half of the allowed connections are open."""
        return 2 * len(self._connections) > self.max_connections

    def close_unvalidated(self, reason: CloseReason) -> None:
        """Close the idle connections that have sent only readiness checks, invalid requests or nothing.

        Of those that have sent nothing, only the ones that were open at the last sweep are closed.
        """
        for connection in list(self._unvalidated):
            connection.close_if_idle(reason)

    def close_idle(self, reason: CloseReason) -> None:
        """Close all connections that have no open or partly received request."""
        for connection in list(self._connections):
            connection.close_if_idle(reason)

    def _evict_one(self) -> bool:
        """Close the least useful connection; false if all are in use."""
        if self._evict_oldest(self._unvalidated) or self._evict_oldest(self._unused):
            return True
        now = now_ns()
        for connection in self._connections:
            if connection.is_stalled(now):
                connection.close(CloseReason.EVICTED)
                return True
        return self._evict_oldest_idle()

    @staticmethod
    def _evict_oldest(group: dict[ClientConnection, None]) -> bool:
        """Close the oldest connection of a group without a valid request; false if there is none.

        One that is closing already frees no slot.  An unread request is no reason to spare a connection: many
        useless clients that send something would displace the useful ones.
        """
        while group:
            oldest = next(iter(group))
            del group[oldest]
            if not oldest.is_closing:
                oldest.close(CloseReason.EVICTED)
                return True
        return False

    def _evict_oldest_idle(self) -> bool:
        """Close the connection that is idle for longest after a valid request; false if there is none."""
        for connection in self._idle:
            if not connection.is_closing and connection.close_if_idle(CloseReason.EVICTED):
                del self._idle[connection]
                return True
        return False
