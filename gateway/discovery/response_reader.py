"""Incremental parser of the HTTP response of discovery, whose body is read as lines."""

from __future__ import annotations

import sys

import httptools

from ..body_framing import FRAMING_HEADERS, FramingError, InterimBodyError, parse_body_length
from ..framing import FramingLimit, split_read
from ..messages import Header, field_value
from .errors import HeadTooLongError, MalformedResponseError, UnexpectedStatusError

__all__ = ["ResponseReader"]

STATUS_OK = 200
INTERIM_STATUSES = range(100, 200)
"""Statuses of responses that a final one follows (RFC 9110, 15.2)."""


class ResponseReader:
    """Incremental parser of the response to one call.

    httptools calls the `on_...` methods during `feed`.  They must not raise: httptools would raise
    HttpParserCallbackError instead, which counts as malformed input.  They therefore only store values, and
    an error is raised after `feed_data`.
    """

    def __init__(self, splits_lines: bool) -> None:
        """`splits_lines`: return the body line by line as it arrives, not in one piece at its end."""
        self._splits_lines = splits_lines
        self._framing = FramingLimit()
        self._parser = httptools.HttpResponseParser(self)
        self._status: int | None = None  # of the final response, once its head is complete
        self._framing_headers: list[Header] = []
        self._error: MalformedResponseError | None = None
        self._lines: list[bytes] = []
        self._buffer = bytearray()
        self.is_complete = False
        """Whether a final response is completely received; a second one is ignored."""

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises MalformedResponseError, HeadTooLongError or UnexpectedStatusError.
        """
        for piece in split_read(data):
            self._framing.add(len(piece))
            try:
                self._parser.feed_data(piece)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                raise MalformedResponseError(error) from None
            if self._status is not None and self._status != STATUS_OK:
                raise UnexpectedStatusError(self._status)
            if self._error is not None:
                raise self._error
            if self._framing.is_exceeded:
                raise HeadTooLongError

    def take_lines(self) -> list[bytes]:
        """Return the complete lines since the last call, without line endings."""
        lines, self._lines = self._lines, []
        return lines

    @property
    def buffered(self) -> bytes:
        """The received part of the body that has not been split into lines."""
        return bytes(self._buffer)

    @property
    def buffered_size(self) -> int:
        """Length of `buffered` in bytes."""
        return len(self._buffer)

    def release(self) -> None:
        """Break the reference cycle with the parser, which only the garbage collector would free."""
        del self._parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that delimits the body; trailers, which arrive after the head, are dropped."""
        if self._status is None and name.lower() in FRAMING_HEADERS:
            self._framing_headers.append((name, field_value(value)))

    def on_headers_complete(self) -> None:
        """Store the status of a final response, and check that its body can be read."""
        if self.is_complete:  # the head belongs to a second response
            return
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            self._framing_headers.clear()
            return
        self._status = status
        try:
            parse_body_length(self._framing_headers, sys.maxsize)  # lines are limited, bodies are not
        except FramingError as error:
            self._error = MalformedResponseError(error)
        self._framing_headers.clear()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, and split off the complete lines."""
        self._framing.restart()
        if self._status is None:
            self._error = MalformedResponseError(InterimBodyError())
        if self.is_complete or self._error is not None:
            return
        self._buffer += body
        if self._splits_lines and b"\n" in body:
            *lines, partial_line = bytes(self._buffer).split(b"\n")
            self._lines += lines
            self._buffer = bytearray(partial_line)

    def on_message_complete(self) -> None:
        """Mark a final response as complete."""
        if self._status is not None:
            self.is_complete = True
