"""A connection to the fake discovery server: it carries successive calls; the last may be a watch."""

from __future__ import annotations

import asyncio
import socket
import struct
from time import monotonic
from typing import Protocol, cast
from urllib.parse import parse_qs, urlsplit

__all__ = ["ConnectionOwner", "DiscoveryConnection", "chunk"]

PATH = "/registry/instances"
MAX_HEAD_BYTES = 16 * 1024
"""Maximum length of the head of a call."""
HEAD_END = b"\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close() reset the connection."""


class ConnectionOwner(Protocol):
    """Events that a connection reports to the fake discovery server."""

    def on_call(self, call: DiscoveryConnection) -> None:
        """Handle a new call."""

    def on_queue_timeout(self, call: DiscoveryConnection) -> None:
        """Handle a call that waited too long and gets 503."""

    def on_written(self, size: int) -> None:
        """Count written bytes."""

    def on_connected(self, connection: DiscoveryConnection) -> None:
        """Handle a new connection."""

    def on_connection_lost(self, connection: DiscoveryConnection) -> None:
        """Handle the end of a connection."""


def _response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class DiscoveryConnection(asyncio.Protocol):
    """A connection, and its current call."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.since: int | None = None
        """Generation after which a watch begins; None for a fetch of a snapshot."""
        self.is_waiting = False
        """Whether the call waits for its response."""
        self.is_watch = False
        """Whether the call is a watch, which stays open."""
        self.queued_at_s = 0.0
        """When the call was queued, on the monotonic clock, seconds."""
        self._owner = owner
        self._received = bytearray()
        self._queue_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection to the owner."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports have another base class
        self._owner.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio.Protocol
        """Stop waiting, and report the end of the connection to the owner."""
        self.stop_waiting()
        self._owner.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        """Collect the head of a call; handle it once it is complete."""
        self._received += data
        if self.is_waiting or self.is_watch:
            return
        if HEAD_END in self._received:
            head, _, rest = bytes(self._received).partition(HEAD_END)
            self._received = bytearray(rest)
            self._on_head(head.decode("latin-1"))
        elif len(self._received) > MAX_HEAD_BYTES:
            self.reset()

    def _on_head(self, head: str) -> None:
        method, _, rest = head.partition(" ")
        target = urlsplit(rest.partition(" ")[0])
        query = parse_qs(target.query)
        is_watch, since = query.get("watch") == ["1"], query.get("from", ["0"])[0]
        if method != "GET" or target.path != PATH or not since.isdecimal():
            self.write(_response(404))
            return
        self.since = int(since) if is_watch else None
        self._owner.on_call(self)

    def start_waiting(self, timeout_s: float) -> None:
        """Start to wait in the queue; the call gets 503 after `timeout_s` seconds."""
        self.is_waiting, self.queued_at_s = True, monotonic()
        self._queue_timer = asyncio.get_running_loop().call_later(timeout_s, self._on_queue_timeout)

    def _on_queue_timeout(self) -> None:
        self.stop_waiting()
        self._owner.on_queue_timeout(self)
        self.write(_response(503))

    def cancel_queue_timeout(self) -> None:
        """Cancel the queue timeout, as a call in service gets its response however long that takes."""
        if self._queue_timer is not None:
            self._queue_timer.cancel()

    def stop_waiting(self) -> None:
        """Stop waiting: the call gets its response, is reset, or its connection ended."""
        self.is_waiting = False
        self.cancel_queue_timeout()

    def respond(self, body: bytes) -> None:
        """Send the response to a fetch."""
        self.write(_response(200, body))

    def start_watch_response(self, line: bytes) -> None:
        """Send the head and the first line of the response to a watch."""
        self.is_watch = True
        self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line))

    def write(self, data: bytes) -> None:
        """Write data to the socket and report its size to the owner."""
        self._owner.on_written(len(data))
        self._transport.write(data)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        raw_socket: socket.socket | None = self._transport.get_extra_info("socket")
        if raw_socket is not None:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def abort(self) -> None:
        """Close the connection immediately, without sending buffered data."""
        self._transport.abort()
