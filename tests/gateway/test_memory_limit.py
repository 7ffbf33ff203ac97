"""Peak of the private memory of a gateway process for each path by which peers can make it store data."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest

from gateway.client.response_queue import MAX_PIPELINED
from tests.support.loopback import CLOSING_RESPONSE, Client, FakeEndpoint, request
from tests.support.memory import CROWD, MAX_BODY_BYTES, MEMORY_MB, LimitedGateway

MANY_SHORT_FIELDS = b"GET /read HTTP/1.1\r\n" + b"".join(b"n%d: %s\r\n" % (n, b"v" * 155) for n in range(98))
LARGE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES
) + b"r" * MAX_BODY_BYTES
KEEP_ALIVE_RESPONSE = LARGE_RESPONSE.replace(b"Connection: close\r\n", b"")
ENDPOINTS = 300
SHORT_REQUESTS = b"GET / HTTP/1.1\r\n\r\n" * 3600
FLOOD_S = 4.0
"""Time for which a client floods the gateway: shorter than the timeout of its requests."""


def _body_without_its_end(number: int) -> bytes:
    return request("keyed", f"half-{number}", body=b"b" * MAX_BODY_BYTES)[:-1]


async def _discard_responses(client: Client) -> None:
    with suppress(OSError):
        while await client.reader.read(1 << 16):
            pass


@pytest.mark.parametrize("path", ["bodies", "heads"])
async def test_a_crowd_that_stops_in_its_requests_stays_within_the_memory(path: str, tmp_path: Path) -> None:
    """Report 168279: hundreds of clients that stopped half way, each within its own limit, in 32 MB."""
    gateway = await LimitedGateway(tmp_path).start(FakeEndpoint())
    peers = await gateway.crowd(_body_without_its_end if path == "bodies" else lambda _: MANY_SHORT_FIELDS)
    assert await gateway.peak_mb() <= MEMORY_MB
    assert len(peers) == CROWD


async def test_requests_under_new_names_on_one_connection_do_not_fill_the_memory(tmp_path: Path) -> None:
    """Report 168279: timers retained each answered request up to its deadline, at any rate."""
    gateway = await LimitedGateway(tmp_path).start(FakeEndpoint())
    client = await gateway.connect()
    reading = asyncio.create_task(_discard_responses(client))
    ends_at = time.monotonic() + FLOOD_S
    number = 0
    while time.monotonic() < ends_at:
        names = (f"new-{number + index}-" + "x" * 150 for index in range(50))
        client.send(b"".join(request(request_id=name) for name in names))
        number += 50
        await client.writer.drain()
    assert await gateway.peak_mb() <= MEMORY_MB
    await reading


async def _respond(endpoint: FakeEndpoint) -> None:
    """Respond to each request with a large body."""
    while True:
        (await endpoint.received.get()).reply(LARGE_RESPONSE)


async def test_responses_that_are_not_read_stay_within_the_memory(tmp_path: Path) -> None:
    """Report 168279: the same class of fault for large responses."""
    endpoint = FakeEndpoint(reply=None)
    gateway = await LimitedGateway(tmp_path).start(endpoint)
    responding = asyncio.create_task(_respond(endpoint))
    peers = await gateway.crowd(
        lambda peer: b"".join(request(request_id=f"p{peer}-{number}") for number in range(MAX_PIPELINED))
    )
    await asyncio.sleep(1.0)  # the time in which the responses arrive
    for peer in peers:
        peer.close()
    assert await gateway.peak_mb() <= MEMORY_MB
    responding.cancel()


@pytest.mark.parametrize("first", [b"", request(request_id="%d")], ids=["alone", "behind an open request"])
async def test_floods_of_short_requests_stay_within_the_memory(first: bytes, tmp_path: Path) -> None:
    """Report 168279: a read of 16 KiB became hundreds of parsed requests and queued responses."""
    endpoint = FakeEndpoint(reply=None)
    gateway = await LimitedGateway(tmp_path).start(endpoint)
    peers = await gateway.crowd(lambda peer: first.replace(b"%d", b"%d" % peer) + SHORT_REQUESTS)
    for peer in peers:
        peer.close()
    responding = asyncio.create_task(_respond(endpoint))
    assert await gateway.peak_mb() <= MEMORY_MB
    responding.cancel()


async def test_endpoints_that_stop_in_their_responses_stay_within_the_memory(tmp_path: Path) -> None:
    """Report 168279: the same class of fault for partly received responses of endpoints."""
    endpoints = [FakeEndpoint(f"h{number}", reply=LARGE_RESPONSE[:-1]) for number in range(ENDPOINTS)]
    gateway = await LimitedGateway(tmp_path).start(*endpoints)
    peers = await gateway.crowd(lambda peer: request(request_id=f"p{peer}"))
    await asyncio.sleep(1.0)  # the time in which the responses arrive
    for endpoint in endpoints:
        endpoint.reply = CLOSING_RESPONSE
    for peer in peers:
        peer.close()
    assert await gateway.peak_mb() <= MEMORY_MB


async def test_idle_endpoint_connections_store_no_responses(tmp_path: Path) -> None:
    """Report 168279: each idle connection stored the last response that it had received."""
    endpoints = [FakeEndpoint(f"h{number}", reply=KEEP_ALIVE_RESPONSE) for number in range(ENDPOINTS)]
    gateway = await LimitedGateway(tmp_path).start(*endpoints)
    for round_number in range(4):
        clients = [await gateway.connect() for _ in range(CROWD // 4)]
        names = [f"r{round_number}-{number}" for number in range(len(clients))]
        await asyncio.gather(
            *(client.exchange(request(request_id=name)) for client, name in zip(clients, names, strict=True))
        )
        for client in clients:
            client.writer.close()
    connections = sum(endpoint.connections for endpoint in endpoints)
    assert connections >= CROWD // 4
    assert await gateway.peak_mb() <= MEMORY_MB


DENSE_ENTRY, NAMES_PER_UPDATE = b"{},", 100


async def _send_dense_list(gateway: LimitedGateway, writer: asyncio.StreamWriter) -> None:
    size_bytes = 7 << 20
    text = b'{"generation":50,"reset":true,"instances":[' + DENSE_ENTRY * (size_bytes // len(DENSE_ENTRY))
    gateway.discovery.write_chunk(writer, text + b"{}]}\n")
    await writer.drain()


async def _send_new_names(gateway: LimitedGateway, writer: asyncio.StreamWriter) -> None:
    for generation in range(50, 250):
        entries = [
            {
                **FakeEndpoint(f"s-{generation}-{number}").make_entry("terminating"),
                "hostPort": "127.0.0.1:1",
                "cell": generation * NAMES_PER_UPDATE + number,
                "startedAtMs": generation,
            }
            for number in range(NAMES_PER_UPDATE)
        ]
        gateway.discovery.write_watch_event(writer, generation, entries)
        await writer.drain()


@pytest.mark.parametrize("send", [_send_dense_list, _send_new_names], ids=["dense list", "new names"])
async def test_lists_of_discovery_stay_within_the_memory(
    send: Callable[[LimitedGateway, asyncio.StreamWriter], Awaitable[None]], tmp_path: Path
) -> None:
    """Report 168279: the same class of fault in discovery, whose limit was 8 MiB of text."""
    gateway = await LimitedGateway(tmp_path).start(FakeEndpoint())
    _, writer = await gateway.discovery.calls.get()
    gateway.discovery.start_watch_response(writer)
    with suppress(OSError):  # the gateway ends the call
        await send(gateway, writer)
    assert await gateway.peak_mb(asyncio.sleep(0.5)) <= MEMORY_MB


SLOW_PIECE_BYTES = 4 * 1024
SLOW_CROWD_S = 4.0


async def _write_slowly(gateway: LimitedGateway, number: int, ends_at: float) -> None:
    """Send the body of a request in small pieces, on a new connection whenever the gateway ends one."""
    while time.monotonic() < ends_at:
        with suppress(OSError, RuntimeError):  # RuntimeError: uvloop's, for a write to a closed connection
            client = await gateway.connect()
            data = _body_without_its_end(number)
            for start in range(0, len(data), SLOW_PIECE_BYTES):
                client.send(data[start : start + SLOW_PIECE_BYTES])
                await client.writer.drain()
                await asyncio.sleep(0.03)
                if client.reader.at_eof() or time.monotonic() > ends_at:
                    break
            client.writer.close()


async def test_a_crowd_that_writes_slowly_and_comes_again_stays_within_the_memory(tmp_path: Path) -> None:
    """Report 168279: the crowd of the report, which reconnected as fast as it was closed."""
    gateway = await LimitedGateway(tmp_path).start(FakeEndpoint())
    ends_at = time.monotonic() + SLOW_CROWD_S
    await asyncio.gather(*(_write_slowly(gateway, number, ends_at) for number in range(CROWD)))
    assert await gateway.peak_mb() <= MEMORY_MB


async def test_all_paths_together_stay_within_the_memory(tmp_path: Path) -> None:
    """Report 168279: the sum over all paths counts, not that of each."""
    endpoints = [FakeEndpoint(f"h{number}", reply=LARGE_RESPONSE[:-1]) for number in range(ENDPOINTS)]
    gateway = await LimitedGateway(tmp_path).start(*endpoints)
    _, writer = await gateway.discovery.calls.get()
    gateway.discovery.start_watch_response(writer)
    sent = (
        _body_without_its_end,
        lambda _: MANY_SHORT_FIELDS,
        lambda _: SHORT_REQUESTS,
        lambda peer: request(request_id=f"p{peer}") + SHORT_REQUESTS,
        lambda peer: request("keyed", request_id=f"k{peer}", body=b"b" * MAX_BODY_BYTES),
    )
    crowd = asyncio.create_task(gateway.crowd(lambda peer: sent[peer % len(sent)](peer)))
    with suppress(OSError):
        await _send_new_names(gateway, writer)
        await _send_dense_list(gateway, writer)
    peers = await crowd
    await asyncio.sleep(1.0)  # the time in which the responses arrive
    for endpoint in endpoints:
        endpoint.reply = CLOSING_RESPONSE
    for peer in peers:
        peer.close()
    assert await gateway.peak_mb() <= MEMORY_MB
