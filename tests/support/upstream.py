"""Harness for tests of `Upstream` alone, and the listening sockets that it connects to."""

from __future__ import annotations

import asyncio
import socket

from balancer import MS, SECOND, EndpointEntry, EndpointState, Outcome
from gateway.discovery import ListedEndpoint
from gateway.memory_budget import MemoryBudget
from gateway.messages import Payload, Response
from gateway.timers import Timers, now_ns
from gateway.upstream import Attempt, Upstream
from gateway.upstream.endpoint import REUSE_DELAY_NS

REQUEST_HEAD = b"GET /read/x HTTP/1.1\r\nX-Request-ID: r1\r\n"
MAX_CONNECTIONS = 20
"""Maximum number of connections that the harness's upstream may have open."""
BUDGET_BYTES = 64 << 20


class UpstreamHarness:
    """An `Upstream` with at most one endpoint, `h0`, and the timers that expire its attempts."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.timers = Timers(loop)
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.upstream = Upstream(loop, self.timers, MAX_CONNECTIONS, 250 * MS, 15 * SECOND, self.budget)

    def update_endpoint(
        self, address: str, state: EndpointState = EndpointState.READY, started_ns: int = 0
    ) -> None:
        """Send the upstream a delta of the endpoint list with its one endpoint."""
        host, _, port = address.rpartition(":")
        entry = EndpointEntry("h0", 0, 0, 0, state, 1.0, started_ns)
        self.upstream.apply_endpoint_list(False, [ListedEndpoint(entry, (host, int(port)))])

    def start_attempt(
        self, timeout_ns: int = 9 * SECOND, body: bytes = b""
    ) -> tuple[Attempt, asyncio.Future[tuple[Outcome, Response | None]]]:
        """Start an attempt that expires after `timeout_ns`; return it and the future of its outcome."""
        result: asyncio.Future[tuple[Outcome, Response | None]] = asyncio.get_running_loop().create_future()
        now = now_ns()
        attempt = Attempt(
            "h0",
            0,
            Payload(REQUEST_HEAD + b"Content-Length: %d\r\n" % len(body), body),
            now,
            now + timeout_ns,
            lambda _, outcome, response: result.set_result((outcome, response)),
        )
        self.timers.call_at(attempt.deadline_ns, self._expire, attempt)
        self.upstream.start_attempt(attempt)
        return attempt, result

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.is_ended:
            self.upstream.expire_attempt(attempt)


def age_idle_connections(upstream: Upstream) -> None:
    """Make idle connections old enough to be reused (`REUSE_DELAY_NS`)."""
    for endpoint in upstream.endpoints.values():
        for connection in endpoint.idle:
            connection.idle_since_ns -= REUSE_DELAY_NS


def open_listener(receive_buffer: int = 0) -> socket.socket:
    """Open a non-blocking listener; `receive_buffer` is in bytes, 0 for the default of the system."""
    listener = socket.socket()
    if receive_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    return listener


def format_address(listener: socket.socket) -> str:
    """Return the address of a bound socket as `host:port`, the form that discovery uses."""
    return f"127.0.0.1:{listener.getsockname()[1]}"


def open_full_listener() -> tuple[socket.socket, list[socket.socket], str]:
    """Open a listener whose accept queue is full, so that connections to it stay pending.

    Return the listener, the sockets that fill its queue, and its address.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = []
    for _ in range(3):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        fillers.append(sock)
    return listener, fillers, format_address(listener)


def peek(sock: socket.socket) -> bytes | None:
    """Return the next unread byte without consuming it; b"" at the end of the stream, None without data."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
