"""Stand-ins for hosts, discovery, the platform and clients, and the record of a case; standard library only.

All of them run in the process of the case, on loopback addresses and the real clock.  Gateways are processes
of their own, started by the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case plays its disruption."""
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
HEARTBEAT_S = 2.0
START_TIMEOUT_S = 30.0
HARD_LIMIT_S = 110.0


class NotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line an event, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._path = path
        self._lines: list[str] = []
        self.failures: list[str] = []
        """Unexpected errors of the stand-ins, with which a play says nothing about the rule."""

    def now(self) -> float:
        return time.monotonic() - self._started

    def add(self, text: str, at: float | None = None) -> None:
        self._lines.append(f"{self.now() if at is None else at:9.4f} {text}")

    def write(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


class Message:
    """A request as a host received it."""

    def __init__(self, head: bytes, body: bytes, at: float) -> None:
        first, *rest = head.split(b"\r\n")
        self.method, self.target, _ = first.decode("latin-1").split(" ", 2)
        pairs = (line.decode("latin-1").partition(":") for line in rest)
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}
        self.body = body
        self.at = at
        """Arrival of the last byte, on the clock of the record."""

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


Behaviour = Callable[["HostConnection", Message], Coroutine[Any, Any, None]]


class HostConnection(asyncio.Protocol):
    """A connection from a gateway to a host."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self._received = b""
        self._tasks: set[asyncio.Task[None]] = set()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.host.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - required by asyncio
        self.host.connections.discard(self)
        for task in self._tasks:
            task.cancel()  # the work stops when its request is cancelled

    def data_received(self, data: bytes) -> None:
        self._received += data
        while True:
            head, separator, rest = self._received.partition(b"\r\n\r\n")
            if not separator:
                return
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            if len(rest) < length:
                return
            self._received = rest[length:]
            message = Message(head, rest[:length], self.host.record.now())
            self.host.arrivals.append(message)
            self.host.record.add(
                f"host {self.host.name} got {message.request_id}"
                f" timeout-ms={message.headers.get('x-timeout-ms')}",
                message.at,
            )
            task = asyncio.get_running_loop().create_task(self.host.behaviour(self, message))
            self._tasks.add(task)
            task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.host.record.failures.append(f"host {self.host.name}: {task.exception()!r}")

    def answer(self, message: Message, status: int, body: bytes, extra: str = "") -> None:
        """Send a complete answer with the load report that the settings name."""
        if self.transport.is_closing():
            return
        report = '{"utilization":0.2,"outstanding":1}'
        head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\nX-Server-Load: {report}\r\n{extra}\r\n"
        self.transport.write(head.encode() + body)
        self.host.record.add(f"host {self.host.name} answered {message.request_id} {status}")

    def reset(self) -> None:
        """End the connection with a TCP reset."""
        raw = self.transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Host:
    """A host: `behaviour` runs for each request that has arrived completely."""

    def __init__(self, name: str, zone: str, cell: int, record: Record, behaviour: Behaviour) -> None:
        self.name, self.zone, self.cell = name, zone, cell
        self.record = record
        self.behaviour = behaviour
        self.arrivals: list[Message] = []
        self.connections: set[HostConnection] = set()
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0, backlog=256)
        self.address = self._server.sockets[0].getsockname()[:2]

    def row(self, lifecycle: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """Return the entry of the host in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "machineType": "node-std",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
        }

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Discovery:
    """Discovery: the whole list, and watches with a heartbeat each 2 s."""

    def __init__(self, rows: list[dict[str, Any]], record: Record) -> None:
        self.rows = {row["instanceId"]: row for row in rows}
        self.generation = 41
        self.calls = 0
        self.address = ""
        self.separators = (",", ":")
        """Of the values in a list; JSON allows spaces there."""
        self._record = record
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._beat = asyncio.get_running_loop().create_task(self._send_heartbeats())

    @property
    def watches(self) -> int:
        return len(self._watches)

    def known(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def publish(self, rows: list[dict[str, Any]]) -> None:
        """Tell changed entries on every watch."""
        self.generation += 1
        for row in rows:
            if row["lifecycle"] == "terminated":
                self.rows.pop(row["instanceId"], None)
            else:
                self.rows[row["instanceId"]] = row
        update = {"generation": self.generation, "reset": False, "instances": rows}
        self._record.add(f"discovery tells {json.dumps(update)}")
        for writer in self._watches:
            writer.write(_chunk(json.dumps(update).encode() + b"\n"))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1].decode()
                self.calls += 1
                text = json.dumps(self.known(), separators=self.separators).encode()
                if "watch=1" not in target:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(text + b"\n"))
                self._watches.add(writer)
                self._record.add(f"discovery: watch {target} gets the whole list")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self._watches:
                writer.write(_chunk(b"\n"))

    def close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Gateway:
    """A gateway process, started by the `run` command of the deploy file."""

    def __init__(self, number: int, folder: Path, record: Record) -> None:
        self.name = f"n{number}"
        self.address = ("127.0.0.1", free_port())
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self._folder = folder / self.name
        self._folder.mkdir()
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        assert self._process is not None
        return self._process.returncode

    @property
    def log_path(self) -> Path:
        return self._folder / "log"

    async def start(self, settings: dict[str, Any], discovery: Discovery) -> None:
        """Start the process and wait until it is ready."""
        listen = f"{self.address[0]}:{self.address[1]}"
        config = self._folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": listen,
                    "discovery": discovery.address,
                    "seed": os.urandom(8).hex(),
                    "limits": self.limits,
                    "known": discovery.known(),
                    "settings": settings,
                }
            )
        )
        scratch = Path(tempfile.mkdtemp(dir=self._folder))
        command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": listen,
            "EDGE_DISCOVERY": discovery.address,
            "EDGE_CONFIG": str(config),
            "EDGE_TRACE": "all",
            "TMPDIR": str(scratch),
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.add(f"gateway {self.name} started at {listen}")
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self._process.returncode is None:
            if await self._is_ready():
                self._record.add(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f"gateway {self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
            return (await reader.read(4096)).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record.add(f"platform sends {number.name} to {self.name}")
        self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Answer:
    """An answer as a client received it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, at: float) -> None:
        self.status, self.headers, self.body, self.at = status, headers, body, at


class Client:
    """A client connection to a gateway."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record = record
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, gateway: Gateway, record: Record) -> Client:
        return cls(record, *await asyncio.open_connection(*gateway.address))

    def send(self, data: bytes, *ids: str) -> float:
        """Send bytes and return the time; `ids` are the requests in them."""
        self._writer.write(data)
        at = self._record.now()
        for request_id in ids:
            self._record.add(f"client sent {request_id}", at)
        return at

    async def receive(self, request_id: str = "") -> Answer:
        """Return the next answer; raises IncompleteReadError if the connection ends before its last byte."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in rest)}
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        answer = Answer(int(first.split(" ")[1]), headers, body, self._record.now())
        self._record.add(f"client got {answer.status} for {request_id}: {body[:40]!r}", answer.at)
        return answer

    def close(self) -> None:
        self._writer.close()


def request_bytes(
    class_name: str,
    request_id: str,
    timeout_ms: int,
    tenant: str = "marimba",
    key: str | None = None,
    body: bytes | None = None,
    close: bool = False,
) -> bytes:
    """Return a request in the form of the protocol page: GET, or POST where there is a key or a body."""
    lines = [
        f"{'GET' if key is None and body is None else 'POST'} /{class_name}/x HTTP/1.1",
        "Host: app.svc",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {class_name}",
        f"X-Tenant-Id: {tenant}",
        f"X-Timeout-Ms: {timeout_ms}",
    ]
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if key is not None or body is not None:
        lines.append(f"Content-Length: {len(body or b'')}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def settings(number: int = 0, replicas: int = 1, **changes: Any) -> dict[str, Any]:
    """Return settings like those of archivo-central; `changes` replace keys at the top."""
    values: dict[str, Any] = {
        "az": 0,
        "zones": ["zona-uno", "zona-diez"],
        "flavors": ["node-fast", "node-std"],
        "my-number": number,
        "replicas-of-me": replicas,
        "round-ns": 4 * MS,
        "discovery": "on_request",
        "family": "proxy",
        "family-info": {"warm-keys": True},
        "callers": {"marks-retry": False},
        "weights": "nominal",
        "load-report": {"columns": ["utilization", "outstanding"], "source": "inline"},
        "realms": [{"allowance-per-s": 400.0, "name": "marimba", "portion": 1.0}],
        "over-share-worth": 0.05,
        "caps": {
            "cancel": True,
            "conn-idle-ns": 30_000 * MS,
            "dial-timeout-ns": 100 * MS,
            "max-attempts": 4,
            "max-retry-after-ns": 1_000 * MS,
            "may-duplicate": False,
            "open-cap": 20_000,
            "peers": False,
            "probes": False,
            "retry-after": True,
            "streams-per-conn": 1,
        },
        "rules": {
            "answer-slack-ns": 16 * MS,
            "ask-within-ns": 10_000 * MS,
            "cold-from": 0.12,
            "drain-grace-ns": 2_500 * MS,
            "fall-ns": 2_000 * MS,
            "overload-factor": 2.5,
            "warm-within-ns": 23_000 * MS,
        },
        "value-by": "work",
        "goal": {"whole": 0.25, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.45},
        "prices": {"cross-zone": 0.03, "handshake": 0.02, "late-fail": 0.033, "waste": 0.028},
        "request-classes": [preview(), licence_request()],
    }
    return values | changes


def preview(**changes: Any) -> dict[str, Any]:
    """Return the class `preview` of archivo-central."""
    return {
        "name": "preview",
        "credit": 1.0,
        "effect": "read_like",
        "give-up-ns": 500 * MS,
        "slo-ns": 200 * MS,
        "late-value": 0.0,
        "stream": False,
    } | changes


def licence_request(**changes: Any) -> dict[str, Any]:
    """Return the class `licence-request` of archivo-central."""
    return {
        "name": "licence-request",
        "credit": 10.0,
        "effect": "idempotency_key",
        "group": "zone",
        "give-up-ns": 1_000 * MS,
        "slo-ns": 400 * MS,
        "late-value": 0.0,
        "stream": False,
        "window-ns": 2_000 * MS,
    } | changes


class Stage:
    """The parts of a case, which all end with it."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.gateways: list[Gateway] = []
        self.hosts: list[Host] = []
        self.discoveries: list[Discovery] = []

    async def add_hosts(self, count: int, behaviour: Behaviour, zone: str = "zona-uno") -> list[Host]:
        added = []
        for _ in range(count):
            name = f"s-{len(self.hosts):04x}"
            host = Host(name, zone, len(self.hosts) // 6, self.record, behaviour)
            await host.start()
            self.hosts.append(host)
            added.append(host)
        return added

    async def add_discovery(self) -> Discovery:
        discovery = Discovery([host.row() for host in self.hosts], self.record)
        await discovery.start()
        self.discoveries.append(discovery)
        return discovery

    def add_gateway(self) -> Gateway:
        gateway = Gateway(len(self.gateways), self.folder, self.record)
        self.gateways.append(gateway)
        return gateway

    async def close(self) -> None:
        for gateway in self.gateways:
            await gateway.kill()
        for part in (*self.hosts, *self.discoveries):
            part.close()


def play(case_folder: Path, script: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Run a case, write its record, and exit with its status; `script` returns the breaks that it saw."""
    record = Record(case_folder / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    def on_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        record.failures.append(f"{context.get('message')}: {context.get('exception')!r}")

    async def run() -> list[str]:
        asyncio.get_running_loop().set_exception_handler(on_loop_error)
        stage = Stage(folder, record)
        try:
            breaks = await asyncio.wait_for(script(stage), HARD_LIMIT_S)
            ended = [gateway.name for gateway in stage.gateways if gateway.exit_code is not None]
            if ended:
                raise NotRunError(f"a gateway has ended by itself: {', '.join(ended)}")
        finally:
            await stage.close()
        if record.failures:
            raise NotRunError(f"a stand-in failed: {record.failures[0]}")
        return breaks

    status = NOT_RUN
    try:
        record.add(f"TROUBLE={int(TROUBLE)}")
        breaks = asyncio.run(run())
        for text in breaks:
            record.add(f"BROKEN: {text}")
            print(f"broken: {text}")
        status = RULE_BROKEN if breaks else RULE_HELD
        record.add("the rule was broken" if breaks else "the rule held")
        print("the rule was broken" if breaks else "the rule held")
    except Exception as error:  # whatever it is, it says nothing about the rule
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        record.write()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
