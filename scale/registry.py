"""A fake discovery server on real sockets: snapshots, watches, and one queue for all calls."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from time import monotonic, monotonic_ns
from typing import Any, NamedTuple

from .fleet import EndpointRow
from .registry_call import DiscoveryConnection, chunk

__all__ = ["Capacity", "Counts", "FakeDiscoveryServer"]


@dataclass(frozen=True)
class Capacity:
    """Throughput of the server: a call costs one unit, and one more for every `entries_per_unit` entries."""

    calls_per_s: float = 200.0
    """Units per second."""
    entries_per_unit: float = 500.0
    """Number of endpoint list entries in a response that cost one unit."""
    queue_timeout_s: float = 3.0
    """Maximum time of a call in the queue, seconds; after that it gets 503."""


@dataclass
class Counts:
    """Counters since the start; the start of a watch counts as a call."""

    calls: int = 0
    failures: int = 0
    """Calls that ended in 503 or a reset, including those made while discovery was down."""
    snapshots: int = 0
    bytes_written: int = 0
    heartbeat_bytes: int = 0
    """Bytes of the empty lines that are sent periodically, without a call or a change."""

    def update_bytes(self) -> int:
        """Return the number of bytes written for calls and changes."""
        return self.bytes_written - self.heartbeat_bytes


@dataclass(eq=False)
class _Watch:
    """An open watch, and when (monotonic, ns) each generation was written to its socket."""

    call: DiscoveryConnection
    written_ns: dict[int, int] = field(default_factory=dict)


class _Update(NamedTuple):
    """The update sent to a call: JSON text, number of entries, and whether it is a snapshot."""

    text: bytes
    entry_count: int
    is_snapshot: bool


class FakeDiscoveryServer:
    """Fake discovery server for any number of gateways, in one process and one event loop.

    Calls are served one after another.  A response is cached until the list changes, so that the cost of
    building it does not distort the cost of sending it.
    """

    def __init__(
        self,
        rows: Iterable[EndpointRow],
        capacity: Capacity | None = None,
        history: int = 64,
        heartbeat_s: float = 2.0,
        generation: int = 1,
    ) -> None:
        """Create the server.

        A watch that starts at most `history` generations back begins with a delta, any other with a snapshot.
        """
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = generation
        self.counts = Counts()
        self.address = ""
        """Address of the server, `host:port`, once it is started."""
        self._capacity = capacity or Capacity()
        self._history: deque[tuple[int, list[EndpointRow]]] = deque(maxlen=history)
        self._updates: dict[int | None, _Update] = {}  # by generation of the call; None for a fetch
        self._heartbeat_s = heartbeat_s
        self._is_down = False
        self._connections: set[DiscoveryConnection] = set()
        self._watches: dict[DiscoveryConnection, _Watch] = {}
        self._queue: deque[DiscoveryConnection] = deque()
        self._queue_not_empty = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> FakeDiscoveryServer:
        """Start to listen and set `address`; return this server."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: DiscoveryConnection(self), host, port, backlog=1024)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._tasks = [loop.create_task(self._serve()), loop.create_task(self._send_heartbeats())]
        return self

    async def close(self) -> None:
        """Cancel the tasks, abort all connections and stop listening."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self._connections):
            connection.abort()
        if self._server is not None:
            self._server.close()

    @property
    def watch_count(self) -> int:
        """Number of open watches."""
        return len(self._watches)

    @property
    def queue_length(self) -> int:
        """Number of queued calls, without the one being served."""
        return len(self._queue)

    def publish(self, changed: Iterable[EndpointRow]) -> int:
        """Publish a new generation, immediately on every watch; return its number."""
        rows = list(changed)
        self.generation += 1
        self._updates.clear()
        self._history.append((self.generation, rows))
        for row in rows:
            if row["lifecycle"] == "terminated":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
        line = chunk(self._encode(False, rows) + b"\n")
        for watch in self._watches.values():
            watch.call.write(line)
            watch.written_ns[self.generation] = monotonic_ns()
        return self.generation

    def written_ns(self, generation: int) -> list[int]:
        """Return when (monotonic, ns) this generation was written to the sockets of the open watches."""
        return [
            watch.written_ns[generation] for watch in self._watches.values() if generation in watch.written_ns
        ]

    def take_down(self) -> None:
        """Reset all open connections, and reset all new calls until `bring_up`."""
        self._is_down = True
        self.counts.failures += sum(call.is_waiting for call in self._connections)
        self._queue.clear()
        for call in list(self._connections):
            call.stop_waiting()
            call.reset()

    def bring_up(self) -> None:
        """Resume serving calls after `take_down`."""
        self._is_down = False

    # ---- Events of the connections -----------------------------------------------------------------

    def on_connected(self, connection: DiscoveryConnection) -> None:
        """Handle a new connection."""
        self._connections.add(connection)

    def on_call(self, call: DiscoveryConnection) -> None:
        """Queue a call, or reset it while discovery is down."""
        self.counts.calls += 1
        if self._is_down:
            self.counts.failures += 1
            call.reset()
            return
        call.start_waiting(self._capacity.queue_timeout_s)
        self._queue.append(call)
        self._queue_not_empty.set()

    def on_queue_timeout(self, call: DiscoveryConnection) -> None:  # noqa: ARG002 - required by the interface
        """Count a call that reached its queue timeout."""
        self.counts.failures += 1

    def on_written(self, size: int) -> None:
        """Count written bytes."""
        self.counts.bytes_written += size

    def on_connection_lost(self, connection: DiscoveryConnection) -> None:
        """Handle the end of a connection."""
        self._connections.discard(connection)
        self._watches.pop(connection, None)

    # ---- Service -----------------------------------------------------------------------------------

    async def _serve(self) -> None:
        idle_from_s = 0.0  # when earlier calls are due to finish; a sleep that ends late costs no throughput
        while True:
            if not self._queue:
                self._queue_not_empty.clear()
                await self._queue_not_empty.wait()
                continue
            call = self._queue.popleft()
            if not call.is_waiting:
                continue  # it reached its timeout, was reset, or its connection ended
            call.cancel_queue_timeout()
            cost = 1 + self._update(call.since).entry_count / self._capacity.entries_per_unit
            idle_from_s = max(idle_from_s, call.queued_at_s) + cost / self._capacity.calls_per_s
            await asyncio.sleep(max(0.0, idle_from_s - monotonic()))
            if call.is_waiting:
                self._respond(call)

    def _respond(self, call: DiscoveryConnection) -> None:
        call.stop_waiting()
        update = self._update(call.since)
        self.counts.snapshots += update.is_snapshot
        if call.since is None:
            call.respond(update.text)
            return
        watch = self._watches[call] = _Watch(call)
        call.start_watch_response(update.text + b"\n")
        watch.written_ns[self.generation] = monotonic_ns()

    def _update(self, since: int | None) -> _Update:
        """Return the changes after generation `since` if they are in the history, else a snapshot."""
        if since not in self._updates:
            oldest = self._history[0][0] - 1 if self._history else self.generation
            if since is not None and oldest <= since <= self.generation:
                merged: dict[str, EndpointRow] = {}
                for generation, changed in self._history:
                    if generation > since:
                        merged.update((row["instanceId"], row) for row in changed)
                rows, is_snapshot = list(merged.values()), False
            else:
                rows, is_snapshot = list(self.rows.values()), True
            self._updates[since] = _Update(self._encode(is_snapshot, rows), len(rows), is_snapshot)
        return self._updates[since]

    def _encode(self, is_snapshot: bool, rows: list[EndpointRow]) -> bytes:
        update: dict[str, Any] = {
            "generation": self.generation,
            "reset": is_snapshot,
            "instances": rows,
        }
        return json.dumps(update).encode()

    async def _send_heartbeats(self) -> None:
        heartbeat = chunk(b"\n")
        while True:
            await asyncio.sleep(self._heartbeat_s)
            for watch in self._watches.values():
                watch.call.write(heartbeat)
            self.counts.heartbeat_bytes += len(heartbeat) * len(self._watches)
