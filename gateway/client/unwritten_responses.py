"""The responses of one connection that its transport has not written completely."""

from __future__ import annotations

__all__ = ["UnwrittenResponses"]


class UnwrittenResponses:
    """Size of the unwritten responses, and for how long none of their bytes has been written."""

    __slots__ = ("_buffer_bytes", "blocked_since_ns", "size_bytes")

    def __init__(self) -> None:
        self.blocked_since_ns = 0
        """Time of the last progress, ns; 0 while everything is written."""
        self.size_bytes = 0
        """Size of the responses, which the transport stores until the last of them is written."""
        self._buffer_bytes = 0  # what was left of them at the last check

    @property
    def is_blocked(self) -> bool:
        """Whether a part of a response is unwritten."""
        return self.blocked_since_ns != 0

    def begin(self, now: int) -> None:
        """Record that the transport could not write a response completely."""
        self.blocked_since_ns = now

    def end(self) -> None:
        """Record that everything is written."""
        self.blocked_since_ns = self.size_bytes = self._buffer_bytes = 0

    def check_progress(self, buffer_bytes: int, now: int) -> None:
        """Record the size of the transport's buffer: the wait starts again if a part of it was written."""
        if self.blocked_since_ns and buffer_bytes < self._buffer_bytes:
            self.blocked_since_ns = now
        self._buffer_bytes = buffer_bytes

    def is_stalled(self, now: int, timeout_ns: int) -> bool:
        """Whether nothing has been written for longer than the timeout."""
        return self.blocked_since_ns != 0 and now - self.blocked_since_ns > timeout_ns
