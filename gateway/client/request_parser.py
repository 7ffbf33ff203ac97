"""Parses the requests of one connection and enforces the size limits on heads and bodies.

The httptools callbacks must not raise: httptools would raise HttpParserCallbackError instead, which counts as
malformed input.  Errors are therefore stored in `error` and read after `feed`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from ..body_buffer import BodyBuffer
from ..body_framing import (
    CHUNKED_LENGTH,
    FRAMING_HEADERS,
    BodyLengthError,
    FramingError,
    parse_body_length,
)
from ..framing import HEADER_OBJECT_BYTES, MAX_HEAD_BYTES, FramingLimit, split_read
from ..messages import MAX_BODY_BYTES, Header, field_value
from .errors import InvalidRequestError

__all__ = ["ParsedRequest", "ParserHandler", "RequestParser"]

MAX_HEADERS = 100
"""Maximum number of request headers."""
EXPECT = b"expect"
CHECKED_HEADERS = FRAMING_HEADERS | {EXPECT}
"""Headers that determine how the rest of a request is received, in lower case."""

PARSED_REQUEST_BYTES = 400
"""Size of a parsed request besides its headers, target and body, bytes."""


class ParsedRequest(NamedTuple):
    """A complete request as received."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    keep_alive: bool
    """Whether the client may send another request on the same connection (RFC 9112, 9.3)."""

    @property
    def stored_bytes(self) -> int:
        """Size in memory, approximately."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return (
            PARSED_REQUEST_BYTES
            + len(self.headers) * HEADER_OBJECT_BYTES
            + header_bytes
            + len(self.target)
            + len(self.body)
        )


class ParserHandler(Protocol):
    """Receives the events of a request parser."""

    def on_request(self, request: ParsedRequest) -> None:
        """Handle a complete request."""

    def on_expect_continue(self) -> None:
        """Send 100 Continue, for which the client waits before it sends its body (RFC 9110, 10.1.1)."""


class BodyCallbacks:
    """Callbacks of an httptools parser that gets the body of a request after a head that is none of it."""

    def __init__(
        self,
        on_body: Callable[[bytes], None],
        on_trailer: Callable[[bytes, bytes], None],
        on_message_complete: Callable[[], None],
    ) -> None:
        self.on_body = on_body
        self.on_message_complete = on_message_complete
        self._on_trailer = on_trailer
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Report a trailer, and ignore the headers before the body."""
        if not self._in_head:
            self._on_trailer(name, value)

    def on_headers_complete(self) -> None:
        """Record that the body follows."""
        self._in_head = False


