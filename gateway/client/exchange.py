"""One request and its response on a client connection, and serialization of the response."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from balancer import SECOND

from ..dispatcher import Request
from ..messages import LOAD_REPORT_HEADER, UNFORWARDED_HEADERS, Header, Response

if TYPE_CHECKING:
    from .connection import ClientConnection

__all__ = ["Exchange"]

log = logging.getLogger("gateway.client.exchange")

DROPPED_RESPONSE_HEADERS = UNFORWARDED_HEADERS | {LOAD_REPORT_HEADER}
"""Endpoint response headers that are not forwarded to the client, in lower case."""
CLOSE_HEADER = b"Connection: close\r\n"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class SerializedResponse(NamedTuple):
    """A response whose last header, `Connection: close` or none, is added when it is written."""

    head: bytes
    """Status line and headers, without the empty line at the end."""
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Size of head and body, bytes."""
        return len(self.head) + len(self.body)

    def serialize(self, closes_connection: bool) -> bytes:
        """Return the bytes to write; `closes_connection`: whether the connection closes after them."""
        return b"%b%b\r\n%b" % (self.head, CLOSE_HEADER if closes_connection else b"", self.body)


class Exchange:
    """One request of a connection and its response; implements the dispatcher's `ClientExchange`."""

    __slots__ = ("client_request_id", "closes_connection", "connection", "is_deferred", "request", "response")

    def __init__(self, connection: ClientConnection, closes_connection: bool) -> None:
        """`closes_connection`: whether the connection must close after this response."""
        self.connection = connection
        self.closes_connection = closes_connection
        self.response: SerializedResponse | None = None
        """The response; None until it is set."""
        self.is_deferred = False
        """Whether the response, and with it all later ones, waits for `ResponseQueue.release_errors`."""
        self.request: Request | None = None
        """The dispatcher's request; None if the dispatcher did not accept it."""
        self.client_request_id = b""
        """The X-Request-ID, which counts as open until the response is set; empty if not accepted."""

    @property
    def connection_number(self) -> int:
        """Connection number used in the log."""
        return self.connection.number

    def client_has_ended(self) -> bool:
        """Whether the client has sent EOF or disconnected, even if that is unread; may cost a system call."""
        return self.connection.client_has_ended()

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Set the response; it is written once all earlier responses have been written.

        A second response to the same request is logged and dropped, as the client would take it for the
        response to its next request.
        """
        if self.response is not None:
            log.error("dropped a second response to one request")
            return
        self.connection.release_request_id(self)
        self.response = SerializedResponse(_serialize_head(status, headers, len(body)), body)
        self.connection.queue.response_bytes += self.response.size_bytes
        self.connection.flush()

    def send_response(self, response: Response) -> None:
        """Forward an endpoint's response with its body unchanged."""
        headers = [header for header in response.headers if header[0].lower() not in DROPPED_RESPONSE_HEADERS]
        self.respond(200, headers, response.body)

    def send_failure(self) -> None:
        """Send a failure: the request may or may not have been processed."""
        self.respond(502, [], b"failed\n")

    def send_rejection(self, retry_after_ns: int) -> None:
        """Send a rejection: the request was not processed.  `retry_after_ns` of 0 omits Retry-After."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / SECOND))] if retry_after_ns > 0 else []
        self.respond(503, headers, b"refused\n")


def _serialize_head(status: int, headers: list[Header], body_bytes: int) -> bytes:
    lines = [b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASON_PHRASES[status], body_bytes)]
    lines += [b"%b: %b\r\n" % header for header in headers]
    return b"".join(lines)
