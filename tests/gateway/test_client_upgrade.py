"""Requests that offer an upgrade to another protocol: they are served over HTTP/1.1 with their bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest

from balancer import SECOND
from gateway.client.request_parser import RequestParser
from gateway.messages import MAX_BODY_BYTES
from gateway.timers import now_ns
from tests.support.loopback import FakeEndpoint, GatewayHarness, request, wait_until
from tests.support.request_handler import RecordingHandler

BODY = b"some body"
OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAM\r\n",
    "websocket": b"Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n",
    "none": b"",
}
LENGTH = b"Content-Length: 9\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BODIES = {
    "length": (LENGTH, BODY),
    "one chunk": (CHUNKED, b"9\r\nsome body\r\n0\r\n\r\n"),
    "chunks with extensions": (CHUNKED, b"4;a=b\r\nsome\r\n5;c\r\n body\r\n0;d\r\n\r\n"),
    "trailers": (CHUNKED, b"9\r\nsome body\r\n0\r\nX-Late: 1\r\nX-Request-ID: another\r\n\r\n"),
}
"""The end of the head and the body as sent."""


def head_of(
    offer: bytes, class_name: str = "once", request_id: str = "r1", version: bytes = b"HTTP/1.1"
) -> bytes:
    """Return a head without the framing of its body and without the empty line at its end."""
    head = request(class_name, request_id, omit_header="Content-Length")[:-2]
    return head.replace(b"HTTP/1.1", version, 1) + offer


def divide(data: bytes, head_bytes: int, division: str) -> Iterable[bytes]:
    if division == "bytes":
        return [data[position : position + 1] for position in range(len(data))]
    return [data] if division == "at once" else [data[:head_bytes], data[head_bytes:]]


@pytest.mark.parametrize("division", ["at once", "late body", "bytes"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize(("framing", "body"), BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS)
def test_a_request_is_complete_with_the_last_byte_of_its_body(
    offer: bytes, framing: bytes, body: bytes, version: bytes, division: str
) -> None:
    """review/6: a request that offers an upgrade was complete with its head, and its body was discarded."""
    handler = RecordingHandler()
    parser = RequestParser(handler)
    head = head_of(offer, version=version) + framing
    *pieces, last_piece = divide(head + body, len(head), division)
    for piece in pieces:
        parser.feed(piece)
        assert not handler.requests
        assert parser.in_message
    parser.feed(last_piece)
    assert parser.error is None
    assert not parser.in_message
    [received] = handler.requests
    assert (received.method, received.target, received.body) == (b"POST", b"/once/x?q=1", BODY)
    assert (b"X-Request-ID", b"r1") in received.headers
    assert not any(name == b"X-Late" for name, _ in received.headers)
    assert received.keep_alive == (version == b"HTTP/1.1" and not offer)


@pytest.mark.parametrize("division", ["at once", "bytes"])
@pytest.mark.parametrize(
    ("status", "message"),
    [
        (400, CHUNKED + b"nonsense\r\n"),
        (400, b"Transfer-Encoding: gzip, chunked\r\n\r\n9\r\nsome body\r\n0\r\n\r\n"),
        (400, b"Transfer-Encoding: gzip\r\n\r\nsome body"),
        (400, b"Content-Length: 9\r\n" + CHUNKED + BODY),
        (413, b"Content-Length: 65537\r\n\r\n"),
        (413, CHUNKED + b"10001\r\n" + b"x" * (MAX_BODY_BYTES + 1)),
        (431, CHUNKED + b"9\r\nsome body\r\n0\r\nX-Late: " + b"x" * MAX_BODY_BYTES),
    ],
)
def test_a_body_that_cannot_be_read_is_an_error(status: int, message: bytes, division: str) -> None:
    """review/6: the body of a request that offers an upgrade has the limits of any other."""
    handler = RecordingHandler()
    parser = RequestParser(handler)
    for piece in divide(head_of(OFFERS["h2c"]) + message, 0, division):
        if not parser.has_stopped:
            parser.feed(piece)
    assert parser.error is not None
    assert parser.error.status == status
    assert not handler.requests


@pytest.mark.parametrize(("framing", "body"), BODIES.values(), ids=BODIES)
async def test_an_endpoint_gets_the_body(framing: bytes, body: bytes) -> None:
    """review/6, from end to end: endpoints ran such requests with an empty body, and clients got 200."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request("once", request_id="before", body=BODY) + head_of(OFFERS["h2c"]) + framing)
        assert (await endpoint.received.get()).headers["x-request-id"] == "before"
        assert (await client.read_response())[0] == 200
        client.send(body + request(request_id="after"))
        status, headers, _ = await client.read_response()
        assert (status, headers["connection"]) == (200, "close")
        forwarded = await endpoint.received.get()
        assert (forwarded.first_line, forwarded.body) == ("POST /once/x?q=1 HTTP/1.1", BODY)
        assert not {"upgrade", "connection", "http2-settings", "x-late"} & forwarded.headers.keys()
        assert await client.reader.read() == b""  # what follows may be another protocol
        assert endpoint.received.empty()


async def test_a_body_that_never_comes_is_waited_for_and_not_replaced_by_an_empty_one() -> None:
    """review/6: such a request was forwarded 1 ms after its head."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(head_of(OFFERS["h2c"]) + LENGTH + BODY[:-1])
        await wait_until(lambda: harness.gateway.server.open_connections == 1)
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: connection.is_stalled(now_ns() + 60 * SECOND))
        connection.sweep(now_ns() + 60 * SECOND)
        assert (await client.read_response())[0] == 408
        assert await client.reader.read() == b""
        assert endpoint.received.empty()


async def test_a_safe_request_with_an_upgrade_and_a_body_is_rejected() -> None:
    """review/6: its body was discarded, so that it looked like a request without one."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        data = head_of(OFFERS["h2c"], "read") + LENGTH + BODY
        client = await harness.connect()
        assert (await client.exchange(data))[0] == 400
        assert await client.reader.read() == b""
        assert endpoint.received.empty()


async def test_a_client_that_waits_for_100_continue_gets_it_with_an_upgrade() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(head_of(OFFERS["h2c"]) + b"Expect: 100-continue\r\n" + LENGTH)
        assert (await asyncio.wait_for(client.reader.readline(), 5)).startswith(b"HTTP/1.1 100")
        await client.reader.readline()
        assert (await client.exchange(BODY))[0] == 200
        assert (await endpoint.received.get()).body == BODY
