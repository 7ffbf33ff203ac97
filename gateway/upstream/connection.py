"""A connection to an endpoint.

If a connection is lost, the outcome of its attempt depends on whether the last byte of the request was
written to the socket.  Before that the endpoint cannot have processed the request, afterwards it may have.
"""

from __future__ import annotations

import asyncio
import logging
from enum import IntEnum, auto
from typing import TYPE_CHECKING, Protocol, cast

from balancer import Outcome

from ..limited_read import LimitedReadProtocol
from ..memory_budget import Charge, MemoryBudget, Priority
from ..sockets import has_unread_data, poll_socket, shut_down
from ..timers import Timer, now_ns
from .attempt import Attempt
from .response_outcome import classify_response, extract_load_report
from .response_parser import ResponseParser

if TYPE_CHECKING:
    from .endpoint import UpstreamEndpoint

__all__ = ["ConnectionPool", "ConnectionState", "EndpointConnection"]

log = logging.getLogger("gateway.upstream")


class ConnectionState(IntEnum):
    """State of a connection; integers, because they are the fastest keys for `_TRANSITIONS`."""

    CONNECTING = auto()
    SENDING = auto()
    """The request may not be completely written to the socket yet."""
    AWAITING_RESPONSE = auto()
    """The request is completely written to the socket, and the response is incomplete."""
    IDLE = auto()
    """Open, without a request in flight."""
    CLOSED = auto()
    """No longer used; the transport may not be closed yet."""


CONNECTING, SENDING, AWAITING_RESPONSE, IDLE, CLOSED = ConnectionState
"""Module-level aliases: an attribute lookup on the enum class takes several times as long."""
_TRANSITIONS: dict[ConnectionState, tuple[ConnectionState, ...]] = {
    CONNECTING: (SENDING, CLOSED),
    SENDING: (AWAITING_RESPONSE, CLOSED),
    AWAITING_RESPONSE: (IDLE, CLOSED),
    IDLE: (SENDING, CLOSED),
    # Both the pool and the transport may close a connection.
    CLOSED: (CLOSED,),
}
"""Allowed next states of each state."""


CONNECTION_BYTES = 5_000
"""Size in memory of a connection that stores nothing of a request or response, bytes."""


