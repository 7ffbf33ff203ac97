"""Plays one seed of the soak: two gateways are stopped and restarted one after the other, under traffic."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from ..gateway_process import MODULE_COMMAND, GatewayProcess
from ..registry import FakeDiscoveryServer
from ..reserved_address import ReservedAddress
from .checks import Kill, Violation, find_violations
from .clients import Clients, Gateway
from .endpoints import RecordingEndpoints
from .scenario import KILL_MARGIN_S, MEMORY_MB, SOCKETS, Scenario, SignalStep, make_settings

__all__ = ["SoakReport", "play"]

ENDPOINTS = 4
CALM_S = 0.3
"""Time of traffic before the first signal and after each restart, seconds."""
RELOAD_MIN_AGE_S = 1.1
"""Age of a process from which it may get SIGHUP, seconds."""
FRONT_DELAY_S = (0.2, 0.4)
"""Range of the time after SIGTERM in which new connections still come, seconds."""
MEMORY_INTERVAL_S = 0.02


@dataclass
class SoakReport:
    """The result of one seed."""

    seed: int
    requests: int = 0
    served: int = 0
    peak_mb: float = 0.0
    """Highest private memory of a gateway process."""
    violations: list[Violation] = field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"seed {self.seed}: {self.requests} requests, {self.served} served, "
            f"peak {self.peak_mb:.1f} MB, {len(self.violations)} violations"
        )


class _Replica:
    """A gateway process, its address and its signals."""

    def __init__(self, number: int, directory: Path, configuration: dict[str, Any]) -> None:
        self._reserved = ReservedAddress()
        host, port = self._reserved.address
        self.view = Gateway(f"n{number}", self._reserved.address)
        self.kills: list[Kill] = []
        self.crashes: list[Violation] = []
        self.peak_mb = 0.0
        self._path = directory / f"{self.view.name}.json"
        self._configuration = {**configuration, "name": self.view.name, "listen": f"{host}:{port}"}
        self._process: GatewayProcess | None = None
        self._memory_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._path.write_text(json.dumps(self._configuration))
        self._process = GatewayProcess(MODULE_COMMAND, self._path)
        await self._process.start()
        self._memory_task = asyncio.create_task(self._watch_memory(self._process.psutil_process.pid))
        self.view.takes_connections = True

    async def stop(self, steps: tuple[SignalStep, ...], kill_after_s: float, random: Random) -> None:
        """Send a series of signals, then SIGKILL `kill_after_s` after SIGTERM."""
        assert self._process is not None
        loop = asyncio.get_running_loop()
        terminated_at = loop.time() - steps[0].after_s
        front = asyncio.create_task(self._leave_front(terminated_at + random.uniform(*FRONT_DELAY_S)))
        for step in steps:
            await _sleep_until(terminated_at + step.after_s)
            if step.after_s < 0 and self._process.returncode is not None:
                self.crashes.append(Violation("the process ended by itself", self.view.name))
            if self._process.returncode is None:
                with suppress(ProcessLookupError):  # it has ended in this moment
                    self._process.signal(step.number)
        await _sleep_until(terminated_at + kill_after_s)
        await front
        if self._process.returncode is None:
            self.kills.append(Kill(self.view.name, self.view.incarnation))
        elif self._process.returncode != 0:
            status = f"{self.view.name} ended with {self._process.returncode}"
            self.crashes.append(Violation("the process ended by itself", status))
        await self.end()
        self.view.incarnation += 1

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None:
            await self._process.kill()
        if self._memory_task is not None:
            await self._memory_task

    def release_address(self) -> None:
        """Give the address back; the process cannot be started again."""
        self._reserved.release()

    async def _leave_front(self, at: float) -> None:
        await _sleep_until(at)
        self.view.takes_connections = False

    async def _watch_memory(self, process_id: int) -> None:
        path = Path(f"/proc/{process_id}/status")
        with suppress(OSError):  # the process has ended
            while lines := [line for line in path.read_text().splitlines() if line.startswith("RssAnon:")]:
                self.peak_mb = max(self.peak_mb, int(lines[0].split()[1]) / 1024)
                await asyncio.sleep(MEMORY_INTERVAL_S)


async def play(scenario: Scenario) -> SoakReport:
    """Play a scenario and check its requests."""
    random = Random(f"play {scenario.seed}")
    endpoints = RecordingEndpoints(random, scenario.unanswered_share)
    entries = await endpoints.start(ENDPOINTS)
    discovery = await FakeDiscoveryServer(entries).start()  # type: ignore[arg-type]
    with tempfile.TemporaryDirectory() as directory:
        configuration = {
            "discovery": discovery.address,
            "seed": f"{scenario.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"generation": 1, "reset": True, "instances": entries},
            "settings": make_settings(scenario),
        }
        replicas = [_Replica(number, Path(directory), configuration) for number in range(2)]
        try:
            return await _play_replicas(scenario, random, endpoints, replicas)
        finally:
            for replica in replicas:
                await replica.end()
                replica.release_address()
            await discovery.close()
            endpoints.close()


async def _play_replicas(
    scenario: Scenario, random: Random, endpoints: RecordingEndpoints, replicas: list[_Replica]
) -> SoakReport:
    for replica in replicas:
        await replica.start()

    def choose() -> Gateway | None:
        views = [replica.view for replica in replicas if replica.view.takes_connections]
        return random.choice(views) if views else None

    clients = Clients(random, scenario.longest_timeout_s, choose)
    clients.start(scenario.clients)
    await asyncio.sleep(RELOAD_MIN_AGE_S)
    for replica, steps in zip(replicas, scenario.series, strict=True):
        await asyncio.sleep(CALM_S)
        crowd = await _open_crowd(replica.view.address, scenario.crowd)
        await replica.stop(steps, scenario.longest_timeout_s + KILL_MARGIN_S, random)
        for peer in crowd:
            peer.close()
        await replica.start()
    await asyncio.sleep(CALM_S)
    await clients.end()
    report = SoakReport(scenario.seed, len(clients.results))
    report.served = sum(result.status == 200 for result in clients.results)
    report.peak_mb = max(replica.peak_mb for replica in replicas)
    kills = [kill for replica in replicas for kill in replica.kills]
    report.violations = find_violations(clients.results, endpoints.arrivals, kills, clients.max_lag_s)
    report.violations += [crash for replica in replicas for crash in replica.crashes]
    if report.peak_mb > MEMORY_MB:
        report.violations.append(Violation("memory over the limit", f"{report.peak_mb:.1f} MB"))
    return report


async def _open_crowd(address: tuple[str, int], count: int) -> list[socket.socket]:
    """Open connections that each send a part of a request with a large body, and stay."""
    loop = asyncio.get_running_loop()
    body_bytes = 60_000
    peers = []
    for number in range(count):
        peer = socket.socket()
        peer.setblocking(False)
        peers.append(peer)
        head = f"POST /once/crowd HTTP/1.1\r\nX-Request-ID: crowd-{number}\r\nContent-Length: 65000\r\n\r\n"
        with suppress(OSError, TimeoutError):
            await loop.sock_connect(peer, address)
            async with asyncio.timeout(0.2):
                await loop.sock_sendall(peer, head.encode() + bytes(body_bytes))
    return peers


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
