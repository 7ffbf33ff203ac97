"""One client connection: reads requests, writes responses in order, and enforces the timeouts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

from balancer import MS

from ..limited_read import LimitedReadProtocol
from ..memory_budget import Charge, Priority
from ..sockets import poll_socket, reset_on_close, unread_age_ms
from ..telemetry import CloseReason, CounterName, GatewayReason
from ..timers import now_ns
from .connection_state import ConnectionEvent, ConnectionLifecycle, ConnectionState
from .errors import InvalidRequestError
from .exchange import Exchange
from .read_control import ReadControl
from .request_parser import ParsedRequest
from .request_reader import RequestReader
from .response_queue import ResponseQueue
from .timeouts import FIRST_REQUEST_TIMEOUT_NS, IDLE_TIMEOUT_NS, LINGER_TIMEOUT_NS, SLOW_CLIENT_TIMEOUT_NS
from .turn_queue import REQUESTS_PER_TURN
from .unwritten_responses import UnwrittenResponses

if TYPE_CHECKING:
    from .server import ClientServer

__all__ = ["ClientConnection"]

log = logging.getLogger("gateway.client.connection")

CONNECTION_BYTES = 5_000
"""Size in memory of a connection that stores nothing for its client, bytes."""


class ClientConnection(LimitedReadProtocol):
    """Protocol of one client connection.

    `ConnectionLifecycle` holds the connection state.  Independent of it are the open requests
    (`ResponseQueue`), whether reading is paused (`ReadControl`) and whether the client reads its responses.
    Received requests are handled in turns (`TurnQueue`): until the last one has been handled, nothing more is
    read, so that the bytes of one read are the most that a connection holds.  What the connection stores for
    its client is charged to the memory budget, except for open requests, which `RequestTable` charges.
    """

    def __init__(self, server: ClientServer, has_waited: bool = False) -> None:
        """`has_waited`: the connection may have waited to be accepted, and its first data with it."""
        super().__init__()
        self.number = server.next_connection_number()
        """Connection number used in the log."""
        self.waiting_since_ns = now_ns()
        """Start of the current wait, ns: for a request, for the client to read its responses or to close."""
        self.has_sent_valid_request = False
        """Whether at least one request has passed all checks."""
        self.is_over_limit = False
        """Whether no connection slot was free: the request is rejected and the connection closes."""
        self.queue = ResponseQueue()
        """The open requests."""
        self.reading = ReadControl()
        self._server = server
        self._lifecycle = ConnectionLifecycle()
        self._reader = RequestReader(self)
        self._parser = self._reader.parser
        self._earliest_arrival_ns = 0  # earliest time at which the last read may have arrived
        self._unwritten = UnwrittenResponses()
        self._charge = Charge(server.dispatcher.memory_budget, self._reclaim)
        self._close_reason = CloseReason.BY_CLIENT
        self._has_waited = has_waited
        self._has_discarded_data = False

    # Event loop callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register an accepted connection."""
        self._transport = cast(asyncio.Transport, transport)  # not a subclass in uvloop
        # With a high-water mark of 0, unwritten responses are reported by pause_writing and resume_writing.
        self._transport.set_write_buffer_limits(high=0)
        self._charge.set(CONNECTION_BYTES)
        now = now_ns()
        earliest_connect_ns = self._server.loop_monitor.earliest_connect(now)
        # Must precede on_connected, which may close the connection at once when no slot is free.
        self.reading.attach(self._transport, earliest_connect_ns, now)
        self._server.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio
        """Release the state of a lost connection; its client can receive no more responses."""
        self._lifecycle.handle(ConnectionEvent.LOST)
        # Must come first: the code below may trigger responses on other connections, and these depend on the
        # number of open connections.
        self._server.connections.remove(self)
        self._server.dispatcher.telemetry.count_closed_connection(
            self.number, self._close_reason, self._parser.in_message
        )
        self._parser.release()
        self._reader.discard()
        self._server.turns.discard(self)
        for exchange in self.queue:
            self._abandon(exchange)
        self.queue.discard_all()
        self._charge.close()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if not self._lifecycle.is_open:
            self._has_discarded_data = True
            self.reading.pause(now_ns())  # discarding unlimited data would take time from other clients
            return
        self._server.connections.mark_active(self)
        now = now_ns()
        assert self._transport is not None
        transport_socket = self._transport.get_extra_info("socket")
        self._server.dispatcher.telemetry.record_read_age(transport_socket)
        age_ns = unread_age_ms(transport_socket) * MS if self._has_waited else 0
        self._has_waited = False
        self._earliest_arrival_ns = min(
            self.reading.earliest_arrival(len(data), now, age_ns),
            self._server.loop_monitor.earliest_arrival(now),
        )
        if not self._parser.in_message and self.has_sent_valid_request:
            self.waiting_since_ns = now  # not for the first request, whose timeout runs from the connect
        self._reader.add(data)
        self.handle_received()
        if self.has_unhandled:
            self._server.dispatcher.telemetry.count(CounterName.DEFERRED)

    def may_read(self) -> bool:
        """Whether reading may continue after a full read, once the other connections had their turn."""
        if self.reading.is_paused:
            return False
        self.reading.check_for_unread()
        return True

    def eof_received(self) -> bool:
        """Handle EOF from the client, which may still read: open requests get their responses.

        Returning False makes the event loop close the connection.
        """
        # Must precede the report to the dispatcher: responses triggered by it then close the connection.
        self._lifecycle.handle(ConnectionEvent.CLIENT_ENDED)
        self._report_half_close()
        return bool(self.queue)

    def pause_writing(self) -> None:
        """Stop reading from a client that has not read its responses yet.

        The event loop may call this from inside `write`, during a flush, so nothing is flushed here.
        """
        now = now_ns()
        self._unwritten.begin(now)
        self.reading.pause(now)

    def resume_writing(self) -> None:
        """Continue once the client reads its responses again."""
        self._unwritten.end()  # before the flush, which resumes reading only after that
        self.flush()

    # Parser callbacks.

    def on_request(self, request: ParsedRequest) -> None:
        """Store a complete request; it is handled in the connection's turn."""
        self._reader.append(request)

    def on_expect_continue(self) -> None:
        """Send 100 Continue, unless earlier requests are open: it would be taken for their response."""
        if self._transport is not None and not self.queue and not self._reader.has_requests:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Interface for exchanges and the server.

    @property
    def has_unhandled(self) -> bool:
        """Whether some of the received bytes have not been handled yet."""
        return not self._reader.is_empty

    def handle_received(self) -> None:
        """Handle received requests, at most `REQUESTS_PER_TURN`; the others wait for a later turn."""
        for _ in range(REQUESTS_PER_TURN):
            request = self._reader.take_request() if self._may_handle() else None
            if request is None:
                break
            self._handle_request(request)
        error = self._parser.error
        # Errors come after the requests that were received before them.
        if error is not None and self._lifecycle.is_open and not self._reader.has_requests:
            self._respond_closing_error(error)
        if not self._lifecycle.is_open:
            self._reader.discard()
        # Must come last: requests answered immediately have already left the queue.
        if self.has_unhandled or self.queue.is_full or self.queue.is_flooded:
            self.reading.pause(now_ns())
        self._resume_reading()
        self._update_charge()

    def answer_received(self) -> None:
        """Handle all received requests now, as the process is about to end."""
        while self.has_unhandled and self._may_handle() and not self.is_closing:
            self.handle_received()
            self.release_errors()

    def is_between_requests(self) -> bool:
        """Whether no request is open, partly received or waiting for its turn."""
        return not self.queue and not self._parser.in_message and not self.has_unhandled

    def is_stalled(self, now: int) -> bool:
        """Whether the first request is partly received and its timeout has passed."""
        return (
            self._parser.in_message
            and not self.has_sent_valid_request
            and self._lifecycle.is_open
            and now - self.waiting_since_ns > FIRST_REQUEST_TIMEOUT_NS
            and not self.is_closing
        )

    @property
    def is_closing(self) -> bool:
        """Whether the connection is about to be lost, as either side has closed it."""
        return self._transport is None or self._transport.is_closing()

    def unwritten_buffer_bytes(self) -> int:
        """Return the size of the responses, or parts of them, that the system has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def client_has_ended(self) -> bool:
        """Whether the client has sent EOF or disconnected, including an EOF behind unread bytes."""
        return self._lifecycle.client_has_ended or poll_socket(self._transport).ended

    def release_request_id(self, exchange: Exchange) -> None:
        """Allow the X-Request-ID of an answered request to be used again, unless its client may have left."""
        request_ids, request = self._server.request_ids, exchange.request
        may_have_left = self._lifecycle.may_have_left or (self.reading.is_paused and self.client_has_ended())
        if may_have_left and request is not None and request.may_have_run:
            request_ids.retain(exchange.client_request_id, now_ns())
        else:
            request_ids.release(exchange.client_request_id)

    def defer_error(self, exchange: Exchange) -> None:
        """Pace the response to an invalid request, before it is set; see `ResponseQueue`."""
        if self.queue.defer_error(exchange):
            self.release_errors()

    def release_errors(self) -> None:
        """Write the deferred errors: at a sweep, after a valid request, or when the queue is overfull."""
        self.queue.release_errors()
        self.flush()

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests."""
        transport = self._transport
        while (exchange := self.queue.pop_ready()) is not None:
            assert exchange.response is not None
            if transport is None or transport.is_closing():
                continue
            is_last = exchange.closes_connection or self._should_close_now()
            data = exchange.response.serialize(is_last)
            transport.write(data)
            if self._unwritten.blocked_since_ns:
                self._unwritten.size_bytes += len(data)
            self.waiting_since_ns = now_ns()
            if is_last:
                self._close_write_side()
        if transport is None or transport.is_closing():
            return
        if self._lifecycle.client_has_ended and not self.queue:
            self.close(CloseReason.HALF_CLOSED)
            return
        if self.is_between_requests():
            self._server.connections.mark_idle(self)
        # Must come last: reading resumes only if the responses just written have freed a slot in the queue.
        self._resume_reading()
        self._update_charge()

    def sweep(self, now: int) -> None:
        """Release deferred errors, detect closed clients and enforce the timeouts; called periodically."""
        if self._transport is None:
            return
        # Must precede the flush, which resumes reading only after a flood of invalid requests is over.
        self.queue.start_error_interval()
        self.release_errors()
        if self.reading.is_paused and self.queue and self.client_has_ended():
            self._report_half_close()  # the event loop does not report EOF while reading is paused
        self._enforce_timeouts(now)

    def close(self, reason: CloseReason) -> None:
        """Close the connection without a further response, once the buffered data is written."""
        if self._transport is not None:
            self._close_reason = reason
            # Tells the client that what it sent last was not processed.  By then it had time to read the
            # response, which a reset may destroy.
            if self._has_discarded_data and reason is CloseReason.AFTER_RESPONSE:
                reset_on_close(self._transport)
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately; buffered responses are discarded."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close the connection if no request is open, received or unread; return whether it is closed."""
        if not self.is_between_requests() or self._has_unread_input():
            return False
        self.close(reason)
        return True

    # Internal helpers.

    def _should_close_now(self) -> bool:
        """Whether the response that is about to be written closes the connection.

        It does not if another request has arrived, as that would get no response.
        """
        return (
            self.is_between_requests()
            and self._server.closes_after_response(self)
            and not self._has_unread_input()
        )

    def _has_unread_input(self) -> bool:
        """Whether a request, or a part of one, may have arrived that has not been read yet."""
        return self._lifecycle.is_open and poll_socket(self._transport).readable

    def _abandon(self, exchange: Exchange) -> None:
        """Give up a request whose response cannot reach its client any more."""
        self.release_request_id(exchange)
        if exchange.response is None and exchange.request is not None:
            self._server.dispatcher.on_client_gone(exchange.request)

    def _enforce_timeouts(self, now: int) -> None:
        assert self._transport is not None
        waited_ns = now - self.waiting_since_ns
        self._unwritten.check_progress(self.unwritten_buffer_bytes(), now)
        if self._unwritten.is_stalled(now, SLOW_CLIENT_TIMEOUT_NS):
            self._close_reason = CloseReason.SLOW_READER
            self._transport.abort()
        elif self._lifecycle.gateway_has_ended:
            if waited_ns > LINGER_TIMEOUT_NS and not self._unwritten.is_blocked:
                self.close(CloseReason.AFTER_RESPONSE)
        elif self._is_awaiting_bytes() and waited_ns > SLOW_CLIENT_TIMEOUT_NS:
            self._respond_closing_error(InvalidRequestError(408, "the request was too slow"))
        elif waited_ns > IDLE_TIMEOUT_NS and not self._unwritten.is_blocked:
            self.close_if_idle(CloseReason.IDLE)

    def _is_awaiting_bytes(self) -> bool:
        """Whether the rest of a partly received request is expected from the client."""
        return self._parser.in_message and self._lifecycle.is_open and not self.has_unhandled

    def _may_handle(self) -> bool:
        """Whether a received request may be handled now: its response can be queued and written."""
        return self._lifecycle.is_open and not (self.queue.is_at_capacity or self._unwritten.is_blocked)

    def _handle_request(self, request: ParsedRequest) -> None:
        """Queue a request and pass it to the server."""
        if not request.keep_alive:
            self._lifecycle.handle(ConnectionEvent.LAST_REQUEST)
        exchange = Exchange(self, closes_connection=not request.keep_alive)
        self.queue.append(exchange)
        try:
            self._server.handle_request(exchange, request, self._earliest_arrival_ns)
        except Exception:  # must not prevent the response
            log.exception("a request could not be accepted due to an unexpected error")
            if exchange.response is None:
                exchange.send_failure()

    def _update_charge(self) -> None:
        """Charge what the connection stores now to the memory budget."""
        if self._transport is None or self._lifecycle.state is ConnectionState.CLOSED:
            return
        parser = self._parser
        queued_bytes = self.queue.stored_bytes
        size_bytes = CONNECTION_BYTES + self._unwritten.size_bytes + queued_bytes
        if self.has_unhandled:
            size_bytes += self._reader.waiting_bytes
        priority = None
        if parser.in_message and self._lifecycle.is_open:
            size_bytes += parser.stored_bytes
            priority = (
                Priority.INCOMPLETE_LATER_REQUEST
                if self.has_sent_valid_request
                else Priority.INCOMPLETE_REQUEST
            )
        elif queued_bytes:
            priority = Priority.PIPELINED_REQUESTS
        elif self._unwritten.size_bytes:
            priority = Priority.UNREAD_RESPONSE
        if size_bytes != self._charge.size_bytes or priority is not None:
            self._charge.set(size_bytes, priority)

    def _reclaim(self, priority: Priority) -> None:
        """Release stored data of this kind, unless the reason for it has gone."""
        if priority is Priority.UNREAD_RESPONSE:
            self._close_reason = CloseReason.MEMORY_EXHAUSTED
            self._unwritten.size_bytes = 0
            self.abort()
        elif priority is Priority.PIPELINED_REQUESTS:
            self._fail_open_requests()
        elif self._is_awaiting_bytes():
            self._respond_closing_error(InvalidRequestError(503, "no memory for the rest of the request"))
        else:  # complete requests before it must be handled first
            self._update_charge()
            return
        self._server.dispatcher.telemetry.count(CounterName.RECLAIMED, priority.name.lower())
        self._update_charge()

    def _fail_open_requests(self) -> None:
        """Fail the open requests that responses wait for, so that these can be written."""
        self.queue.release_errors()
        for exchange in self.queue.blocking_exchanges():
            if exchange.request is not None:
                self._server.dispatcher.fail_request(exchange.request, GatewayReason.MEMORY_EXHAUSTED)
        self.flush()

    def _resume_reading(self) -> None:
        """Continue with the received bytes or, if all have been handled, with reading."""
        if not self.reading.is_paused or not self._lifecycle.is_open:
            return
        if self.has_unhandled:
            if self._may_handle():
                self._server.turns.add(self)
        elif not (self.queue.is_flooded or self._unwritten.is_blocked or self.queue.is_full):
            self.reading.resume()

    def _report_half_close(self) -> None:
        for exchange in list(self.queue):  # a copy, as responses triggered by the report leave the queue
            if exchange.response is None and exchange.request is not None:
                self._server.dispatcher.on_client_half_closed(exchange.request)

    def _respond_closing_error(self, error: InvalidRequestError) -> None:
        """Queue an error response that closes the connection, as the rest of the request is not read."""
        self._lifecycle.handle(ConnectionEvent.LAST_REQUEST)
        self._parser.stop()
        exchange = Exchange(self, closes_connection=True)
        self.queue.append(exchange)
        exchange.respond(error.status, [], error.body)

    def _close_write_side(self) -> None:
        """Send EOF and linger: closing now might cause a reset, which would destroy the response."""
        self._lifecycle.handle(ConnectionEvent.GATEWAY_ENDED)
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
