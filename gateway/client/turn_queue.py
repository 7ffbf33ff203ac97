"""Shares the event loop between client connections that have sent more requests than one turn handles."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .connection import ClientConnection

__all__ = ["CONNECTIONS_PER_ITERATION", "REQUESTS_PER_TURN", "TurnQueue"]

log = logging.getLogger("gateway.client.turn_queue")

REQUESTS_PER_TURN = 16
"""Maximum number of requests of one connection that are handled in one turn: more than are served at a time,
so that a client that pipelines too many is rejected in its first turn."""
CONNECTIONS_PER_ITERATION = 8
"""Maximum number of waiting connections that get a turn in one iteration of the event loop."""


class TurnQueue:
    """Connections with received bytes that are not handled yet, in the order of their next turns."""

    def __init__(self) -> None:
        self._waiting: dict[ClientConnection, None] = {}
        self._is_scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Give a connection a turn in a later event loop iteration, unless it already waits for one."""
        self._waiting[connection] = None
        self._schedule()

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that needs no turn any more."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        for _ in range(min(len(self._waiting), CONNECTIONS_PER_ITERATION)):
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            try:
                connection.handle_received()
            except Exception:  # must not keep the other connections from their turns
                log.exception("a connection is closed due to an unexpected error")
                connection.abort()
        if self._waiting:
            self._schedule()
