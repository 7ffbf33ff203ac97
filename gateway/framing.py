"""Limits the part of an HTTP message that is not its body: head, chunk sizes and extensions, trailers.

A parser reports a header or trailer field only once it is complete, and stores what it has received of it
until then.  Limits that are checked when a field is reported therefore miss a field that does not end.
`FramingLimit` counts the received bytes themselves, and `split_read` divides a long read, so that the count
is checked before the parser has stored much more than the limit.
"""

from __future__ import annotations

from collections.abc import Sequence

__all__ = [
    "HEADER_OBJECT_BYTES",
    "MAX_FRAMING_BYTES",
    "MAX_HEAD_BYTES",
    "PIECE_BYTES",
    "FramingLimit",
    "ReceivedBytes",
    "split_read",
]

MAX_HEAD_BYTES = 16 * 1024
"""Maximum total length of the names and values in the head and trailers of a message, bytes."""
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES
"""Maximum number of bytes received in a row without a part of a body; includes the white space in a head."""
PIECE_BYTES = 2 * 1024
"""Maximum number of bytes that a parser is fed at once."""
BODY_PIECE_BYTES = 4 * 1024
"""The same where the bytes are known to belong to a body, which a parser does not store."""
HEADER_OBJECT_BYTES = 192
"""Size of a stored header besides its name and value, bytes: a tuple and two bytes objects."""
_END_OF_LINE_AND_HEAD = b"\n\r\n"


class FramingLimit:
    """Counts the bytes received since a message began or since the last part of its body."""

    __slots__ = ("size_bytes",)

    def __init__(self) -> None:
        self.size_bytes = 0
        """Number of bytes counted."""

    def restart(self) -> None:
        """Count from zero: a message has begun, or a part of a body was received."""
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count a piece of received bytes, before the parser is fed with it."""
        self.size_bytes += size_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the limit is exceeded, after the parser was fed."""
        return self.size_bytes > MAX_FRAMING_BYTES


class ReceivedBytes:
    """The bytes of one read, which a parser takes in pieces; each piece contains the end of one head at most.

    Thus a piece completes two messages at most: a parsed request takes many times the memory of its bytes.
    """

    __slots__ = ("_data", "_position")

    def __init__(self) -> None:
        self._data = b""
        self._position = 0

    def __len__(self) -> int:
        """Return the number of bytes that have not been taken."""
        return len(self._data) - self._position

    def add(self, data: bytes) -> None:
        """Add the bytes of a read."""
        self._data = self._data[self._position :] + data if len(self) else data
        self._position = 0

    def take_piece(self, body_bytes: int = 0) -> bytes:
        """Remove and return the next piece; empty if nothing is left.

        `body_bytes` of the bytes that follow are known to belong to a body, so that they contain no head.
        """
        data, start = self._data, self._position
        end = min(start + max(PIECE_BYTES, min(body_bytes, BODY_PIECE_BYTES)), len(data))
        # The search for a single byte is much faster, and most pieces without a head have none.
        if end - start > body_bytes and data.find(b"\n", start, end) >= 0:
            head_end = data.find(_END_OF_LINE_AND_HEAD, start, end)
            if head_end >= 0:
                end = head_end + len(_END_OF_LINE_AND_HEAD)
        piece = data[start:end]
        self._position = end
        if end == len(data):
            self.clear()
        return piece

    def clear(self) -> None:
        """Discard all bytes."""
        self._data = b""
        self._position = 0


def split_read(data: bytes) -> Sequence[bytes]:
    """Divide received bytes into pieces of at most `PIECE_BYTES`."""
    if len(data) <= PIECE_BYTES:
        return (data,)
    return [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)]
