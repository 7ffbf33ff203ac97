"""An endpoint as last listed by discovery, and the idle connections to it.

In HTTP/1.1 only its place in the stream tells which request a response belongs to (RFC 9112, 9.3).  After
data that no request has caused, such as a second response, the next request would get a response that was
made for another one.  An endpoint that has sent such data gets a new connection for each request.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from balancer import MS, SECOND, EndpointState

if TYPE_CHECKING:
    from .connection import EndpointConnection

__all__ = ["MAX_IDLE_PER_ENDPOINT", "REUSE_DELAY_NS", "SINGLE_USE_NS", "UpstreamEndpoint"]

REUSE_DELAY_NS = 10 * MS
"""Minimum idle time before a connection is reused, ns: a second response to the previous request may arrive
some milliseconds late, and would be taken for the response to the next request."""
SINGLE_USE_NS = 120 * SECOND
"""Time after unsolicited data for which an endpoint's connections carry one request each, ns."""
OBSERVATION_NS = 1 * SECOND
"""Time for which a connection that is not reused stays open to show further unsolicited data, ns."""
MAX_IDLE_PER_ENDPOINT = 16
MAX_OBSERVED_PER_ENDPOINT = 4
"""Maximum number of idle connections to an endpoint whose connections are not reused."""


class UpstreamEndpoint:
    """An endpoint; its incarnation is incremented by a restart, a change of address and its removal."""

    __slots__ = (
        "_single_use_until_ns",
        "address",
        "idle",
        "incarnation",
        "is_ready",
        "started_ns",
    )

    def __init__(self) -> None:
        self._single_use_until_ns = 0
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

    def is_single_use(self, now_ns: int) -> bool:
        """Whether connections carry one request each, as the endpoint has sent unsolicited data."""
        return now_ns < self._single_use_until_ns

    def record_unsolicited_data(self, now_ns: int) -> None:
        """Record that the endpoint has sent data that no request has caused."""
        self._single_use_until_ns = now_ns + SINGLE_USE_NS

    def take_idle(self, now_ns: int) -> EndpointConnection | None:
        """Remove and return the usable connection that became idle last, but at least `REUSE_DELAY_NS` ago.

        Return None if there is none.  Unusable connections found before it are closed.
        """
        if self.is_single_use(now_ns):
            return None
        index = bisect_right(
            self.idle, now_ns - REUSE_DELAY_NS, key=lambda connection: connection.idle_since_ns
        )
        while index:
            index -= 1
            connection = self.idle.pop(index)
            if not connection.has_unread_input():
                return connection
            has_data = connection.has_unread_data()
            connection.close()
            if has_data:
                self.record_unsolicited_data(now_ns)
                return None
        return None

    def add_idle(self, connection: EndpointConnection) -> None:
        """Add an idle connection; above the limit on idle connections the longest idle one is closed."""
        self.idle.append(connection)
        is_single_use = self.is_single_use(connection.idle_since_ns)
        limit = MAX_OBSERVED_PER_ENDPOINT if is_single_use else MAX_IDLE_PER_ENDPOINT
        while len(self.idle) > limit:
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
        """Close the connections that have been idle for `max_idle_ns`, or observed for long enough."""
        if self.is_single_use(now_ns):
            max_idle_ns = min(max_idle_ns, OBSERVATION_NS)
        while self.idle and now_ns - self.idle[0].idle_since_ns >= max_idle_ns:
            self.idle.pop(0).close()
