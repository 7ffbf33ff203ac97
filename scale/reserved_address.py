"""Reserves a loopback address for a process that listens on it, ends, and listens on it again."""

from __future__ import annotations

import socket

__all__ = ["ReservedAddress"]


class ReservedAddress:
    """A free port of 127.0.0.1 that only a listener with SO_REUSEADDR can use until it is released.

    A socket is bound to the port and does not listen, so that Linux gives the port to no other socket that
    leaves the choice to the system (`bind` with port 0, and `connect`), whether or not a listener runs.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address: tuple[str, int] = host, port

    def release(self) -> None:
        """Give the port back."""
        self._socket.close()