class ConnectionPool(Protocol):
    """The interface of the connection pool that a connection uses."""

    memory_budget: MemoryBudget
    """The budget to which connections charge what they store."""

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection whose response is complete; it becomes idle or is closed."""

    def remove_connection(self, connection: EndpointConnection) -> None:
        """Remove a closed connection from the pool."""


class EndpointConnection(LimitedReadProtocol):
    """A connection to an endpoint, with at most one attempt in flight.

    A partly received response or partly written request is charged to the memory budget.
    """

    __slots__ = (
        "_charge",
        "_pool",
        "_response",
        "attempt",
        "connect_timer",
        "endpoint",
        "idle_since_ns",
        "incarnation",
        "state",
        "task",
    )

    def __init__(self, pool: ConnectionPool, endpoint: UpstreamEndpoint, attempt: Attempt) -> None:
        """Create a connection that is about to be opened for `attempt`."""
        super().__init__()
        self._pool = pool
        self.endpoint = endpoint
        self.incarnation = endpoint.incarnation
        """The endpoint's incarnation when the connection was created."""
        self.state = CONNECTING
        self.attempt: Attempt | None = attempt
        self.task: asyncio.Task[None] | None = None
        """The task that opens the connection."""
        self.connect_timer: Timer | None = None
        """The timer for the time limit of the connect."""
        self.idle_since_ns = 0
        self._response = ResponseParser()
        self._charge = Charge(pool.memory_budget, self._reclaim)
        self._charge.set(CONNECTION_BYTES)

    def was_established(self) -> bool:
        """Whether the connection was established, even if it has closed since.

        Its first attempt is sent at that moment.
        """
        return self._transport is not None

    def is_request_written(self) -> bool:
        """Whether the request in flight is written to the socket up to its last byte."""
        return self.state is AWAITING_RESPONSE

    def has_unread_input(self) -> bool:
        """Whether the socket holds bytes or an end of stream that the event loop has not read yet.

        On an idle connection these belong to the previous response and must not be read as the next one.
        """
        return poll_socket(self._transport).readable

    def has_unread_data(self) -> bool:
        """Whether the socket holds bytes, and not only an end of stream, that were not read yet."""
        return has_unread_data(self._transport)

    def _transition_to(self, state: ConnectionState) -> None:
        """Change the state; a transition missing in `_TRANSITIONS` is a bug: it is logged and ignored."""
        if state in _TRANSITIONS[self.state]:
            self.state = state
        else:
            log.error(
                "connection to %s: illegal transition to %s from %s",
                self.endpoint.address,
                state.name,
                self.state.name,
            )

    # ---- Requests ----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt on the new connection, if it may still start and the endpoint is still usable."""
        self._transport = cast(asyncio.Transport, transport)  # not a subclass in uvloop
        # With a high-water mark of 0, resume_writing is called whenever a buffered write is complete.
        self._transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        if (
            attempt is None
            or attempt.is_ended
            or not self.endpoint.accepts(self)
            or now_ns() >= attempt.deadline_ns
        ):
            self.end_attempt(Outcome.CONNECT_FAILED)
        elif not attempt.may_start():
            self.end_attempt(Outcome.NOT_SENT)
        else:
            self._write(attempt)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on this idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        transport = self._transport
        assert transport is not None
        self._transition_to(SENDING)
        data = attempt.serialize(now_ns())
        transport.write(data)
        # The transport writes to the socket immediately; its buffer holds what the socket did not accept.
        if transport.is_closing():
            return
        if transport.get_write_buffer_size():
            self._charge.set(CONNECTION_BYTES + len(data), Priority.ENDPOINT_RESPONSE)
        else:
            self._transition_to(AWAITING_RESPONSE)

    def resume_writing(self) -> None:
        """Record that the request is completely written to the socket, as the write buffer is empty."""
        if self.state is SENDING:  # otherwise the attempt has already ended
            self._transition_to(AWAITING_RESPONSE)
            self._update_charge()

    # ---- Responses ---------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; if no request is in flight, close the connection."""
        if self.attempt is None:
            self._reject_unsolicited_data()
            return
        self._response.feed(data)
        self._process_response()

    def _reject_unsolicited_data(self) -> None:
        log.warning("unexpected data from %s without a request in flight", self.endpoint.address)
        if self.state is IDLE:
            self.endpoint.record_unsolicited_data(now_ns())
        self.close()

    def eof_received(self) -> None:
        """Handle the end of the stream, which completes a response without a length.

        The transport then closes and calls connection_lost.  After a reset this method is not called.
        """
        if self._response.feed_eof():
            self._process_response()

    def _process_response(self) -> None:
        """End the attempt if its response is complete or invalid."""
        attempt = self.attempt
        if attempt is None:
            return
        if not self._response.is_invalid and not self._response.is_complete:
            self._update_charge()
            return
        if self._response.has_excess_data:
            self.endpoint.record_unsolicited_data(now_ns())
        if self._response.is_invalid:
            log.warning("invalid response from %s: %s", self.endpoint.address, self._response.error)
            self.end_attempt(Outcome.INVALID_RESPONSE)
        else:
            self._complete(attempt)

    @property
    def stored_bytes(self) -> int:
        """Size in memory of what the connection has received of a response."""
        return self._response.stored_bytes

    def _update_charge(self) -> None:
        """Charge what has been received of a response to the memory budget."""
        stored_bytes = self.stored_bytes
        self._charge.set(
            CONNECTION_BYTES + stored_bytes, Priority.ENDPOINT_RESPONSE if stored_bytes else None
        )

    def _reclaim(self, _: Priority) -> None:
        """Give the attempt up, and release what is stored of its request or response."""
        log.warning("attempt at %s given up: the memory budget is exhausted", self.endpoint.address)
        self.end_attempt(self._outcome_of_connection_loss())

    def _complete(self, attempt: Attempt) -> None:
        response = self._response.response()
        outcome = classify_response(response)
        attempt.load_report = extract_load_report(response)
        self.attempt = None
        attempt.connection = None
        # Done before the attempt ends, so that on_ended can already reuse the connection or its slot.
        if self._is_reusable():
            self._pool.release(self)
        else:
            self.close()
        attempt.end(outcome, response if outcome is Outcome.OK else None)

    def _is_reusable(self) -> bool:
        """Whether the connection can carry another request after this response."""
        return self.is_request_written() and self._response.error is None and self._response.keeps_alive

    # ---- End of attempts and of the connection -----------------------------------------------------

    def mark_idle(self, now: int) -> None:
        """Mark the connection as idle from `now`, monotonic ns; what it received is released."""
        self._transition_to(IDLE)
        self._response.reset()
        if self._charge.size_bytes != CONNECTION_BYTES:
            self._charge.set(CONNECTION_BYTES)
        self.idle_since_ns = now

    def end_attempt(self, outcome: Outcome) -> None:
        """End the attempt and close the connection; unsent bytes of the request are discarded."""
        attempt, self.attempt = self.attempt, None
        # The transport closes its socket only in the next iteration of the event loop.  attempt.end() may
        # send a retry before that, and the connection of this attempt must be shut down by then.
        shut_down(self._transport)
        self.close()
        if attempt is not None:
            attempt.end(outcome)

    def close(self) -> None:
        """Close the connection; its attempt, if any, must have ended."""
        self._transition_to(CLOSED)
        self._response.reset()  # connection_lost may follow only in the next iteration of the event loop
        self._charge.close()
        self.abort()

    def abort(self) -> None:
        """Close immediately; connection_lost ends the attempt in flight according to the state."""
        if self._transport is not None:
            self._transport.abort()
            return
        self._pool.remove_connection(self)  # connection_lost is not called without a transport
        if self.task is not None:
            self.task.cancel()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio
        """End the attempt in flight, and remove the connection from the pool."""
        outcome = self._outcome_of_connection_loss()
        self._transition_to(CLOSED)
        # Done before the attempt ends: a retry may need the slot of this connection in the pool.
        self._pool.remove_connection(self)
        self.task = None
        self._response.release()
        self._charge.close()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end(outcome)

    def _outcome_of_connection_loss(self) -> Outcome:
        if not self.is_request_written():
            return Outcome.CONNECT_FAILED
        return Outcome.INVALID_RESPONSE if self._response.has_begun else Outcome.RESET
