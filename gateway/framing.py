"""Limits the part of an HTTP message that is not its body: head, chunk sizes and extensions, trailers.

A parser reports a header or trailer field only once it is complete, and stores what it has received of it
until then.  Limits that are checked when a field is reported therefore miss a field that does not end.
`FramingLimit` counts the received bytes themselves, and `split_read` divides a long read, so that the count
is checked before the parser has stored much more than the limit.
"""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["MAX_FRAMING_BYTES", "MAX_HEAD_BYTES", "PIECE_BYTES", "FramingLimit", "split_read"]

MAX_HEAD_BYTES = 16 * 1024
"""Maximum total length of the names and values in the head and trailers of a message, bytes."""
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES
"""Maximum number of bytes received in a row without a part of a body; includes the white space in a head."""
PIECE_BYTES = 2 * 1024
"""Maximum number of bytes that a parser is fed at once."""


class FramingLimit:
    """Counts the bytes received since a message began or since the last part of its body."""

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        self._bytes = 0

    def restart(self) -> None:
        """Count from zero: a message has begun, or a part of a body was received."""
        self._bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count a piece of received bytes, before the parser is fed with it."""
        self._bytes += size_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the limit is exceeded, after the parser was fed."""
        return self._bytes > MAX_FRAMING_BYTES


def split_read(data: bytes) -> Sequence[bytes]:
    """Divide received bytes into pieces of at most `PIECE_BYTES`."""
    if len(data) <= PIECE_BYTES:
        return (data,)
    return [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)]
