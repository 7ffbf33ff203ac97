"""State of a client's request inside the gateway, and the interface to its client."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from balancer import MS, IncomingRequest

from .messages import ClientRequest, Payload, Response
from .telemetry import Trace
from .timers import Timer
from .upstream import Attempt

__all__ = ["ClientExchange", "Request", "RequestState", "RequestStateError", "incoming_request"]

UNCHECKED_ATTEMPT_WINDOW_NS = 50 * MS
"""Time after a request's arrival, ns, within which attempts start without checking the client's socket.

A later attempt starts only if the client has not sent EOF: the operators allow the last attempt for a
client to start at most 0.1 s after its close.
"""


class ClientExchange(Protocol):
    """Interface to the client of one request.

    At most one of the `send` methods is called, at most once; none if the client disconnects first.
    """

    @property
    def connection_number(self) -> int:
        """Number of the client connection, for the log."""

    def client_has_ended(self) -> bool:
        """Whether the client has sent EOF or disconnected, even if that is unread; may cost a system call."""

    def send_response(self, response: Response) -> None:
        """Forward the response of an endpoint to the client."""

    def send_failure(self) -> None:
        """Respond that the request has failed; an endpoint may have processed it."""

    def send_rejection(self, retry_after_ns: int) -> None:
        """Respond that the request is rejected: it was not processed and is safe to send again."""


class RequestState(Enum):
    """State of a request; only the transitions below are allowed.

    OPEN -> HALF_CLOSED -> ENDED, or OPEN -> ENDED.
    """

    OPEN = "open"
    """The client waits for its final response."""
    HALF_CLOSED = "client_closing"
    """The client has sent EOF: it may have disconnected or may still wait for its response.

    No new attempt is started.  An attempt in flight is still sent if its connection is established within
    `UNCHECKED_ATTEMPT_WINDOW_NS` of the request's arrival.
    """
    ENDED = "ended"
    """The final response has been sent, or the client has disconnected."""


# Module constants, as the lookup of an Enum member is slower and every request needs these.
_OPEN = RequestState.OPEN
_HALF_CLOSED = RequestState.HALF_CLOSED
_ENDED = RequestState.ENDED


class RequestStateError(RuntimeError):
    """Raised for a transition that is not allowed in the state of a request."""


class Request:
    """A client's request, from arrival until its final response is sent and all its attempts have ended."""

    __slots__ = (
        "_exchange",
        "attempts_started",
        "client_check_from_ns",
        "deadline_ns",
        "has_reached_endpoint",
        "in_flight",
        "is_ended",
        "payload",
        "request_id",
        "state",
        "timer",
        "trace",
    )

    def __init__(
        self,
        request_id: int,
        exchange: ClientExchange,
        payload: Payload,
        arrived_ns: int,
        deadline_ns: int,
        trace: Trace,
    ) -> None:
        """Open a request; `arrived_ns` and `deadline_ns` are times of the monotonic clock."""
        self.request_id = request_id
        # None once ended: attempts in flight refer to a request and must not retain the connection.
        self._exchange: ClientExchange | None = exchange
        self.payload = payload
        self.client_check_from_ns = arrived_ns + UNCHECKED_ATTEMPT_WINDOW_NS
        self.deadline_ns = deadline_ns
        self.timer: Timer | None = None
        """The timer for the failure shortly before the deadline."""
        self.trace = trace
        self.state = _OPEN
        self.is_ended = False
        """Whether the state is ENDED; an attribute, as it is faster to read than the state."""
        self.attempts_started = 0
        self.has_reached_endpoint = False
        """Whether an attempt has ended after which an endpoint may have processed the request."""
        self.in_flight: dict[int, Attempt] = {}

    @property
    def is_half_closed(self) -> bool:
        """Whether the client has sent EOF while the final response is still to be sent."""
        return self.state is _HALF_CLOSED

    def client_has_ended(self) -> bool:
        """Whether the client has sent EOF or disconnected, even if that is unread; may cost a system call."""
        return self._exchange is None or self._exchange.client_has_ended()

    def mark_half_closed(self) -> None:
        """Record that the client has sent EOF; raises RequestStateError for a request that has ended."""
        if self.is_ended:
            raise RequestStateError(f"request {self.request_id} has ended")
        self.state = RequestState.HALF_CLOSED

    def end(self) -> ClientExchange:
        """End the request and return its exchange, on which the caller may send the final response.

        Raises RequestStateError for a request that has already ended, so that no second response can be sent.
        """
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            raise RequestStateError(f"request {self.request_id} has ended already")
        self.state = _ENDED
        self.is_ended = True
        return exchange

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have processed the request, or may yet."""
        return self.has_reached_endpoint or any(
            attempt.connection is not None and attempt.connection.is_request_written()
            for attempt in self.in_flight.values()
        )

    def has_attempt_on_open_connection(self) -> bool:
        """Whether an attempt in flight has an established connection, so that its sending has begun."""
        return any(
            attempt.connection is not None and attempt.connection.was_established()
            for attempt in self.in_flight.values()
        )


def incoming_request(request_id: int, client_request: ClientRequest, timeout_ns: int) -> IncomingRequest:
    """Return a client's request in the form that the balancer takes."""
    return IncomingRequest(
        request_id,
        client_request.class_index,
        client_request.tenant_index,
        client_request.routing_key,
        timeout_ns,
        client_request.cost_hint_ns,
        client_request.is_retry,
        client_request.is_write,
    )
