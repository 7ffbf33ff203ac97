"""The open requests of one connection: responses are sent in the order of the requests (RFC 9112, 9.3.2).

Responses to invalid requests are paced to limit the cost of a client that sends an invalid request as soon as
it receives each error.  One error per sweep interval is sent at once, and the next waits for the sweep.
Reading continues, as a valid request may follow on the same connection; it pauses until the sweep only if a
pipelined invalid request overfills the queue.

No request is handled while `MAX_QUEUED` requests wait for their responses.  This bounds the memory that a
client can take by pipelining requests behind one whose response takes long.
"""

from __future__ import annotations

from collections import deque

from .exchange import Exchange

__all__ = ["MAX_PIPELINED", "MAX_QUEUED", "ResponseQueue"]

MAX_PIPELINED = 8
"""Requests of one connection that are served concurrently; more are rejected, and reading pauses."""
MAX_QUEUED = 128
"""Maximum number of requests of one connection that wait for their responses, rejected ones included."""
EXCHANGE_BYTES = 256
"""Size of an exchange besides its response, bytes."""


class ResponseQueue(deque[Exchange]):
    """The exchanges of one connection whose responses are not written yet, in the order of their requests."""

    __slots__ = ("_error_sent", "is_flooded", "response_bytes")

    def __init__(self) -> None:
        super().__init__()
        self.response_bytes = 0
        """Size of the responses in the queue."""
        self._error_sent = False  # whether an invalid request has got its response since the last sweep
        self.is_flooded = False
        """Whether an invalid request has overfilled the queue since the last sweep."""

    def pop_ready(self) -> Exchange | None:
        """Remove and return the first exchange if its response can be written now, else None."""
        if not self or self[0].response is None or self[0].is_deferred:
            return None
        exchange = self.popleft()
        assert exchange.response is not None
        self.response_bytes -= exchange.response.size_bytes
        return exchange

    def blocking_exchanges(self) -> list[Exchange]:
        """Return the exchanges without a response that are followed by one with a response."""
        exchanges = list(self)
        while exchanges and exchanges[-1].response is None:
            exchanges.pop()
        return [exchange for exchange in exchanges if exchange.response is None]

    def discard_all(self) -> None:
        """Remove all exchanges."""
        self.clear()
        self.response_bytes = 0

    @property
    def stored_bytes(self) -> int:
        """Size in memory of the responses, and of the exchanges unless there are only a few."""
        return self.response_bytes + (len(self) * EXCHANGE_BYTES if len(self) > MAX_PIPELINED else 0)

    @property
    def is_full(self) -> bool:
        """Whether reading must pause until a response has been written."""
        return len(self) >= MAX_PIPELINED

    @property
    def is_overfull(self) -> bool:
        """Whether more requests are open than are served concurrently."""
        return len(self) > MAX_PIPELINED

    @property
    def is_at_capacity(self) -> bool:
        """Whether no further request may be handled until a response has been written."""
        return len(self) >= MAX_QUEUED

    def defer_error(self, exchange: Exchange) -> bool:
        """Pace the response to an invalid request; true if all deferred errors must be released now."""
        exchange.is_deferred = self._error_sent
        self._error_sent = True
        if self.is_overfull:
            self.is_flooded = True
        return self.is_overfull

    def release_errors(self) -> None:
        """Allow the deferred errors to be written."""
        for exchange in self:
            exchange.is_deferred = False

    def start_error_interval(self) -> None:
        """Start a sweep interval, in which one error may again be sent at once."""
        self._error_sent = self.is_flooded = False
