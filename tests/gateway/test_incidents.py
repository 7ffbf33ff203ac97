"""Regression tests that reproduce production incidents over loopback; see docs/incidents/."""

from __future__ import annotations

import signal
import socket
import statistics
import struct
import time
from pathlib import Path

import pytest

from balancer import MS
from gateway.client.response_queue import MAX_PIPELINED
from gateway.timers import now_ns
from tests.support.loopback import (
    Client,
    FakeDiscovery,
    FakeEndpoint,
    GatewayHarness,
    ReceivedRequest,
    request,
    wait_until,
)
from tests.support.processes import connect, start_gateway, write_config
from tests.support.stub_balancers import SingleAttemptBalancer

ROUNDS = 12
MAX_SLOWDOWN = 10
"""Maximum ratio of the median response time behind an invalid request to that on a separate connection."""
UNKNOWN_PATH = b"GET /status HTTP/1.1\r\nHost: app.svc\r\n\r\n"
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ndone"


async def _response_time_s(client: Client, request_id: str) -> float:
    started = time.monotonic()
    assert (await client.exchange(request(request_id=request_id)))[0] == 200
    return time.monotonic() - started


async def test_a_request_is_not_delayed_by_an_invalid_one_before_it(tmp_path: Path) -> None:
    """incident-1: an invalid request delayed the requests that followed it on a shared connection."""
    endpoint, discovery = await FakeEndpoint().start(), await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    separate, shared = await connect(address), await connect(address)
    separate_times_s, shared_times_s = [], []
    for number in range(ROUNDS):
        separate_times_s.append(await _response_time_s(separate, f"u{number}"))
        assert (await shared.exchange(UNKNOWN_PATH))[0] == 404
        shared_times_s.append(await _response_time_s(shared, f"b{number}"))
    process.send_signal(signal.SIGKILL)
    await process.wait()
    assert statistics.median(shared_times_s) < MAX_SLOWDOWN * statistics.median(separate_times_s)


@pytest.mark.parametrize("with_reset", [False, True], ids=["end", "reset"])
async def test_a_response_without_a_length_ends_with_its_connection(with_reset: bool, tmp_path: Path) -> None:
    """incident-2: none of 85 such responses reached a client.

    A response that ends with a reset is incomplete.
    """
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    client = await connect(address)
    client.send(request("once"))  # not retried, so this response decides the result
    received = await endpoint.received.get()
    received.reply(RESPONSE_WITHOUT_LENGTH)
    end_connection(received, with_reset)
    status, _, body = await client.read_response()
    process.kill()
    await process.wait()
    assert (status, body) == ((502, b"failed\n") if with_reset else (200, b"done"))


def end_connection(received: ReceivedRequest, with_reset: bool) -> None:
    """Close an endpoint's connection normally or with a TCP reset."""
    if with_reset:
        sock = received.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        received.writer.transport.abort()
    else:
        received.writer.close()


async def test_a_request_that_stayed_unread_past_its_deadline_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """incident-1: the timeout ran from the read, so endpoints got requests after their client had closed."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint, make_balancer=SingleAttemptBalancer)
        client = await harness.connect()
        for number in range(MAX_PIPELINED):
            client.send(request(request_id=f"r{number}"))
        received_requests = [await endpoint.received.get() for _ in range(MAX_PIPELINED)]
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: connection.reading.is_paused)
        client.send(request(request_id="late", X_Timeout_Ms="100"))
        for module in ("dispatcher", "client.connection"):
            monkeypatch.setattr(f"gateway.{module}.now_ns", lambda: now_ns() + 150 * MS)
        for received in received_requests:
            received.reply()
        statuses = [(await client.read_response())[0] for _ in range(MAX_PIPELINED + 1)]
        assert statuses == [200] * MAX_PIPELINED + [503]
        assert endpoint.received.empty()
