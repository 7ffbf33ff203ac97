"""Small stand-ins for hosts, discovery, clients and the platform, on loopback sockets and the real clock.

They use only the standard library and share no code with the gateway.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit statuses of a case: the rule was broken, the rule held, the case could not run."""
MS = 1_000_000
HEARTBEAT_S = 2.0


class CannotRunError(Exception):
    """The case could not run as planned, so that it says nothing about the rule."""


def trouble() -> bool:
    """Whether the disruption is wanted: `TROUBLE=0` plays the same without it."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of `record.txt`, each with the time in seconds since the start of the case."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


class Message(NamedTuple):
    """A request or a response: first line, headers by lower-case name, body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message that is framed by Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(first_line, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


class Arrival(NamedTuple):
    """A request whose last byte has arrived at a host."""

    at: float
    host: str
    request_id: str
    first_line: str
    key: str


class Host:
    """A host with one attempt per connection; it answers every request after `delay_s`."""

    def __init__(self, record: Record, name: str, zone: str = "zona-uno", delay_s: float = 0.02) -> None:
        self.record, self.name, self.zone, self.delay_s = record, name, zone, delay_s
        self.arrivals: list[Arrival] = []
        self.lifecycle = "in_service"
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Host:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "node-std",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def served(self, arrival: Arrival) -> bytes:
        """Return the answer to a request that was run; its body names the request."""
        body = b"done by " + self.name.encode() + b" for " + arrival.request_id.encode()
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            'X-Server-Load: {"util":0.10,"inflight":1}\r\n\r\n'
        )
        return head.encode() + body

    async def answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.delay_s)
        writer.write(self.served(arrival))
        await writer.drain()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                message = await read_message(reader)
                arrival = Arrival(
                    self.record.now(),
                    self.name,
                    message.headers.get("x-request-id", ""),
                    message.first_line,
                    message.headers.get("idempotency-key", ""),
                )
                self.arrivals.append(arrival)
                self.record.add(f"host {self.name} got {arrival.request_id} {message.first_line}")
                await self.answer(arrival, writer)
        self._writers.discard(writer)
        writer.close()


