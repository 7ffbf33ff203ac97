"""Transient failures of system calls in a real process; a preloaded library makes every n-th call fail.

Each request gets a response unless the failure breaks the client's own connection, and the process continues
to serve.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import json
import signal
import subprocess
import tempfile
from pathlib import Path

import pytest

from balancer import MS
from tests.support.loopback import CLOSING_RESPONSE, OK_RESPONSE, FakeDiscovery, FakeEndpoint, request
from tests.support.processes import connect, start_gateway, write_config

SOURCE = Path(__file__).parent.parent / "support" / "failing_system_calls.c"
REQUESTS = 60
CLIENTS = 6
MAX_WAIT_S = 5.0
"""Limit on the wait for a response, s; longer than the timeout of each request."""


@functools.cache
def compile_library() -> Path:
    """Path of the preloaded library; compiles it once."""
    target = Path(tempfile.mkdtemp()) / "failing_system_calls.so"
    subprocess.run(
        ["cc", "-Wall", "-Werror", "-shared", "-fPIC", "-O1", "-o", target, SOURCE, "-ldl"], check=True
    )
    return target


async def start_gateway_with_faults(
    path: Path, faults: str, endpoints: int = 3, reply: bytes = OK_RESPONSE, retries_soon: bool = True
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start a gateway with injected faults; `retries_soon`: with request classes whose retries come soon."""
    started = [await FakeEndpoint(f"h{number}", reply).start() for number in range(endpoints)]
    discovery = await FakeDiscovery().start()
    config = write_config(path, discovery, *started)
    if retries_soon:
        classes = [{**row, "slo-ns": 500 * MS} for row in config["settings"]["request-classes"]]
        config["settings"] = {**config["settings"], "request-classes": classes}
    path.write_text(json.dumps(config))
    return await start_gateway(path, LD_PRELOAD=str(compile_library()), FAULTS=faults)


async def send_all(address: tuple[str, int]) -> list[int]:
    """Send all requests, every second one on a new connection; return the status of each response."""

    async def run_client(client_number: int) -> list[int]:
        statuses = []
        client = await connect(address)
        for index in range(REQUESTS // CLIENTS):
            if index % 2:
                client = await connect(address)
            data = request(request_id=f"r{client_number}-{index}", X_Timeout_Ms="4000")
            status, _, _ = await asyncio.wait_for(client.exchange(data), MAX_WAIT_S)
            statuses.append(status)
        return statuses

    return list(itertools.chain.from_iterable(await asyncio.gather(*map(run_client, range(CLIENTS)))))


async def end_process(process: asyncio.subprocess.Process, gracefully: bool) -> None:
    """Check that the gateway still runs and end it; gracefully in few tests only, as that takes seconds."""
    assert process.returncode is None
    if gracefully:
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    else:
        process.kill()
        await process.wait()


@pytest.mark.parametrize(
    "faults",
    [
        "accept:ECONNABORTED:2",
        "accept:ENFILE:2",
        "accept:EMFILE:3",
        "accept:ENOBUFS:3",
        "accept:ENOMEM:3",
        "accept:EPROTO:3",
        "accept:EINTR:2",
        "accept:ENETUNREACH:3",
        "accept:EAGAIN:2",
        "socket:ENFILE:3",
        "socket:ENOBUFS:3",
        "connect:EADDRNOTAVAIL:3",
        "connect:ENETUNREACH:3",
        "connect:EHOSTUNREACH:3",
        "connect:ETIMEDOUT:3",
        "connect:ECONNABORTED:3",
        "epoll:EINTR:2",
        "read:EINTR:2",
        "write:EINTR:2",
        "read:SHORT:2",
        "write:SHORT:2",
        "read:EAGAIN:2",
        "write:EAGAIN:2",
        "read:SHORT:1",
        "write:SHORT:1",
        "accept:ENFILE:3,socket:ENFILE:5,connect:ENETUNREACH:5,epoll:EINTR:3,read:SHORT:3,write:SHORT:3",
    ],
)
async def test_no_request_is_lost(faults: str, tmp_path: Path) -> None:
    process, address = await start_gateway_with_faults(tmp_path / "c", faults)
    statuses = await send_all(address)
    assert len(statuses) == REQUESTS
    assert set(statuses) <= {200, 503}  # a connection failure must not fail a request
    assert 2 * statuses.count(200) > REQUESTS
    await end_process(process, gracefully="," in faults)


@pytest.mark.parametrize(
    "faults",
    [
        "connect:ECONNABORTED:7",
        "connect:EADDRNOTAVAIL:7",
        "connect:ENETUNREACH:7",
        "connect:EHOSTUNREACH:7",
        "connect:ETIMEDOUT:7",
        "socket:ENFILE:7",
        "socket:ENOBUFS:7",
    ],
)
async def test_a_failed_connect_costs_no_request(faults: str, tmp_path: Path) -> None:
    """Issue 29, item 5: the request waited for the gap before a retry, and so did those behind it."""
    process, address = await start_gateway_with_faults(
        tmp_path / "c", faults, endpoints=2, reply=CLOSING_RESPONSE, retries_soon=False
    )
    assert await send_all(address) == [200] * REQUESTS
    await end_process(process, gracefully=False)


@pytest.mark.parametrize(
    "faults",
    [
        "read:ETIMEDOUT:40",
        "read:EHOSTUNREACH:40",
        "read:ECONNRESET:40",
        "write:EPIPE:40",
        "write:ETIMEDOUT:40",
        "write:EHOSTUNREACH:40",
        "write:ENOBUFS:40",
    ],
)
async def test_a_broken_connection_affects_no_other_client(faults: str, tmp_path: Path) -> None:
    """Clients whose connection breaks reconnect; all others get a response."""
    process, address = await start_gateway_with_faults(tmp_path / "c", faults)
    served = broken = 0
    for number in range(REQUESTS):
        client = await connect(address)
        try:
            status, _, _ = await asyncio.wait_for(
                client.exchange(request(request_id=f"r{number}", X_Timeout_Ms="4000")), MAX_WAIT_S
            )
        except (OSError, asyncio.IncompleteReadError):
            broken += 1
        else:
            assert status in (200, 502, 503)
            served += status == 200
        client.writer.close()
    assert broken <= REQUESTS // 5
    assert 2 * served > REQUESTS
    await end_process(process, gracefully=False)
