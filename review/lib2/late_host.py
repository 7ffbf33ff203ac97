"""A host whose new connections come up late: while it is held, the system drops their first SYN."""

from __future__ import annotations

import asyncio
import socket

from standins import Behaviour, Host, HostConnection, Record


class LateHost(Host):
    """A host with a queue for one pending connection, which `hold` fills and `release` empties.

    The system of the connecting side repeats its SYN after 1 s, so that a connection that is begun while the
    host is held comes up 1 s late, if the host is released by then.
    """

    def __init__(self, name: str, zone: str, cell: int, record: Record, behaviour: Behaviour) -> None:
        super().__init__(name, zone, cell, record, behaviour)
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []
        self._is_held = False

    async def start(self) -> None:
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()[:2]
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        try:
            accepted, peer = self._listener.accept()
        except BlockingIOError:
            return
        accepted.setblocking(False)
        if any(filler.getsockname() == peer for filler in self._fillers):
            accepted.close()
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(
            loop.connect_accepted_socket(lambda: HostConnection(self), accepted)  # type: ignore[arg-type]
        )

    def hold(self) -> None:
        """Let connections that are begun from now on wait."""
        asyncio.get_running_loop().remove_reader(self._listener)
        self._is_held = True
        for _ in range(2):  # the queue takes one; the second waits like those of the gateway
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def release(self) -> None:
        """Accept again."""
        if self._is_held:
            self._is_held = False
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def drop_fillers(self) -> None:
        """Close the connections that filled the queue, once they have been accepted."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._listener)
        self.drop_fillers()
        self._listener.close()
        super().close()
