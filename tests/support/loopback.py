"""Fake endpoints, discovery and clients on loopback sockets, for the tests of the gateway.

They share no code with the gateway: messages are parsed and written here independently.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack, suppress
from typing import Any

import uvloop

from balancer import Balancer
from gateway.configuration import Configuration
from gateway.dispatcher import BalancerFactory
from gateway.gateway import Gateway

TEST_TIMEOUT_S = 20.0
"""Time limit of each asynchronous test, s."""
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CLOSING_RESPONSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"
"""A response with `Connection: close`: the endpoint accepts no further request on this connection."""
SETTINGS: dict[str, Any] = {
    "az": 0,
    "zones": ["a", "b"],
    "flavors": ["m"],
    "replicas-of-me": 1,
    "round-ns": 5_000_000,
    "discovery": "on_request",
    "realms": [{"name": "acme", "portion": 1.0}],
    "caps": {
        "cancel": True,
        "max-attempts": 5,
        "may-duplicate": True,
        "dial-timeout-ns": 250_000_000,
        "conn-idle-ns": 15_000_000_000,
    },
    "rules": {"ask-within-ns": 200_000_000},  # the gateway polls discovery at once
    "request-classes": [
        {"name": "read", "give-up-ns": 6_000_000_000, "slo-ns": 6_000_000_000, "effect": "read_like"},
        {
            "name": "keyed",
            "give-up-ns": 6_000_000_000,
            "slo-ns": 6_000_000_000,
            "effect": "idempotency_key",
            "group": "all",
            "window-ns": 9_000_000_000,
        },
        {"name": "once", "give-up-ns": 6_000_000_000, "slo-ns": 6_000_000_000, "effect": "non_idempotent"},
    ],
}


def run_coroutine(function: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine function on uvloop, as the gateway does, with a time limit of `TEST_TIMEOUT_S`."""

    async def run() -> None:
        await asyncio.wait_for(function(), TEST_TIMEOUT_S)

    uvloop.run(run())


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a message framed by Content-Length; return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first_line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class ReceivedRequest:
    """A request that a `FakeEndpoint` received, with the streams of its connection."""

    def __init__(
        self,
        first_line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
        closed: asyncio.Event | None,
    ) -> None:
        self.first_line, self.headers, self.body = first_line, headers, body
        self.writer, self.reader, self._closed = writer, reader, closed

    def reply(self, data: bytes = OK_RESPONSE) -> None:
        """Write bytes to the gateway, by default a complete response."""
        self.writer.write(data)

    async def wait_closed(self) -> None:
        """Wait until the gateway has closed the connection of this request."""
        if self._closed is not None:
            await self._closed.wait()
            return
        with suppress(OSError):
            while await self.reader.read(1000):
                pass


