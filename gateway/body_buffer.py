"""A message body that is being received, stored in small blocks.

Many bodies that grow at the same time would leave gaps in the heap if each of them moved to a larger place
again and again; small blocks stay where they are, and their places are reused.
"""

from __future__ import annotations

from .memory_budget import OBJECT_BYTES

__all__ = ["BodyBuffer"]

MIN_BLOCK_BYTES = 1024
"""Size of a part from which it is a block of its own, bytes; smaller parts are joined."""


class BodyBuffer:
    """The received part of a body."""

    __slots__ = ("_blocks", "_tail", "size_bytes")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = b""  # joined small parts
        self.size_bytes = 0
        """Length of the received part."""

    @property
    def stored_bytes(self) -> int:
        """Size in memory, approximately."""
        return self.size_bytes + (len(self._blocks) + bool(self._tail)) * OBJECT_BYTES

    def append(self, data: bytes) -> int:
        """Append a part of the body; return the length of the received part."""
        size_bytes = self.size_bytes = self.size_bytes + len(data)
        if self._tail:
            data = self._tail + data
        if len(data) < MIN_BLOCK_BYTES:
            self._tail = data
        else:
            self._blocks.append(data)
            self._tail = b""
        return size_bytes

    def clear(self) -> None:
        """Discard the body."""
        if self.size_bytes:
            self._blocks = []
            self._tail = b""
            self.size_bytes = 0

    def content(self) -> bytes:
        """Return the received part as one object."""
        if not self._blocks:
            return self._tail
        if len(self._blocks) == 1 and not self._tail:
            return self._blocks[0]
        return b"".join((*self._blocks, self._tail))
