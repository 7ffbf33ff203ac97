"""Limits what the event loop reads from one connection in one iteration.

While a peer sends fast enough, the event loop reads from the same connection up to 32 times in a row, with a
buffer of 256 KiB, before it serves another connection or a timer.  `LimitedReadProtocol` reads into a smaller
buffer, and after a full read it lets the other connections go first.
"""

from __future__ import annotations

import asyncio

__all__ = ["READ_SIZE_BYTES", "LimitedReadProtocol"]

READ_SIZE_BYTES = 16 * 1024
"""Maximum number of bytes read from one connection in one iteration of the event loop."""
_READ_BUFFER = memoryview(bytearray(READ_SIZE_BYTES))
"""Shared by all connections: a read is copied from it before the event loop starts the next one."""


class LimitedReadProtocol(asyncio.BufferedProtocol):
    """Base class of a protocol that gets at most one read in each iteration of the event loop.

    Its subclasses handle the bytes in `data_received`, like those of `asyncio.Protocol`.
    """

    __slots__ = ("_transport",)

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        """Set by the subclass when the connection is made."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def may_read(self) -> bool:
        """Whether reading may continue after the other connections had their turn."""
        return True

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - required by asyncio
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a read of `nbytes` bytes."""
        data = bytes(_READ_BUFFER[:nbytes])
        if nbytes == READ_SIZE_BYTES and self._transport is not None:  # more bytes may be waiting
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading_in_turn)
        self.data_received(data)

    def _resume_reading_in_turn(self) -> None:
        if self._transport is not None and self.may_read():
            self._transport.resume_reading()
