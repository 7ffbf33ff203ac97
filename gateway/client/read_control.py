"""Pauses reading from a client and tracks how old the bytes read after a pause may be."""

from __future__ import annotations

import asyncio

from ..limited_read import READ_SIZE_BYTES
from ..sockets import poll_socket, unread_bytes

__all__ = ["ReadControl"]


class ReadControl:
    """Whether a connection is being read, and how long unread bytes may have been waiting."""

    __slots__ = ("_transport", "_unread_since_ns", "client_ended_while_paused", "is_paused")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._unread_since_ns = 0  # 0 if the next bytes read have just arrived
        self.is_paused = False
        self.client_ended_while_paused = False
        """Whether an EOF was unread when reading resumed: the client may have disconnected long ago."""

    def attach(self, transport: asyncio.Transport, earliest_connect_ns: int, now: int) -> None:
        """Start with a connection accepted at `now` and established at `earliest_connect_ns` or later."""
        self._transport = transport
        self._unread_since_ns = earliest_connect_ns if earliest_connect_ns < now else 0

    def earliest_arrival(self, size_bytes: int, now: int, age_ns: int = 0) -> int:
        """Return the earliest time, ns, at which a read of `size_bytes` at `now` may have arrived.

        `age_ns` is the time since the last bytes arrived, if it is known.  After a full read more bytes may
        be unread, which may be as old as those that were read.
        """
        earliest_ns = min(self._unread_since_ns or now, now - age_ns)
        is_emptied = size_bytes < READ_SIZE_BYTES
        self._unread_since_ns = 0 if is_emptied else earliest_ns
        return earliest_ns

    def pause(self, now: int) -> None:
        """Pause reading, unless it is paused already."""
        if not self.is_paused and self._transport is not None:
            self.is_paused = True
            self._unread_since_ns = self._unread_since_ns or now  # older bytes may still be unread
            self._transport.pause_reading()

    def check_for_unread(self) -> None:
        """Check, after a full read, whether bytes are unread: a later read may return new ones only."""
        if self._unread_since_ns and not unread_bytes(self._transport):
            self._unread_since_ns = 0

    def resume(self) -> None:
        """Resume reading.

        The socket is polled before the event loop reads it: afterwards an EOF that arrived during the pause
        can't be distinguished from a new one.
        """
        self.is_paused = False
        assert self._transport is not None
        socket_state = poll_socket(self._transport)
        if not socket_state.readable:
            self._unread_since_ns = 0
        self.client_ended_while_paused = socket_state.ended
        self._transport.resume_reading()