class Discovery:
    """Discovery as the protocol page describes it: a whole list, watches with changes, a heartbeat."""

    def __init__(self, record: Record, hosts: list[Host], generation: int = 41) -> None:
        self.record, self.generation = record, generation
        self.rows = {host.name: host.entry() for host in hosts}
        self.changes: list[tuple[int, list[dict[str, Any]]]] = []
        self.first_answer: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] | None = None
        """Writes the first object of a watch instead of the stand-in, for an answer that is slow."""
        self.indent: int | None = None
        self.address = ""
        self.calls = 0
        self.down = False
        self.history = True
        """Whether a watch begins with the changes since its version; otherwise with the whole list."""
        self._watches: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self._watches.clear()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    def encode(self, generation: int, reset: bool, rows: list[dict[str, Any]]) -> bytes:
        document = {"generation": generation, "reset": reset, "instances": rows}
        return json.dumps(document, indent=self.indent).encode() + b"\n"

    def publish(self, *rows: dict[str, Any]) -> None:
        """Publish changed entries, at once on every open watch."""
        self.generation += 1
        self.changes.append((self.generation, list(rows)))
        for row in rows:
            if row["lifecycle"] == "terminated":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
            self.record.add(f"discovery has {row['instanceId']} {row['lifecycle']} as {self.generation}")
        text = self.encode(self.generation, False, list(rows))
        for writer in self._watches:
            writer.write(chunk(text))

    def first_object(self, since: int) -> bytes:
        oldest = self.changes[0][0] - 1 if self.changes else self.generation
        if self.history and oldest <= since <= self.generation:
            merged: dict[str, dict[str, Any]] = {}
            for generation, rows in self.changes:
                if generation > since:
                    merged.update((row["instanceId"], row) for row in rows)
            return self.encode(self.generation, False, list(merged.values()))
        return self.encode(self.generation, True, list(self.rows.values()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            request = await read_message(reader)
            target = request.first_line.split()[1]
            self.calls += 1
            self.record.add(f"discovery was called: {target}")
            if self.down:
                writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            elif "watch=1" in target:
                await self._watch(reader, writer, int(target.partition("from=")[2] or 0))
            else:
                text = self.encode(self.generation, True, list(self.rows.values()))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        self._watches.discard(writer)
        self._connections.discard(writer)
        with suppress(OSError):
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, since: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = self.first_object(since)
        if self.first_answer is None:
            writer.write(chunk(text))
        else:
            await self.first_answer(writer, text)
        self._watches.add(writer)
        loop = asyncio.get_running_loop()
        beat = loop.call_later(HEARTBEAT_S, self._beat, writer)
        try:
            await reader.read()
        finally:
            beat.cancel()

    def _beat(self, writer: asyncio.StreamWriter) -> None:
        if writer in self._watches:
            writer.write(chunk(b"\n"))
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self._beat, writer)


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


SETTINGS: dict[str, Any] = {
    "az": 0,
    "zones": ["zona-uno", "zona-diez"],
    "flavors": ["node-fast", "node-std"],
    "my-number": 0,
    "replicas-of-me": 2,
    "round-ns": 4 * MS,
    "discovery": "on_request",
    "family": "proxy",
    "weights": "nominal",
    "load-report": {"columns": ["utilization", "outstanding"], "source": "inline"},
    "realms": [
        {"allowance-per-s": 580.0, "name": "marimba", "portion": 0.5},
        {"allowance-per-s": 580.0, "name": "folklorica", "portion": 0.5},
    ],
    "over-share-worth": 0.05,
    "caps": {
        "cancel": True,
        "max-attempts": 4,
        "may-duplicate": False,
        "dial-timeout-ns": 100 * MS,
        "conn-idle-ns": 30_000 * MS,
        "open-cap": 20_000,
        "retry-after": True,
        "max-retry-after-ns": 1000 * MS,
        "peers": False,
        "probes": False,
    },
    "rules": {
        "answer-slack-ns": 16 * MS,
        "ask-within-ns": 10_000 * MS,
        "cold-from": 0.12,
        "drain-grace-ns": 2500 * MS,
        "fall-ns": 2000 * MS,
        "overload-factor": 2.5,
        "warm-within-ns": 23_000 * MS,
    },
    "goal": {"whole": 0.25, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.45},
    "prices": {"cross-zone": 0.03, "handshake": 0.02, "late-fail": 0.033, "waste": 0.028},
    "request-classes": [
        {
            "name": "preview",
            "credit": 1.0,
            "effect": "read_like",
            "slo-ns": 200 * MS,
            "give-up-ns": 500 * MS,
            "late-value": 0.0,
        },
        {
            "name": "licence-request",
            "credit": 10.0,
            "effect": "idempotency_key",
            "group": "zone",
            "slo-ns": 400 * MS,
            "give-up-ns": 1000 * MS,
            "window-ns": 2000 * MS,
            "late-value": 0.0,
        },
    ],
}
"""The settings of a small deployment, with the figures of the site file of `archivo-central`."""


def make_configuration(
    hosts: list[Host], discovery: str, listen: str, sockets: int, memory_mb: int, number: int, **settings: Any
) -> dict[str, Any]:
    """Return the configuration of gateway `number`; the gateways take turns over the zones."""
    return {
        "name": f"n{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{int.from_bytes(os.urandom(8)):x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"generation": 41, "reset": True, "instances": [host.entry() for host in hosts]},
        "settings": {**SETTINGS, "my-number": number, "az": number % 2, **settings},
    }


class GatewayProcess:
    """One gateway, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, configuration: dict[str, Any], directory: str) -> None:
        self.record, self.configuration = record, configuration
        self.path = Path(directory) / "config.json"
        self.host, port = configuration["listen"].split(":")
        self.port = int(port)
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.peak_memory_mb = 0.0
        """Largest private memory of the process so far, without the pages of files and libraries."""
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> GatewayProcess:
        self.path.write_text(json.dumps(self.configuration))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "EDGE_NAME": self.configuration["name"],
            "EDGE_LISTEN": self.configuration["listen"],
            "EDGE_DISCOVERY": self.configuration["discovery"],
            "EDGE_CONFIG": str(self.path),
            "TMPDIR": str(self.path.parent),
        }
        environment.pop("PYTHONPATH", None)  # of the case, not of the gateway
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._tasks = [asyncio.create_task(self._read_log()), asyncio.create_task(self._watch_memory())]
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRunError("the gateway ended at its start: " + " | ".join(self.log[-3:]))
            with suppress(OSError, asyncio.IncompleteReadError):
                if await self._is_ready():
                    self.record.add(f"gateway {self.process.pid} is ready")
                    return self
            await asyncio.sleep(0.1)
        raise CannotRunError("the gateway was not ready within 30 s")

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            return (await read_message(reader)).status == 200
        finally:
            writer.close()

    async def _read_log(self) -> None:
        assert self.process is not None
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode(errors="replace").rstrip())

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.record.add(f"gateway {self.process.pid} gets {number.name}")
            self.process.send_signal(number)

    async def _watch_memory(self) -> None:
        assert self.process is not None
        while self.process.returncode is None:
            with suppress(OSError):
                for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                    if line.startswith("RssAnon:"):
                        self.peak_memory_mb = max(self.peak_memory_mb, int(line.split()[1]) / 1024)
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await asyncio.gather(*self._tasks)


def free_address() -> str:
    """Return a loopback address whose port was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def request(request_id: str, class_name: str = "preview", timeout_ms: int = 500, **more: Any) -> bytes:
    """Return a request of a client as the protocol page shows it."""
    body: bytes = more.get("body", b"")
    method = "GET" if class_name == "preview" else "POST"
    head = (
        f"{method} /{class_name}/item HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {class_name}\r\nX-Tenant-Id: {more.get('tenant', 'marimba')}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\n"
    )
    if method == "POST":
        head += f"Idempotency-Key: k-{request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Stage:
    """The parts of a case, which end in reverse order."""

    def __init__(self, record: Record, directory: str) -> None:
        self.record, self.directory = record, directory
        self._parts: list[Host | Discovery | GatewayProcess] = []
        self._gateway_count = 0

    async def hosts(self, count: int, delay_s: float = 0.02, kind: type[Host] = Host) -> list[Host]:
        """Start this number of hosts, in turn in one zone and the other."""
        hosts = []
        for index in range(count):
            host = kind(self.record, f"s-{index}", SETTINGS["zones"][index % 2], delay_s)
            hosts.append(await host.start())
        self._parts += hosts
        return hosts

    async def discovery(self, hosts: list[Host]) -> Discovery:
        discovery = await Discovery(self.record, hosts).start()
        self._parts.append(discovery)
        return discovery

    async def gateway(
        self, hosts: list[Host], discovery: Discovery, sockets: int, memory_mb: int, **settings: Any
    ) -> GatewayProcess:
        """Start one gateway and wait until it is ready."""
        number, self._gateway_count = self._gateway_count, self._gateway_count + 1
        configuration = make_configuration(
            hosts, discovery.address, free_address(), sockets, memory_mb, number, **settings
        )
        directory = tempfile.mkdtemp(dir=self.directory)
        gateway = GatewayProcess(self.record, configuration, directory)
        self._parts.append(gateway)
        return await gateway.start()

    def exceeds_memory(self) -> bool:
        """Record the peak memory of each gateway, and whether one was over its limit or has ended."""
        exceeds = False
        for part in self._parts:
            if isinstance(part, GatewayProcess) and part.process is not None:
                name, limit_mb = part.configuration["name"], part.configuration["limits"]["memory_mb"]
                is_over = part.peak_memory_mb > limit_mb or part.process.returncode is not None
                exceeds = exceeds or is_over
                self.record.add(
                    f"{name}: peak of the private memory {part.peak_memory_mb:.0f} MB, limit {limit_mb} MB"
                    f"{', over the limit' if is_over else ''}; exit status {part.process.returncode}"
                )
        return exceeds

    async def end(self) -> None:
        for part in reversed(self._parts):
            await part.stop()


def main(directory: Path, play: Callable[[Stage], Awaitable[int]]) -> None:
    """Run a case, write its record and exit with its status."""
    record = Record()

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        faults: list[str] = []  # of tasks that nobody awaits, such as the handlers of the stand-ins
        loop.set_exception_handler(
            lambda _, context: faults.append(f"{context['message']}: {context.get('exception')!r}")
        )
        with tempfile.TemporaryDirectory() as temporary:
            stage = Stage(record, temporary)
            try:
                status = await asyncio.wait_for(play(stage), 105)
            finally:
                await stage.end()
        if faults:
            raise CannotRunError("a stand-in failed: " + " | ".join(faults[:3]))
        return status

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case says nothing about the rule
        record.add(f"could not run: {error!r}")
        status = NOT_RUN
    record.add(f"exit status {status}")
    record.write(directory / "record.txt")
    print("\n".join(line[10:] for line in record.lines[-3:]))
    sys.exit(status)
