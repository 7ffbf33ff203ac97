"""The bytes that one client connection has received, up to the requests that wait to be handled."""

from __future__ import annotations

from collections import deque

from ..framing import ReceivedBytes
from ..memory_budget import OBJECT_BYTES
from .request_parser import ParsedRequest, ParserHandler, RequestParser

__all__ = ["RequestReader"]


class RequestReader:
    """Parses the bytes of the last read as far as requests are taken.

    A parsed request takes many times the memory of its bytes, so that few are parsed in advance.
    """

    __slots__ = ("_requests", "_unparsed", "parser")

    def __init__(self, handler: ParserHandler) -> None:
        """`handler` passes each parsed request to `append`."""
        self.parser = RequestParser(handler)
        self._unparsed = ReceivedBytes()
        self._requests: deque[ParsedRequest] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether neither bytes nor requests are waiting; a part of a request may be in the parser."""
        return not (self._requests or self._unparsed)

    @property
    def has_requests(self) -> bool:
        """Whether a parsed request is waiting."""
        return bool(self._requests)

    @property
    def waiting_bytes(self) -> int:
        """Size in memory of the bytes and requests that are waiting."""
        unparsed_bytes = len(self._unparsed) + OBJECT_BYTES if self._unparsed else 0
        return unparsed_bytes + sum(request.stored_bytes for request in self._requests)

    def add(self, data: bytes) -> None:
        """Add the bytes of a read."""
        self._unparsed.add(data)

    def append(self, request: ParsedRequest) -> None:
        """Add a request that the parser has completed."""
        self._requests.append(request)

    def take_request(self) -> ParsedRequest | None:
        """Remove and return the next request, for which more bytes are parsed if necessary."""
        while not self._requests and self._unparsed and not self.parser.has_stopped:
            self.parser.feed(self._unparsed.take_piece(self.parser.expected_body_bytes))
        return self._requests.popleft() if self._requests else None

    def discard(self) -> None:
        """Discard the bytes and requests that are waiting."""
        self._requests.clear()
        self._unparsed.clear()
