"""Tests that a gateway process treats data read after an event loop stall as possibly old."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from balancer import MS
from gateway.client import listener
from gateway.client.read_control import ReadControl
from gateway.limited_read import READ_SIZE_BYTES
from gateway.loop_monitor import HEARTBEAT_INTERVAL_NS, HEARTBEAT_TOLERANCE_NS, LoopMonitor
from gateway.timers import Timers, now_ns
from tests.support.event_control import BlockingClient
from tests.support.loopback import (
    Client,
    FakeDiscovery,
    FakeEndpoint,
    GatewayHarness,
    request,
    wait_until,
)
from tests.support.processes import connect, start_gateway, write_config

STALL_S = 0.5
SHORT_TIMEOUT_MS = 300
"""Request timeout that is shorter than the stall."""


async def wait_until_stopped(pid: int) -> None:
    """Wait until SIGSTOP has stopped a process."""
    await wait_until(lambda: Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")


@asynccontextmanager
async def gateway(
    path: Path,
) -> AsyncGenerator[tuple[asyncio.subprocess.Process, FakeEndpoint, Client, tuple[str, int]]]:
    """Run a gateway process with one endpoint, and a client connection on which a request has been served."""
    endpoint, discovery = await FakeEndpoint().start(), await FakeDiscovery().start()
    write_config(path, discovery, endpoint)
    process, address = await start_gateway(path)
    client = await connect(address)
    assert (await client.exchange(request(request_id="first")))[0] == 200
    await endpoint.received.get()
    try:
        yield process, endpoint, client, address
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("is_new", [False, True], ids=["open", "new"])
async def test_a_request_that_expired_in_a_stall_is_not_forwarded(is_new: bool, tmp_path: Path) -> None:
    async with gateway(tmp_path / "c") as (process, endpoint, client, address):
        process.send_signal(signal.SIGSTOP)
        await wait_until_stopped(process.pid)
        sender = client
        if is_new:  # the kernel establishes the connection; the gateway has not accepted it yet
            sender = await connect(address)
        sender.send(request(request_id="old", X_Timeout_Ms=str(SHORT_TIMEOUT_MS)))
        await asyncio.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)
        assert (await sender.read_response())[0] == 503
        assert (await sender.exchange(request(request_id="next", X_Timeout_Ms=str(10 * SHORT_TIMEOUT_MS))))[
            0
        ] == 200
        assert (await endpoint.received.get()).headers["x-request-id"] == "next"


async def test_expired_requests_on_connections_in_the_backlog_are_not_forwarded(tmp_path: Path) -> None:
    """The connections are accepted in parts, over several event loop iterations."""
    async with gateway(tmp_path / "c") as (process, endpoint, _, address):
        process.send_signal(signal.SIGSTOP)
        await wait_until_stopped(process.pid)
        clients = [await connect(address) for _ in range(60)]
        for number, waiting_client in enumerate(clients):
            waiting_client.send(request(request_id=f"old{number}", X_Timeout_Ms=str(SHORT_TIMEOUT_MS)))
        await asyncio.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)
        assert [(await waiting_client.read_response())[0] for waiting_client in clients] == [503] * 60
        assert endpoint.received.empty()


async def test_an_endpoint_gets_the_remaining_timeout_after_a_stall(tmp_path: Path) -> None:
    async with gateway(tmp_path / "c") as (process, endpoint, client, _):
        process.send_signal(signal.SIGSTOP)
        await wait_until_stopped(process.pid)
        client.send(request(request_id="old", X_Timeout_Ms="5000"))
        await asyncio.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)
        assert (await client.read_response())[0] == 200
        timeout_ms = int((await endpoint.received.get()).headers["x-timeout-ms"])
        assert timeout_ms <= 5000 - 1000 * STALL_S


@pytest.mark.parametrize("is_new", [False, True], ids=["open", "new"])
async def test_a_request_that_is_read_together_with_its_close_is_not_forwarded(
    is_new: bool, tmp_path: Path
) -> None:
    async with gateway(tmp_path / "c") as (process, endpoint, client, address):
        process.send_signal(signal.SIGSTOP)
        await wait_until_stopped(process.pid)
        closing_client = await connect(address) if is_new else client
        closing_client.send(request(request_id="left"))
        await closing_client.writer.drain()
        closing_client.writer.close()
        await closing_client.writer.wait_closed()
        await asyncio.sleep(STALL_S)
        process.send_signal(signal.SIGCONT)
        other = await connect(address)
        assert (await other.exchange(request(request_id="other")))[0] == 200
        assert (await endpoint.received.get()).headers["x-request-id"] == "other"
        assert endpoint.received.empty()


async def test_data_read_in_the_iterations_after_a_stall_may_be_as_old_as_the_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New connections are accepted in one event loop iteration and read in a later one."""
    loop = asyncio.get_running_loop()
    offset_ns = 0
    for module in ("timers", "loop_monitor"):
        monkeypatch.setattr(f"gateway.{module}.now_ns", lambda: now_ns() + offset_ns)
    monitor = LoopMonitor(loop, Timers(loop))
    started_ns = now_ns()
    assert monitor.earliest_arrival(started_ns) == started_ns
    offset_ns = 10 * HEARTBEAT_INTERVAL_NS  # the event loop stalls
    for _ in range(2):
        await asyncio.sleep(0)  # one event loop iteration
        now = now_ns() + offset_ns
        assert started_ns - MS <= monitor.earliest_arrival(now) <= started_ns
    await wait_until(lambda: monitor.earliest_arrival(now_ns() + offset_ns) > started_ns + offset_ns)
    later = now_ns() + offset_ns + HEARTBEAT_INTERVAL_NS + HEARTBEAT_TOLERANCE_NS + MS
    assert monitor.earliest_arrival(later) < later


