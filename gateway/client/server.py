"""Manages all client connections: handles their requests and shuts down gracefully."""

from __future__ import annotations

from balancer import MS, Settings

from ..dispatcher import Dispatcher
from ..loop_monitor import LoopMonitor
from ..telemetry import CloseReason, CounterName, GatewayReason
from ..timers import now_ns
from .admission import ConnectionTable
from .connection import ClientConnection
from .errors import InvalidRequestError
from .exchange import Exchange
from .request_ids import RequestIds
from .request_parser import ParsedRequest
from .turn_queue import TurnQueue
from .validation import RequestValidator

__all__ = ["ClientServer"]

READINESS_PATH = b"/health/ready"
MAX_REJECT_TIME_NS = 150 * MS
"""Maximum time for rejections at the end of a shutdown, ns: SIGKILL follows 0.3 s later."""


class ClientServer:
    """All client connections of one gateway."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        tenant_slots: dict[bytes, int],
        max_connections: int,
        loop_monitor: LoopMonitor,
    ) -> None:
        """`tenant_slots` maps tenant names to slots; `max_connections` limits the open connections."""
        self.dispatcher = dispatcher
        self.loop_monitor = loop_monitor
        self.connections = ConnectionTable(max_connections)
        self.turns = TurnQueue()
        self.shutting_down = False
        """Whether the gateway reports itself as not ready because it is about to stop."""
        self.draining = False
        """Whether connections close as soon as they are idle."""
        self.ending = False
        """Whether all requests are rejected, as the process is about to end."""
        self._tenant_slots = tenant_slots
        self._validator = RequestValidator(settings, tenant_slots)
        self._last_connection_number = 0
        self.request_ids = RequestIds(dispatcher.memory_budget)

    def on_settings(self, settings: Settings) -> None:
        """Apply new settings, also to the balancer."""
        self._validator = RequestValidator(settings, self._tenant_slots)
        self.dispatcher.on_settings(settings)

    # Connections.

    def create_protocol(self, has_waited: bool = False) -> ClientConnection:
        """Create the protocol of a new connection; `has_waited`: it may have waited to be accepted."""
        return ClientConnection(self, has_waited)

    def next_connection_number(self) -> int:
        """Allocate a connection number for the log."""
        self._last_connection_number += 1
        return self._last_connection_number

    def on_connected(self, connection: ClientConnection) -> None:
        """Register an accepted connection."""
        self.dispatcher.telemetry.count(CounterName.ACCEPTED)
        self.connections.admit(connection)

    def closes_after_response(self, connection: ClientConnection) -> bool:
        """Whether the last response of a connection closes it.

        It always does without a connection slot.  Normally it does if over half the slots are taken:
        otherwise clients that send one request and stay connected would take all slots.  During a graceful
        shutdown it does on connections that have sent no valid request, and on all connections once the
        drain has begun.
        """
        if connection.is_over_limit:
            return True
        if self.shutting_down:
            return self.draining or not connection.has_sent_valid_request
        return self.connections.is_half_full

    @property
    def max_connections(self) -> int:
        """Maximum number of open connections."""
        return self.connections.max_connections

    @max_connections.setter
    def max_connections(self, value: int) -> None:
        self.connections.max_connections = value

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with an open or partly received request."""
        return sum(1 for connection in self.connections if not connection.is_between_requests())

    def sweep(self, now: int) -> None:
        """Run the periodic maintenance of all connections; `now` in ns."""
        for connection in list(self.connections):
            connection.sweep(now)
        self.request_ids.sweep(now)

    # Requests.

    @property
    def ready(self) -> bool:
        """Whether the gateway can serve requests."""
        return self.dispatcher.has_endpoints and not self.shutting_down

    def handle_request(self, exchange: Exchange, request: ParsedRequest, arrived_ns: int) -> None:
        """Handle a complete request that arrived at `arrived_ns` or later."""
        if request.method == b"GET" and request.target.split(b"?", 1)[0] == READINESS_PATH:
            self._respond_readiness(exchange)
            return
        try:
            client_request = self._validator.validate(request)
            self._check_id(client_request.client_request_id)
        except InvalidRequestError as error:
            self._respond_invalid(exchange, request, error, is_paced=True)
            return
        connection = exchange.connection
        connection.release_errors()
        if not client_request.timeout_ns:
            # Not paced: the client is entitled to an immediate response, however often it sends this.
            no_time_left = InvalidRequestError(400, "no time left")
            self._respond_invalid(exchange, request, no_time_left, is_paced=False)
            return
        reason = GatewayReason.SHUTDOWN if self.ending else _rejection_reason(connection)
        if reason is not None:
            self.dispatcher.telemetry.count(CounterName.REJECTED, reason.value)
            exchange.send_rejection(0)
            return
        connection.has_sent_valid_request = True
        exchange.client_request_id = client_request.client_request_id
        self.request_ids.add(client_request.client_request_id)
        exchange.request = self.dispatcher.accept_request(exchange, client_request, arrived_ns)

    def _respond_readiness(self, exchange: Exchange) -> None:
        if self.ready:
            exchange.respond(200, [], b"ready\n")
        else:
            exchange.respond(503, [], b"not ready\n")

    def _check_id(self, client_request_id: bytes) -> None:
        """Check that no request with this X-Request-ID is open or may have run, as it would run twice."""
        if self.request_ids.is_open(client_request_id):
            raise InvalidRequestError(400, "a request with this id is open", counter="id_in_use")
        if self.request_ids.is_retained(client_request_id):
            raise InvalidRequestError(400, "a request with this id may have run", counter="id_retained")

    def _respond_invalid(
        self, exchange: Exchange, request: ParsedRequest, error: InvalidRequestError, is_paced: bool
    ) -> None:
        client_request_id = next(
            (value for name, value in request.headers if name.lower() == b"x-request-id"), b""
        )
        self.dispatcher.telemetry.count_invalid_request(
            exchange.connection_number, client_request_id, error.counter
        )
        if is_paced:
            exchange.connection.defer_error(exchange)
        exchange.respond(error.status, [], error.body)

    # Shutdown.

    def begin_shutdown(self) -> None:
        """Become not ready at once, and close idle connections that have received no valid request.

        Idle connections that have sent nothing are closed only if they were open at the last sweep.  The
        other connections stay open until the drain.  Otherwise no gateway might serve while the clients
        look for another one, or while the gateway that was restarted before this one is not ready yet.  The
        cost is that clients of a slow gateway stay with it for a second longer, even if all other gateways
        are ready.
        """
        self.shutting_down = True
        self.connections.close_unvalidated(CloseReason.SHUTDOWN)

    def drain(self) -> None:
        """Close idle connections now, and the others with `Connection: close` on their last response."""
        self.draining = True
        self.connections.close_idle(CloseReason.SHUTDOWN)

    def reject_received(self) -> None:
        """Reject the requests that were received and wait for earlier ones, before the process ends."""
        self.ending = True
        ends_ns = now_ns() + MAX_REJECT_TIME_NS
        for connection in list(self.connections):
            connection.answer_received()
            if now_ns() > ends_ns:
                return


def _rejection_reason(connection: ClientConnection) -> GatewayReason | None:
    """Return why a valid request is rejected without being forwarded; None if it is accepted."""
    if connection.queue.is_overfull:  # well-behaved clients send one request at a time
        return GatewayReason.PIPELINE_FULL
    if connection.reading.client_ended_while_paused:  # the client may have disconnected long ago
        return GatewayReason.LATE_READ
    if connection.is_over_limit:
        return GatewayReason.NO_CONNECTION_SLOT
    return None
