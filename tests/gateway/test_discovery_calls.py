"""Watches and fetches over loopback sockets: their updates, failures and timeouts."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import pytest

from balancer import SECOND, EndpointState, UpdateKind
from gateway.discovery.call import MAX_LINE_BYTES
from gateway.discovery.call_limits import (
    COMPLETION_TIMEOUT_NS,
    HEARTBEAT_INTERVAL_NS,
    MAX_COMPLETION_TIMEOUT_NS,
    MIN_BYTES_PER_S,
)
from gateway.messages import MAX_BODY_BYTES
from gateway.timers import now_ns
from tests.support.discovery import ENDPOINT_ENTRY, DiscoveryHarness
from tests.support.loopback import wait_until


async def test_watch_reports_updates_and_resumes_at_the_last_generation() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    discovery.watch(True)  # must not open a second watch
    first, writer = await server.calls.get()
    assert first == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
    server.start_watch_response(writer)
    server.write_chunk(writer, b"\n")
    server.write_watch_event(writer, 43, [{**ENDPOINT_ENTRY, "lifecycle": "terminating"}])
    kind, [endpoint] = await harness.updates.get()
    assert (kind, endpoint.entry.state) == (UpdateKind.DELTA, EndpointState.DRAINING)
    server.write_watch_event(writer, 44, [ENDPOINT_ENTRY], reset=True)
    assert (await harness.updates.get())[0] is UpdateKind.SNAPSHOT
    writer.close()
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    discovery.watch(True)
    first, _ = await server.calls.get()
    assert "from=44" in first
    assert server.calls.empty()


@pytest.mark.parametrize(
    "line",
    [
        b"{not json}\n",
        b"[1]\n",
        b'{"generation": 44}\n',
        b"[" * 9999 + b"\n",
        b'{"generation": 1e999, "instances": []}\n',
        b"x" * (MAX_LINE_BYTES + 1),
    ],
)
async def test_invalid_line_is_dropped_and_its_changes_are_requested_again(line: bytes) -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, writer = await server.calls.get()
    server.start_watch_response(writer)
    server.write_chunk(writer, line)
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    discovery.watch(True)
    assert "from=41" in (await server.calls.get())[0]


@pytest.mark.parametrize("indent", [0, 2, "\t"])
async def test_indented_update_is_parsed(indent: int | str) -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, writer = await server.calls.get()
    server.start_watch_response(writer)
    for generation in (43, 44):
        rows = [ENDPOINT_ENTRY, {**ENDPOINT_ENTRY, "instanceId": "h1"}]
        server.write_chunk(
            writer,
            json.dumps({"generation": generation, "instances": rows, "reset": False}, indent=indent).encode()
            + b"\n",
        )
        kind, endpoints = await asyncio.wait_for(harness.updates.get(), 2)
        assert (kind, [endpoint.entry.endpoint_id for endpoint in endpoints]) == (
            UpdateKind.DELTA,
            ["h0", "h1"],
        )
    server.write_chunk(writer, b"\n")
    server.write_watch_event(writer, 45, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])


async def start_object(harness: DiscoveryHarness) -> asyncio.StreamWriter:
    """Let a watch receive an update, and then the first line of an object."""
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, writer = await server.calls.get()
    server.start_watch_response(writer)
    server.write_watch_event(writer, 43, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    server.write_chunk(writer, b'{"generation": 44, "instances": [\n')
    call = discovery.current_watch
    await wait_until(lambda: call is not None and call.has_partial_object)
    return writer


async def test_truncated_update_is_requested_again() -> None:
    harness = await DiscoveryHarness.start()
    writer = await start_object(harness)
    harness.server.write_chunk(writer, b"\n")  # a heartbeat
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])
    harness.discovery.watch(True)
    assert "from=43" in (await harness.server.calls.get())[0]


async def test_an_update_with_a_pause_is_requested_again_and_taken() -> None:
    """Issue 29, item 4: each call failed at a pause of half a second, so that the update was never taken."""
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    writer = await start_object(harness)
    discovery.sweep(now_ns() + SECOND)
    assert "from=43" in (await asyncio.wait_for(server.calls.get(), 2))[0]
    discovery.sweep(now_ns() + 11 * SECOND // 4)
    assert harness.updates.empty()
    server.write_chunk(writer, b"]}\n")
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    assert discovery.generation == 44


async def test_an_update_with_an_endless_pause_ends_its_call() -> None:
    harness = await DiscoveryHarness.start()
    await start_object(harness)
    harness.discovery.sweep(now_ns() + 13 * SECOND // 4)
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_failed_call_is_reported_once(response: bytes) -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, writer = await server.calls.get()
    writer.write(response)
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    discovery.fetch()  # succeeds; the first call must not be reported again
    _, writer = await server.calls.get()
    body = b'{"generation": 50, "reset": true, "instances": []}'
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert await harness.updates.get() == (UpdateKind.SNAPSHOT, [])
    assert harness.updates.empty()


async def test_watch_without_data_times_out() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, writer = await server.calls.get()
    server.start_watch_response(writer)
    server.write_watch_event(writer, 43, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    discovery.sweep(now_ns() + 11 * SECOND // 4)  # a late heartbeat is not a failure
    assert harness.updates.empty()
    # The gateway counts as notified of missed changes after 6 s; half of that is left for the next call.
    discovery.sweep(now_ns() + 13 * SECOND // 4)
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])


@pytest.mark.parametrize("size", [1, 200_000])
@pytest.mark.parametrize("first", ["slow watch", "second watch"])
async def test_a_second_watch_is_opened_beside_a_slow_one(size: int, first: str) -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    _, slow_writer = await server.calls.get()
    server.start_watch_response(slow_writer)
    beginning = b'{"generation": 44, "instances": [\n' + b" " * size
    server.write_chunk(slow_writer, beginning)
    slow = discovery.current_watch
    assert slow is not None
    await wait_until(lambda: slow.incomplete_bytes >= len(beginning) - 1)
    limit_ns = COMPLETION_TIMEOUT_NS + len(beginning) * SECOND // MIN_BYTES_PER_S
    started_ns = now_ns()
    for elapsed_ns in range(SECOND, limit_ns, SECOND):  # as if a byte arrived each second
        slow.last_received_ns = started_ns + elapsed_ns
        discovery.sweep(slow.last_received_ns)
    assert server.calls.empty()
    discovery.sweep(started_ns + limit_ns + SECOND // 4)
    _, writer = await asyncio.wait_for(server.calls.get(), 2)
    if first == "slow watch":  # it may be the only rate there is
        server.write_chunk(slow_writer, b"]}\n")
        assert await harness.updates.get() == (UpdateKind.DELTA, [])
    else:
        server.start_watch_response(writer)
        server.write_watch_event(writer, 44, [])
        assert await harness.updates.get() == (UpdateKind.DELTA, [])
    assert (discovery.current_watch is slow, slow.is_closed) == (
        first == "slow watch",
        first == "second watch",
    )
    closed, still_open = (writer, slow_writer) if first == "slow watch" else (slow_writer, writer)
    server.write_watch_event(closed, 45, [])
    server.write_watch_event(still_open, 46, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    assert (discovery.generation, harness.updates.empty()) == (46, True)


async def test_a_second_watch_that_fails_is_repeated_only_when_the_balancer_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    await start_object(harness)
    slow = discovery.current_watch
    assert slow is not None
    slow.last_received_ns -= SECOND  # a pause
    discovery.sweep(now_ns())
    _, writer = await asyncio.wait_for(server.calls.get(), 2)
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])
    opened = Counter[str]()
    call = discovery._call  # noqa: SLF001 - counted
    monkeypatch.setattr(discovery, "_call", lambda watch: opened.update(["call"]) or call(watch))
    for _ in range(3):
        discovery.sweep(now_ns())
    assert not opened
    discovery.watch(True)
    assert opened.total() == 1
    assert discovery.current_watch is slow


async def test_an_update_that_never_ends_ends_its_call() -> None:
    harness = await DiscoveryHarness.start()
    harness.discovery.watch(True)
    _, writer = await harness.server.calls.get()
    call = harness.discovery.current_watch
    assert call is not None
    harness.server.start_watch_response(writer)
    harness.server.write_chunk(writer, b"{")
    await wait_until(lambda: call.incomplete_bytes == 1)
    limit_ns = MAX_COMPLETION_TIMEOUT_NS + SECOND
    call.last_received_ns += limit_ns  # as if a byte had just arrived
    harness.discovery.sweep(now_ns() + limit_ns)
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])


async def test_a_response_head_that_arrives_too_slowly_opens_a_second_watch() -> None:
    harness = await DiscoveryHarness.start()
    harness.discovery.watch(True)
    _, writer = await harness.server.calls.get()
    call = harness.discovery.current_watch
    assert call is not None
    writer.write(b"HTTP/1.1 200 ")
    await wait_until(lambda: call.last_received_ns > 0)
    limit_ns = COMPLETION_TIMEOUT_NS + HEARTBEAT_INTERVAL_NS
    call.last_received_ns += limit_ns  # as if a byte had just arrived
    harness.discovery.sweep(now_ns() + limit_ns + SECOND // 4)
    await asyncio.wait_for(harness.server.calls.get(), 2)


async def test_response_received_byte_by_byte_is_parsed() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    await server.calls.get()
    call = discovery.current_watch
    assert call is not None
    line = json.dumps({"generation": 43, "instances": [ENDPOINT_ENTRY]}).encode() + b"\n"
    text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line)
    for byte in text:  # as if each byte arrived in a segment of its own
        call.data_received(bytes([byte]))
    kind, [endpoint] = await asyncio.wait_for(harness.updates.get(), 2)
    assert (kind, endpoint.entry.endpoint_id) == (UpdateKind.DELTA, "h0")
    assert harness.updates.empty()


async def test_watch_without_a_response_times_out_in_time_for_another_call() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    discovery.watch(True)
    await server.calls.get()
    discovery.sweep(now_ns() + 3 * SECOND)  # a call may wait in the queue of discovery
    assert harness.updates.empty()
    # The gateway counts as notified after 6 s without data; the next call must respond within that time.
    discovery.sweep(now_ns() + 9 * SECOND // 2)
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])


WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "reason phrase": b"HTTP/1.1 200 ",
    "header value": b"HTTP/1.1 200 OK\r\nX: ",
    "chunk extension": WATCH_HEAD + b"1;x=",
    "extension of a later chunk": WATCH_HEAD + b"1\r\n\n\r\n1;x=",
    "trailer value": WATCH_HEAD + b"0\r\nX: ",
}
"""Beginnings of responses by the part that does not end."""


@pytest.mark.parametrize("beginning", ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
async def test_call_whose_response_does_not_end_fails_before_it_fills_the_memory(beginning: bytes) -> None:
    """The cause of review/1 and review/3 in discovery, where no timeout ended such a call."""
    harness = await DiscoveryHarness.start()
    harness.discovery.watch(True)
    await harness.server.calls.get()
    call = harness.discovery.current_watch
    assert call is not None
    call.data_received(beginning)
    received = 0
    while not call.is_closed and received < 4 * MAX_BODY_BYTES:
        call.data_received(b"a" * 4096)
        received += 4096
    assert call.is_closed
    assert received <= MAX_BODY_BYTES
    assert await harness.updates.get() == (UpdateKind.FAILED, [])


def format_object(style: str, entries: int) -> bytes:
    """Return an update in one of the forms in which JSON may be divided into lines."""
    rows = [json.dumps({**ENDPOINT_ENTRY, "instanceId": f"h{number}"}) for number in range(entries)]
    if style == "leading commas":
        return ('{"generation":43,"reset":true,"instances":[\n' + "\n,".join(rows) + "\n]}\n").encode()
    if style == "brackets in strings":
        rows = [row.replace('"cell"', '"]}{[\\"": "}", "cell"') for row in rows]
        return ('{"generation":43,"reset":true,"instances":[\n' + ",\n".join(rows) + "\n]\n}\n").encode()
    document = {"generation": 43, "reset": True, "instances": [json.loads(row) for row in rows]}
    return json.dumps(document, indent=2).encode() + b"\n"


@pytest.mark.parametrize("style", ["indented", "leading commas", "brackets in strings"])
async def test_divided_update_is_decoded_once(style: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Decoding a list after each line that may be its last took time quadratic in its length."""
    harness = await DiscoveryHarness.start()
    harness.discovery.watch(True)
    await harness.server.calls.get()
    call = harness.discovery.current_watch
    assert call is not None
    decoded_bytes = 0
    decode = json.loads

    def count_decoded(text: bytes) -> object:
        nonlocal decoded_bytes
        decoded_bytes += len(text)
        return decode(text)

    monkeypatch.setattr("gateway.discovery.discovery.json.loads", count_decoded)
    text = format_object(style, entries=200)
    call.data_received(WATCH_HEAD + b"%x\r\n%b\r\n" % (len(text), text))
    kind, endpoints = await harness.updates.get()
    assert (kind, len(endpoints)) == (UpdateKind.SNAPSHOT, 200)
    assert decoded_bytes <= 2 * len(text)