def test_bytes_behind_a_full_read_may_be_as_old_as_that_read() -> None:
    reading = ReadControl()
    assert reading.earliest_arrival(READ_SIZE_BYTES, 100) == 100
    assert reading.earliest_arrival(READ_SIZE_BYTES, 250) == 100
    assert reading.earliest_arrival(10, 400) == 100  # empties the socket
    assert reading.earliest_arrival(READ_SIZE_BYTES, 1000, age_ns=700) == 300
    assert reading.earliest_arrival(10, 1200) == 300
    assert reading.earliest_arrival(10, 1300) == 1300


BACKLOG_NS = 200 * MS


@pytest.mark.parametrize("body_bytes", [0, 60_000])
async def test_the_time_in_the_backlog_counts_while_the_event_loop_runs(
    body_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Report 168279: requests that waited for accept in a crowd were sent after their clients had closed.

    Issue 29, item 3: so were those of several reads, of which the last one counted as just arrived.
    """
    monkeypatch.setattr(listener, "ACCEPTS_PER_ITERATION", 1)
    accept_one = listener.Listener._accept_one  # noqa: SLF001 - replaced to hold connections in the backlog
    started_ns = now_ns()
    accepted = 0

    def accept_one_late(self: listener.Listener, listening_socket: socket.socket) -> bool:
        nonlocal accepted
        if accepted and now_ns() < started_ns + BACKLOG_NS:
            return False
        accepted += 1
        return accept_one(self, listening_socket)

    monkeypatch.setattr(listener.Listener, "_accept_one", accept_one_late)
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        first, leaving, short, patient = [BlockingClient(harness.gateway_address) for _ in range(4)]
        leaving.sock.sendall(request("once", request_id="left", body=bytes(body_bytes)))
        leaving.close()
        short.sock.sendall(request(request_id="short", X_Timeout_Ms=str(BACKLOG_NS // MS // 2)))
        patient.sock.sendall(request("once", request_id="patient", body=bytes(body_bytes)))
        received = await endpoint.received.get()
        assert received.headers["x-request-id"] == "patient"
        assert int(received.headers["x-timeout-ms"]) <= 6000 - BACKLOG_NS // MS
        await wait_until(lambda: accepted == 4)
        assert (await asyncio.to_thread(short.sock.recv, 1000)).startswith(b"HTTP/1.1 503")
        assert endpoint.received.empty()
        for client in (first, short, patient):
            client.close()