class RequestParser:
    """Parses the byte stream of one connection into requests."""

    def __init__(self, handler: ParserHandler) -> None:
        self.error: InvalidRequestError | None = None
        """The first framing or limit violation; the handler receives no request after it."""
        self.in_message = False
        """Whether a request is partly received."""
        self._has_ended = False  # after a request that offers an upgrade, as another protocol may follow
        self._handler = handler
        self._framing = FramingLimit()
        self._body = BodyBuffer()
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._framing.restart()
        self._target = b""
        self._headers: list[Header] = []
        self._body.clear()
        self._method = b""
        self._body_length = 0  # may be `CHUNKED_LENGTH`
        self._offers_upgrade = False
        self._head_bytes = 0
        self._in_head = False
        self.in_message = False

    @property
    def stored_bytes(self) -> int:
        """Size in memory of the partly received request, approximately and rather too high."""
        framing_bytes = self._framing.size_bytes  # includes a field that is incomplete
        if self._in_head:
            framing_bytes = max(0, framing_bytes - self._head_bytes)
        return (
            PARSED_REQUEST_BYTES
            + len(self._headers) * HEADER_OBJECT_BYTES
            + self._head_bytes
            + framing_bytes
            + self._body.stored_bytes
        )

    @property
    def expected_body_bytes(self) -> int:
        """Number of bytes that are still expected of a body whose length is known; 0 outside of a body."""
        return max(0, self._body_length - self._body.size_bytes)

    @property
    def has_stopped(self) -> bool:
        """Whether the parser accepts no more data, after an error or a request that offers an upgrade."""
        return self._has_ended or self.error is not None

    def feed(self, data: bytes) -> None:
        """Parse received data and call the handler for each request that it completes."""
        for piece in (data,) if len(data) <= self.expected_body_bytes else split_read(data):
            self._framing.add(len(piece))
            self._parse(piece)
            if self._framing.is_exceeded:
                self._record_error(431, "a head or trailer too long")
            if self.has_stopped:
                return

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            [head_bytes] = upgrade.args
            self._decline_upgrade(data[head_bytes:])
        except httptools.HttpParserError as error:
            self._record_error(400, f"malformed: {error}")

    def _decline_upgrade(self, data: bytes) -> None:
        """Continue with the `data` after the head of a request that offers an upgrade.

        httptools ends such a request with its head and leaves the rest to its caller.  As the gateway does
        not upgrade, the body follows as in any other request (RFC 9110, 7.8), and another parser reads it.
        """
        if not self.in_message:  # the request has no body, or is invalid
            self._has_ended = True
            return
        is_chunked = self._body_length == CHUNKED_LENGTH
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % self._body_length
        callbacks = BodyCallbacks(self.on_body, self.on_header, self._complete)
        self._parser = httptools.HttpRequestParser(callbacks)
        self._parse(b"POST / HTTP/1.1\r\nConnection: close\r\n%b\r\n\r\n%b" % (framing, data))

    def stop(self) -> None:
        """Discard the partly received request, which still counts as such; nothing more is parsed."""
        in_message = self.in_message
        self._reset()
        self.in_message = in_message
        self._parser = httptools.HttpRequestParser(self)  # the old one may store a part of a field

    def release(self) -> None:
        """Break the reference cycle with the httptools parser, so that no garbage collection is needed."""
        del self._parser, self._handler

    def _record_error(self, status: int, reason: str) -> None:
        if self.error is None:
            self.error = InvalidRequestError(status, reason)

    def _check_head_limits(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > MAX_HEAD_BYTES or len(self._headers) >= MAX_HEADERS:
            self._record_error(431, "a head too long")

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._in_head = self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._check_head_limits(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header.  Trailers are counted but dropped: one could set another id or length."""
        self._check_head_limits(len(name) + len(value or b"") + 4)
        if self.error is None and self._in_head:
            self._headers.append((name, field_value(value)))

    def on_headers_complete(self) -> None:
        """Check that the framing of a complete head is unambiguous (RFC 9112, 6.3)."""
        self._in_head = False
        if self.error is not None:
            return
        self._method = self._parser.get_method()
        self._offers_upgrade = self._parser.should_upgrade()
        fields = [header for header in self._headers if header[0].lower() in CHECKED_HEADERS]
        if fields:
            self._check_fields(fields)

    def _check_fields(self, fields: list[Header]) -> None:
        """Check the `CHECKED_HEADERS` of a head, and send 100 Continue if the client waits for it."""
        try:
            self._body_length = parse_body_length(fields, MAX_BODY_BYTES) or 0
        except BodyLengthError as error:
            self._record_error(413, str(error))
        except FramingError as error:
            self._record_error(400, str(error))
        else:
            if any(name.lower() == EXPECT and value.lower() == b"100-continue" for name, value in fields):
                self._handler.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._framing.restart()
        if self.error is not None:
            return
        if self._body.size_bytes + len(body) > MAX_BODY_BYTES:
            self._record_error(413, "a body too long")
            self._body.clear()
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the request, unless httptools has skipped its body (see `_decline_upgrade`)."""
        if not (self._offers_upgrade and self._body_length):
            self._complete()

    def _complete(self) -> None:
        """Pass the complete request to the handler."""
        self.in_message = False
        if self.error is not None:
            return
        self._handler.on_request(
            ParsedRequest(
                self._method,
                self._target,
                self._headers,
                self._body.content(),
                not self._offers_upgrade and self._parser.should_keep_alive(),
            )
        )
        self._reset()
