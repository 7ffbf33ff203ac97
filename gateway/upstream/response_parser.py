"""Parses the responses of an endpoint, one at a time, and records protocol errors."""

from __future__ import annotations

import httptools

from ..body_buffer import BodyBuffer
from ..body_framing import FramingError, InterimBodyError, parse_body_length
from ..framing import HEADER_OBJECT_BYTES, MAX_HEAD_BYTES, PIECE_BYTES, FramingLimit, split_read
from ..messages import MAX_BODY_BYTES, Header, Response, field_value

__all__ = [
    "BodyTooLongError",
    "ExtraResponseError",
    "HeadTooLongError",
    "InvalidResponseError",
    "InvalidStatusError",
    "MalformedResponseError",
    "ResponseParser",
    "UnreadableBodyError",
    "UpgradeError",
]

FIRST_STATUS = 100
"""Lowest valid status (RFC 9110, 15)."""
FIRST_FINAL_STATUS = 200
"""Lowest status of a final response; lower ones are interim (RFC 9110, 15.2)."""
BODILESS_STATUSES = frozenset((204, 304))
"""Statuses of final responses without a body; their headers may describe that of another response."""


class InvalidResponseError(Exception):
    """The data received from an endpoint is not a usable response."""


class MalformedResponseError(InvalidResponseError):
    """The response is not valid HTTP/1.1."""


class HeadTooLongError(InvalidResponseError):
    """The response exceeds the limit on heads and trailers."""

    def __init__(self) -> None:
        super().__init__("response head or trailer too long")


class InvalidStatusError(InvalidResponseError):
    """The status is below the range of HTTP."""

    def __init__(self, status: int) -> None:
        super().__init__(f"invalid status {status}")


class UnreadableBodyError(InvalidResponseError):
    """The response has a body that cannot be read, or must not have one."""

    def __init__(self, cause: FramingError) -> None:
        super().__init__(f"unreadable response body: {cause}")


class BodyTooLongError(InvalidResponseError):
    """The response body exceeds the limit."""

    def __init__(self) -> None:
        super().__init__("response body too long")


class UpgradeError(InvalidResponseError):
    """The endpoint switched to another protocol."""

    def __init__(self) -> None:
        super().__init__("unexpected protocol upgrade")


class ExtraResponseError(InvalidResponseError):
    """The endpoint sent a second response to one request."""

    def __init__(self) -> None:
        super().__init__("more than one response")


class ResponseParser:
    """Incremental parser of the response to one request; `reset` prepares it for the next response.

    httptools calls the `on_...` methods during `feed`.  They must not raise: httptools would raise
    HttpParserCallbackError instead, which counts as malformed input.  Errors are therefore stored in `error`,
    where a later one replaces an earlier one.
    """

    __slots__ = (
        "_body",
        "_framing",
        "_header_bytes",
        "_headers",
        "_is_delimited",
        "_is_head_complete",
        "_parser",
        "_status",
        "error",
        "has_begun",
        "is_complete",
        "keeps_alive",
    )

    def __init__(self) -> None:
        self._framing = FramingLimit()
        self._body = BodyBuffer()
        self._parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self._framing.restart()
        self._headers: list[Header] = []
        self._body.clear()
        self._header_bytes = 0  # total length of names and values
        self._is_head_complete = False  # that of the final response
        self._is_delimited = False  # by a header; otherwise the body ends when the connection closes
        self._status = 0  # of the first response, or of an interim one before it; 0 before its head
        self.is_complete = False
        """Whether a final response is completely received, without an error up to its end."""
        self.error: InvalidResponseError | None = None
        self.has_begun = False
        """Whether any byte was received."""
        self.keeps_alive = False
        """Whether the endpoint keeps the connection open after this response."""

    @property
    def is_invalid(self) -> bool:
        """Whether the response can't be used.

        If a second response follows, the first one ended where its framing says and is valid.  Any other data
        after a response may belong to a body whose Content-Length was too small: that response is invalid.
        """
        if self.error is None:
            return False
        return not (self.is_complete and isinstance(self.error, ExtraResponseError))

    @property
    def has_excess_data(self) -> bool:
        """Whether more than the response was received."""
        return self.is_complete and self.error is not None

    @property
    def stored_bytes(self) -> int:
        """Size in memory of what is received of the response, approximately and rather too high."""
        return (
            len(self._headers) * HEADER_OBJECT_BYTES
            + self._header_bytes
            + self._framing.size_bytes  # includes a field that is incomplete
            + self._body.stored_bytes
        )

    def feed(self, data: bytes) -> None:
        """Parse received bytes; the rest of an invalid response is discarded."""
        self.has_begun = True
        for piece in (data,) if len(data) <= PIECE_BYTES else split_read(data):
            self._framing.add(len(piece))
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserUpgrade:
                self.error = UpgradeError()
            except httptools.HttpParserError as error:
                self.error = MalformedResponseError(str(error) or "malformed")
            if not self.is_complete and self._framing.is_exceeded:
                self.error = HeadTooLongError()
            if self.error is not None and self.is_invalid:
                return

    def feed_eof(self) -> bool:
        """Handle the end of the stream and return whether it completes the response."""
        if not self._is_head_complete or self._is_delimited or self.is_complete or self.error is not None:
            return False
        self.is_complete = True
        return True

    def response(self) -> Response:
        """Return the complete response."""
        return Response(self._status, self._headers, self._body.content())

    def release(self) -> None:
        """Break the reference cycle with httptools' parser, which only the garbage collector would free."""
        del self._parser

    # ---- Called by httptools -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Record an error if this is a second message."""
        if self.is_complete:
            self.error = ExtraResponseError()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers count towards the limit but are dropped."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            self.error = HeadTooLongError()
        elif not self._is_head_complete:  # otherwise a trailer, which is not forwarded
            self._headers.append((name, field_value(value)))

    def on_headers_complete(self) -> None:
        """Check that the body can be read, once the head is complete."""
        if self.is_complete:  # the head belongs to a second message
            return
        status = self._status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            if status < FIRST_STATUS:
                self.error = InvalidStatusError(status)
            return
        self._is_head_complete = True
        try:
            self._is_delimited = parse_body_length(self._headers, MAX_BODY_BYTES) is not None
        except FramingError as error:
            if status not in BODILESS_STATUSES:
                self.error = UnreadableBodyError(error)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, up to the limit."""
        self._framing.restart()
        if self.is_complete:
            return
        if not self._is_head_complete:
            self.error = UnreadableBodyError(InterimBodyError())
        elif self._body.append(body) > MAX_BODY_BYTES:
            self.error = BodyTooLongError()
            self._body.clear()

    def on_message_complete(self) -> None:
        """Complete the response, or discard the head of an interim one."""
        if not self._is_head_complete:
            self._headers.clear()
        elif not self.is_complete and self.error is None:  # a second message must not change the response
            self.is_complete = True
            # Must be read here: httptools discards it when this callback returns.
            self.keeps_alive = self._parser.should_keep_alive()
