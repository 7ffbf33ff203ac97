"""State machine of a client connection, modeled on the half-closed states of TCP.

Each direction closes once: the client's when its EOF is read, the gateway's by `write_eof` after its last
response.
"""

from __future__ import annotations

import logging
from enum import Enum

__all__ = ["ConnectionEvent", "ConnectionLifecycle", "ConnectionState"]

log = logging.getLogger("gateway.client.connection")


class ConnectionState(Enum):
    """State of a client connection."""

    OPEN = "open"
    """Requests are read."""
    LAST_REQUEST_READ = "last_request_read"
    """No more requests are read: the last one has arrived or message framing is lost.  Further data is
    discarded."""
    HALF_CLOSED = "half_closed"
    """The client has sent EOF and may still read: it gets the responses to its open requests."""
    LINGERING = "lingering"
    """The gateway has sent EOF and discards data until the client closes.  Closing with unread data would
    cause a reset, which destroys a response that the client has not read."""
    BOTH_ENDED = "both_ended"
    """Both sides have sent EOF."""
    CLOSED = "closed"
    """The connection is lost."""


class ConnectionEvent(Enum):
    """Event that may change the state of a client connection."""

    LAST_REQUEST = "last_request"
    CLIENT_ENDED = "client_ended"
    GATEWAY_ENDED = "gateway_ended"
    LOST = "lost"


_State, _Event = ConnectionState, ConnectionEvent

TRANSITIONS: dict[ConnectionState, dict[ConnectionEvent, ConnectionState]] = {
    _State.OPEN: {
        _Event.LAST_REQUEST: _State.LAST_REQUEST_READ,
        _Event.CLIENT_ENDED: _State.HALF_CLOSED,
        _Event.GATEWAY_ENDED: _State.LINGERING,
        _Event.LOST: _State.CLOSED,
    },
    _State.LAST_REQUEST_READ: {
        _Event.LAST_REQUEST: _State.LAST_REQUEST_READ,
        _Event.CLIENT_ENDED: _State.HALF_CLOSED,
        _Event.GATEWAY_ENDED: _State.LINGERING,
        _Event.LOST: _State.CLOSED,
    },
    _State.HALF_CLOSED: {
        _Event.LAST_REQUEST: _State.HALF_CLOSED,
        _Event.GATEWAY_ENDED: _State.BOTH_ENDED,
        _Event.LOST: _State.CLOSED,
    },
    _State.LINGERING: {
        _Event.LAST_REQUEST: _State.LINGERING,
        _Event.CLIENT_ENDED: _State.BOTH_ENDED,
        _Event.GATEWAY_ENDED: _State.LINGERING,
        _Event.LOST: _State.CLOSED,
    },
    _State.BOTH_ENDED: {
        _Event.LAST_REQUEST: _State.BOTH_ENDED,
        _Event.GATEWAY_ENDED: _State.BOTH_ENDED,
        _Event.LOST: _State.CLOSED,
    },
    _State.CLOSED: {
        _Event.LAST_REQUEST: _State.CLOSED,  # a request may still get a response, which is not written
    },
}
"""Next state for each state and event; an event that is missing is illegal in that state."""


class ConnectionLifecycle:
    """State of one connection.  Derived flags are stored as attributes because each request reads them."""

    __slots__ = ("client_has_ended", "gateway_has_ended", "is_open", "may_have_left", "state")

    def __init__(self) -> None:
        self.state = ConnectionState.OPEN
        self.is_open = True
        """Whether requests are read."""
        self.client_has_ended = False
        """Whether EOF from the client has been read."""
        self.gateway_has_ended = False
        """Whether the gateway has sent EOF."""
        self.may_have_left = False
        """Whether the client has sent EOF, or the connection is lost."""

    def handle(self, event: ConnectionEvent) -> None:
        """Apply an event; an illegal event is logged and leaves the state unchanged."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            log.error("illegal event %s in connection state %s", event.value, self.state.value)
            return
        self.state = next_state
        self.is_open = next_state is _State.OPEN
        self.client_has_ended = next_state in (_State.HALF_CLOSED, _State.BOTH_ENDED)
        self.may_have_left = self.client_has_ended or next_state is _State.CLOSED
        self.gateway_has_ended = next_state in (_State.LINGERING, _State.BOTH_ENDED)
