"""An endpoint as last listed by discovery, and the idle connections to it."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from balancer import MS, EndpointState

if TYPE_CHECKING:
    from .connection import EndpointConnection

__all__ = ["MAX_IDLE_PER_ENDPOINT", "REUSE_DELAY_NS", "UpstreamEndpoint"]

REUSE_DELAY_NS = 10 * MS
"""Minimum idle time before a connection is reused, ns: a second response to the previous request may arrive
some milliseconds late, and would be taken for the response to the next request."""
MAX_IDLE_PER_ENDPOINT = 16


class UpstreamEndpoint:
    """An endpoint; its incarnation is incremented by a restart, a change of address and its removal."""

    __slots__ = ("address", "idle", "incarnation", "is_ready", "started_ns")

    def __init__(self) -> None:
        self.address = ("", 0)
        self.started_ns = 0
        self.is_ready = False
        self.incarnation = 0
        self.idle: list[EndpointConnection] = []
        """Idle connections in the order in which they became idle, the longest idle first."""

    def apply_entry(self, address: tuple[str, int], started_ns: int, state: EndpointState) -> None:
        """Update from an entry of the endpoint list; close idle connections that are no longer usable."""
        self.is_ready = state is EndpointState.READY
        if state is EndpointState.GONE:
            self.incarnation += 1
        elif address != self.address or (started_ns and started_ns != self.started_ns):
            # A restart breaks existing connections, which is only detected when they are used.
            self.incarnation += 1
            self.address, self.started_ns = address, started_ns
        if self.idle and (not self.is_ready or self.idle[0].incarnation != self.incarnation):
            self.close_idle()

    def accepts(self, connection: EndpointConnection) -> bool:
        """Whether this connection may carry requests."""
        return self.is_ready and connection.incarnation == self.incarnation

    def take_idle(self, now_ns: int) -> EndpointConnection | None:
        """Remove and return the usable connection that became idle last, but at least `REUSE_DELAY_NS` ago.

        Return None if there is none.  Unusable connections found before it are closed.
        """
        index = bisect_right(
            self.idle, now_ns - REUSE_DELAY_NS, key=lambda connection: connection.idle_since_ns
        )
        while index:
            index -= 1
            connection = self.idle.pop(index)
            if not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def add_idle(self, connection: EndpointConnection) -> None:
        """Add an idle connection; above `MAX_IDLE_PER_ENDPOINT` the longest idle one is closed."""
        self.idle.append(connection)
        if len(self.idle) > MAX_IDLE_PER_ENDPOINT:
            self.idle.pop(0).close()

    def remove_idle(self, connection: EndpointConnection) -> None:
        """Remove a connection from the idle ones, if it is among them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def close_expired(self, now_ns: int, max_idle_ns: int) -> None:
        """Close the connections that have been idle for `max_idle_ns` or longer."""
        while self.idle and now_ns - self.idle[0].idle_since_ns >= max_idle_ns:
            self.idle.pop(0).close()
