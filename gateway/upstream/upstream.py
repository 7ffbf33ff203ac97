"""The pool of connections to all endpoints, with a global limit, and the attempts in flight."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Iterable

from balancer import MS, SECOND, EndpointId, EndpointState, Outcome

from ..discovery import ListedEndpoint
from ..memory_budget import MemoryBudget
from ..timers import Timers, now_ns
from .attempt import Attempt
from .connection import EndpointConnection
from .endpoint import UpstreamEndpoint

__all__ = ["Upstream"]

log = logging.getLogger("gateway.upstream")

DEFAULT_CONNECT_TIMEOUT_NS = 250 * MS
IDLE_TIMEOUT_SHARE = 0.6
"""Share of the endpoints' idle timeout after which the gateway closes idle connections, well before the
endpoints do."""
DEFAULT_MAX_IDLE_NS = 10 * SECOND
CONNECT_PAUSES_S = (0.001, 0.004, 0.016)
"""Pauses before a failed connect is repeated, seconds."""
LASTING_CONNECT_ERRORS = frozenset((errno.ECONNREFUSED, errno.ECONNRESET))
"""Errors that the endpoint's machine has sent: no process listens there."""


class Upstream:
    """Connection pool to the endpoints; sends attempts, but never creates or repeats one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        max_connections: int,
        connect_timeout_ns: int,
        idle_timeout_ns: int,
        memory_budget: MemoryBudget,
    ) -> None:
        """`idle_timeout_ns` is the endpoints' own idle timeout; either timeout may be 0 for its default."""
        self.memory_budget = memory_budget
        """The budget to which connections charge what they store."""
        self._loop = loop
        self._timers = timers
        self._max_connections = max_connections
        self._connect_timeout_ns = connect_timeout_ns or DEFAULT_CONNECT_TIMEOUT_NS
        self._max_idle_ns = (
            int(idle_timeout_ns * IDLE_TIMEOUT_SHARE) if idle_timeout_ns else DEFAULT_MAX_IDLE_NS
        )
        self.endpoints: dict[EndpointId, UpstreamEndpoint] = {}
        self._connections: set[EndpointConnection] = set()  # open or being opened
        self.connections_opened = 0
        """Number of connections started since the process began."""
        self.single_use_endpoints = 0
        """Number of endpoints, at the last sweep, whose connections are not reused."""

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections)

    # ---- Endpoints ---------------------------------------------------------------------------------

    def apply_endpoint_list(self, is_snapshot: bool, endpoints: Iterable[ListedEndpoint]) -> None:
        """Apply a snapshot or a delta; close idle connections to endpoints that are gone or changed."""
        listed_ids = set()
        for entry, address in endpoints:
            listed_ids.add(entry.endpoint_id)
            self._apply_entry(entry.endpoint_id, address, entry.started_ns, entry.state)
        if is_snapshot:
            for endpoint_id in [known_id for known_id in self.endpoints if known_id not in listed_ids]:
                self._apply_entry(endpoint_id, self.endpoints[endpoint_id].address, 0, EndpointState.GONE)

    def _apply_entry(
        self, endpoint_id: EndpointId, address: tuple[str, int], started_ns: int, state: EndpointState
    ) -> None:
        endpoint = self.endpoints.setdefault(endpoint_id, UpstreamEndpoint())
        endpoint.apply_entry(address, started_ns, state)
        if state is EndpointState.GONE:
            del self.endpoints[endpoint_id]

    # ---- Attempts ----------------------------------------------------------------------------------

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on the most recently idle usable connection, or open a new one for it."""
        endpoint = self.endpoints.get(attempt.endpoint_id)
        if endpoint is None or not endpoint.is_ready:
            attempt.end(Outcome.CONNECT_FAILED)
            return
        idle = endpoint.take_idle(now_ns())
        if idle is not None:
            idle.send(attempt)
        elif len(self._connections) < self._max_connections or self._evict_idle():
            self._open_connection(endpoint, attempt)
        else:
            log.warning("connection limit reached: %d are open and none is idle", len(self._connections))
            attempt.end(Outcome.CONNECT_FAILED)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt: close its connection without sending the rest of the request."""
        self._end_attempt(attempt, Outcome.CANCELLED)

    def expire_attempt(self, attempt: Attempt) -> None:
        """End an attempt at its deadline: TIMEOUT if its request was written, otherwise CONNECT_FAILED.

        A request that was not written cannot have been processed.
        """
        is_written = attempt.connection is not None and attempt.connection.is_request_written()
        self._end_attempt(attempt, Outcome.TIMEOUT if is_written else Outcome.CONNECT_FAILED)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            attempt.connection.end_attempt(outcome)
        else:
            attempt.end(outcome)

    # ---- Connections -------------------------------------------------------------------------------

    def _open_connection(self, endpoint: UpstreamEndpoint, attempt: Attempt) -> None:
        connection = attempt.connection = EndpointConnection(self, endpoint, attempt)
        self._connections.add(connection)
        self.connections_opened += 1
        connection.task = self._loop.create_task(self._connect(connection))
        connection.connect_timer = self._timers.call_after(
            self._connect_timeout_ns, self._expire_connect, connection
        )

    async def _connect(self, connection: EndpointConnection) -> None:
        """Open a connection; a failure that may last for a moment only does not end its attempt at once.

        Nothing has been sent by then, so that another connect is not a retry of the request.
        """
        error = await self._try_connect(connection)
        for pause_s in CONNECT_PAUSES_S:
            if error is None or error.errno in LASTING_CONNECT_ERRORS:
                break
            await asyncio.sleep(pause_s)  # cancelled at the time limit of the connect
            error = await self._try_connect(connection)
        if error is not None:
            connection.task = None
            connection.end_attempt(Outcome.CONNECT_FAILED)

    async def _try_connect(self, connection: EndpointConnection) -> OSError | None:
        try:
            await self._loop.create_connection(lambda: connection, *connection.endpoint.address)
        except OSError as error:
            return error
        return None

    def _expire_connect(self, connection: EndpointConnection) -> None:
        if not connection.was_established():
            connection.end_attempt(Outcome.CONNECT_FAILED)

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection whose response is complete: keep it as idle, or close it."""
        if connection.endpoint.accepts(connection):
            connection.mark_idle(now_ns())
            connection.endpoint.add_idle(connection)
        else:
            connection.close()

    def remove_connection(self, connection: EndpointConnection) -> None:
        """Remove a closed connection."""
        self._timers.cancel(connection.connect_timer)
        self._connections.discard(connection)
        connection.endpoint.remove_idle(connection)

    def _evict_idle(self) -> bool:
        """Close the longest idle connection of all endpoints and return whether there was one."""
        candidates = [endpoint for endpoint in self.endpoints.values() if endpoint.idle]
        if not candidates:
            return False
        longest_idle = min(candidates, key=lambda endpoint: endpoint.idle[0].idle_since_ns)
        connection = longest_idle.idle.pop(0)
        self._connections.discard(connection)  # frees its slot before the transport is closed
        connection.close()
        return True

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to an endpoint."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.close_idle()

    def sweep(self, now: int) -> None:
        """Close connections that have been idle too long, well before the endpoints close them."""
        self.single_use_endpoints = 0
        for endpoint in self.endpoints.values():
            endpoint.close_expired(now, self._max_idle_ns)
            self.single_use_endpoints += endpoint.is_single_use(now)

    def close(self) -> None:
        """Close all connections immediately, when the process exits."""
        for connection in list(self._connections):
            connection.abort()
