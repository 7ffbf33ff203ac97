"""Accepts client connections.

The event loop's own server closes every pending connection once accept fails because no file descriptor is
free (libuv, `uv__emfile_trick`).  Clients with requests on those connections would get no response, although
a descriptor often becomes free a moment later.  This listener leaves them in the backlog.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from balancer import MS

from ..timers import Timers

__all__ = ["Listener"]

log = logging.getLogger("gateway.client.listener")

LISTEN_BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""
ACCEPTS_PER_ITERATION = 8
"""Connections accepted in one iteration of the event loop.  They count as open only two iterations later;
until then up to twice this number of connections above the limit may hold a descriptor."""
ACCEPT_RETRY_DELAY_NS = 10 * MS
"""Delay before accept is called again after the system had no free descriptor or memory, ns."""
PER_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ETIMEDOUT,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
    )
)
"""Errors of accept(2) that concern one connection only: the next one may succeed.  After other errors,
such as a lack of descriptors or memory, the connection stays pending and the same call would fail again."""


class Listener:
    """A listening socket that hands accepted connections to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        protocol_factory: Callable[[bool], asyncio.BaseProtocol],
    ) -> None:
        """`protocol_factory` creates the protocol of a connection; its argument: whether that has waited."""
        self._loop = loop
        self._timers = timers
        self._protocol_factory = protocol_factory
        self._socket: socket.socket | None = None  # None while not listening
        self._has_backlog = False  # whether connections may have been left in the backlog
        self._tasks: set[asyncio.Task[None]] = set()  # the event loop holds only weak references to tasks

    def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on an address.

        Returns:
            The bound address, with the port chosen by the system if 0 was given.

        Raises:
            OSError: The address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept_batch)
        bound_address: tuple[str, int] = self._socket.getsockname()[:2]
        return bound_address

    def close(self) -> None:
        """Accept all pending connections, then stop listening."""
        if self._socket is None:
            return
        # Must precede the socket's close: its descriptor number may soon belong to another file.
        self._loop.remove_reader(self._socket)
        for _ in range(LISTEN_BACKLOG):
            if not self._accept_one(self._socket):
                break
        self._socket.close()
        self._socket = None

    def _accept_batch(self) -> None:
        for _ in range(ACCEPTS_PER_ITERATION):
            if self._socket is None or not self._accept_one(self._socket):
                return
        self._has_backlog = True

    def _accept_one(self, listening_socket: socket.socket) -> bool:
        """Accept one connection; false if none is pending or the system has no descriptor for it."""
        try:
            accepted, _ = listening_socket.accept()
        except BlockingIOError:
            self._has_backlog = False
            return False
        except OSError as error:
            if error.errno in PER_CONNECTION_ERRORS:
                return True
            self._has_backlog = True
            log.warning("accept failed: %s", error)
            # The socket stays readable: without a pause the event loop would call accept continuously.
            self._loop.remove_reader(listening_socket)
            self._timers.call_after(ACCEPT_RETRY_DELAY_NS, self._resume_accepting, listening_socket)
            return False
        task = self._loop.create_task(self._attach_protocol(accepted, self._has_backlog))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _resume_accepting(self, listening_socket: socket.socket) -> None:
        if self._socket is listening_socket:  # it may have been closed during the delay
            self._loop.add_reader(listening_socket, self._accept_batch)

    async def _attach_protocol(self, accepted: socket.socket, has_waited: bool) -> None:
        """Create the transport and protocol of an accepted connection."""
        try:
            await self._loop.connect_accepted_socket(lambda: self._protocol_factory(has_waited), accepted)
        except OSError as error:  # the connection broke after it was accepted
            log.info("an accepted connection could not be served: %s", error)
            accepted.close()