class FakeEndpoint:
    """An endpoint that puts each request into `received`, and responds with `reply` unless that is None.

    Without a `reply` the test itself responds, and only the first request of each connection is read.
    """

    def __init__(self, name: str = "h0", reply: bytes | None = OK_RESPONSE) -> None:
        self.name = name
        self.reply = reply
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connections = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> FakeEndpoint:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        closed = asyncio.Event() if self.reply is not None else None
        try:
            while True:
                received = ReceivedRequest(*await read_message(reader), writer, reader, closed)
                self.received.put_nowait(received)
                if self.reply is None:
                    return  # the test uses the connection from here on
                received.reply(self.reply)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            if closed is not None:
                closed.set()

    def make_entry(self, lifecycle: str = "in_service", **more_fields: Any) -> dict[str, Any]:
        """Return this endpoint's entry in the endpoint list, in the JSON form of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            **more_fields,
        }


class FakeDiscovery:
    """A discovery server that puts each call into `calls`: its request line and its writer."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.address = ""

    async def start(self, bound_socket: socket.socket | None = None) -> FakeDiscovery:
        """Listen on a free port, or on a socket that is already bound."""
        server = await (
            asyncio.start_server(self._serve, "127.0.0.1", 0)
            if bound_socket is None
            else asyncio.start_server(self._serve, sock=bound_socket)
        )
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, OSError):
            request_line, _, _ = await read_message(reader)
            self.calls.put_nowait((request_line, writer))
            await reader.read()

    @staticmethod
    def start_watch_response(writer: asyncio.StreamWriter) -> None:
        """Write the head of the chunked response to a watch."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def write_watch_event(
        writer: asyncio.StreamWriter, generation: int, entries: list[dict[str, Any]], reset: bool = False
    ) -> None:
        """Write one watch event: a line of JSON, as one chunk."""
        FakeDiscovery.write_chunk(
            writer,
            json.dumps({"generation": generation, "reset": reset, "instances": entries}).encode() + b"\n",
        )

    @staticmethod
    def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write these bytes as one chunk."""
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Client:
    """A client with one connection to the gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        """Write bytes to the gateway."""
        self.writer.write(data)

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Read the next response; return its status, headers and body."""
        status_line, headers, body = await read_message(self.reader)
        return int(status_line.split()[1]), headers, body

    async def exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request; return the status, headers and body of its response."""
        self.send(data)
        return await self.read_response()


def request(
    class_name: str = "read",
    request_id: str = "r1",
    omit_header: str = "",
    body: bytes = b"",
    path: str = "/x?q=1",
    **headers: str,
) -> bytes:
    """Return a request of a client, as bytes.

    `request_id` is its X-Request-ID; `omit_header` names a header to omit; `headers` are added, with
    `_` for `-`.
    """
    lines = {
        "Host": "app.svc",
        "X-Request-ID": request_id,
        "X-Priority-Class": class_name,
        "X-Tenant-Id": "acme",
        "X-Timeout-Ms": "6000",
    }
    if class_name == "keyed":
        lines["Idempotency-Key"] = "k" + request_id
    if class_name != "read":
        lines["Content-Length"] = str(len(body))
    lines.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines.pop(omit_header, None)
    method = "GET" if class_name == "read" else "POST"
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /{class_name}{path} HTTP/1.1\r\n{head}\r\n".encode() + body


class GatewayHarness(AsyncExitStack):
    """A gateway with fake endpoints and discovery, all in the process of the test."""

    gateway: Gateway
    discovery: FakeDiscovery
    gateway_address: tuple[str, int]

    async def start(
        self,
        *endpoints: FakeEndpoint,
        entries: list[dict[str, Any]] | None = None,
        make_balancer: BalancerFactory = Balancer,
        configuration: dict[str, Any] | None = None,
        **settings: Any,
    ) -> GatewayHarness:
        """Start a gateway whose cached endpoint list holds these endpoints, or `entries` instead.

        `configuration` replaces sections of its configuration, `settings` keys of its settings;
        `make_balancer` creates its balancer.
        """
        self.discovery = await FakeDiscovery().start()
        for endpoint in endpoints:
            await endpoint.start()
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "generation": 41,
                "reset": True,
                "instances": [endpoint.make_entry() for endpoint in endpoints]
                if entries is None
                else entries,
            },
            "settings": {**SETTINGS, **settings},
            **(configuration or {}),
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(config, file)
            file.flush()
            self.gateway = Gateway(
                Configuration.read({"EDGE_CONFIG": file.name}), asyncio.get_running_loop(), make_balancer
            )
        self.gateway_address = await self.gateway.start()
        return self

    async def connect(self) -> Client:
        """Open a new connection to the gateway."""
        return Client(*await asyncio.open_connection(*self.gateway_address))


async def wait_until(condition: Callable[[], bool], step: Callable[[], Awaitable[Any]] | None = None) -> None:
    """Run the event loop until `condition` is true; await `step` between two tests of it.

    The time limit of the test ends the wait if that never happens.
    """
    while not condition():
        await (step() if step is not None else asyncio.sleep(0))
