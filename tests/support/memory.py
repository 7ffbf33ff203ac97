"""Gateway processes with the least memory and 1,024 descriptors, and the peak of their private memory."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.support.loopback import Client, FakeDiscovery, FakeEndpoint, request
from tests.support.processes import connect, start_gateway, write_config

MEMORY_MB = 32
SOCKETS = 1024
CROWD = 520
"""Connections of a crowd: close to the number of clients that a gateway with `SOCKETS` descriptors takes."""
MAX_BODY_BYTES = 64 * 1024
SAMPLE_INTERVAL_S = 0.005
SMALL_RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of a peer that does not read, so that the system holds little of what it is sent."""


class PeakMemory:
    """Samples the private memory of a process, without the pages of files and libraries, until it ends."""

    def __init__(self, process_id: int) -> None:
        self._status_path = Path(f"/proc/{process_id}/status")
        self._stopped = threading.Event()
        self.start_mb = self.peak_mb = self._read_mb()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def stop(self) -> float:
        """Stop sampling; return the peak in MB."""
        self._stopped.set()
        self._thread.join()
        return self.peak_mb

    def _read_mb(self) -> float:
        for line in self._status_path.read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            with suppress(OSError):
                self.peak_mb = max(self.peak_mb, self._read_mb())


class LimitedGateway:
    """A gateway process with `MEMORY_MB` and `SOCKETS`, with fake endpoints and a fake discovery server."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.discovery = FakeDiscovery()
        self.address = ("", 0)
        self.log: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._memory: PeakMemory | None = None

    async def start(self, *endpoints: FakeEndpoint, **settings: Any) -> LimitedGateway:
        """Start the gateway; `settings` replace keys of its settings."""
        await self.discovery.start()
        for endpoint in endpoints:
            await endpoint.start()
        config = write_config(self._path / "config", self.discovery, *endpoints)
        config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
        config["settings"] = {**config["settings"], **settings}
        (self._path / "config").write_text(json.dumps(config))
        self._process, self.address = await start_gateway(self._path / "config", SOCKETS)
        self._log_reader = asyncio.create_task(self._read_log())
        self._memory = PeakMemory(self._process.pid)
        return self

    async def _read_log(self) -> None:
        assert self._process is not None
        assert self._process.stderr is not None
        async for line in self._process.stderr:
            self.log.append(line.decode())

    async def connect(self) -> Client:
        """Open a new connection to the gateway."""
        return await connect(self.address)

    async def crowd(self, data: Callable[[int], bytes], count: int = CROWD) -> list[socket.socket]:
        """Open connections that each send some bytes, as far as the gateway takes them, and read nothing."""
        return list(await asyncio.gather(*(self._open_peer(data(number)) for number in range(count))))

    async def _open_peer(self, data: bytes) -> socket.socket:
        loop = asyncio.get_running_loop()
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        peer.setblocking(False)
        with suppress(OSError, TimeoutError):
            await loop.sock_connect(peer, self.address)
            await asyncio.wait_for(loop.sock_sendall(peer, data), 1.0)
        return peer

    async def is_serving(self) -> bool:
        """Whether a new client gets a response to a request, within a few attempts."""
        for attempt in range(20):
            with suppress(OSError, asyncio.IncompleteReadError):
                client = await self.connect()
                status, _, _ = await client.exchange(request(request_id=f"after-{attempt}"))
                client.writer.close()
                if status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    async def peak_mb(self, until: Awaitable[Any] | None = None) -> float:
        """Await `until`, check that the gateway runs and serves, stop it and return its peak memory."""
        assert self._process is not None
        assert self._memory is not None
        assert self._log_reader is not None
        if until is not None:
            await until
        assert self._process.returncode is None
        assert await self.is_serving()
        peak_mb = self._memory.stop()
        self._process.kill()
        await self._process.wait()
        await self._log_reader
        print(f"private memory: {self._memory.start_mb:.1f} MB at the start, peak {peak_mb:.1f} MB")
        return peak_mb
