"""Transfer codings of requests, responses and discovery: what is not chunked alone cannot be read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from balancer import SECOND, Outcome, UpdateKind
from gateway.client.request_parser import RequestParser
from gateway.discovery.errors import DiscoveryCallError
from gateway.discovery.response_reader import ResponseReader
from gateway.upstream.response_parser import ResponseParser
from tests.support.discovery import ENDPOINT_ENTRY, DiscoveryHarness
from tests.support.loopback import FakeEndpoint, GatewayHarness, request
from tests.support.request_handler import RecordingHandler
from tests.support.upstream import UpstreamHarness

UNREADABLE_CODINGS = (
    b"gzip, chunked",
    b"gzip,chunked",
    b"GZip , Chunked",
    b"x-gzip, chunked",
    b"deflate, chunked",
    b"compress, chunked",
    b"br, chunked",
    b"identity, chunked",
    b"chunked, chunked",
    b'other;q="a, chunked", chunked',
    b"gzip\r\nTransfer-Encoding: chunked",
    b"chunked\r\ntransfer-encoding: chunked",
    b"chunked\r\nTransfer-Encoding: gzip",
    b"chunked\r\nTransfer-Encoding: identity",
    b"gzip,\r\n chunked",
    b"gzip",
    b"identity",
    b"chunked, gzip",
    b"chunked,",
    b"chunked;q=1",
    b'"chunked"',
    b"xchunked",
    b"gzip chunked",
    b"",
)
"""Values of Transfer-Encoding that a body must not have, as the gateway has not offered them in TE."""
CHUNKED_CODINGS = (b"chunked", b"Chunked", b"CHUNKED", b"\t chunked  ", b", chunked", b",\t,Chunked")
"""Values that mean chunked alone; empty elements of a list are ignored (RFC 9110, 5.6.1)."""
LINE = b'{"generation": 43, "reset": false, "instances": []}\n'
CHUNKED_LINE = b"%x\r\n%b\r\n" % (len(LINE), LINE)
LAST_CHUNK = b"0\r\n\r\n"
STATUS_LINES = (b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK")

Feed = Callable[[Callable[[bytes], None], bytes], None]


def feed_at_once(feed: Callable[[bytes], None], data: bytes) -> None:
    feed(data)


def feed_bytes(feed: Callable[[bytes], None], data: bytes) -> None:
    for position in range(len(data)):
        feed(data[position : position + 1])


either_way = pytest.mark.parametrize("feed", [feed_at_once, feed_bytes])


def response_of(coding: bytes, status_line: bytes = STATUS_LINES[0]) -> bytes:
    return b"%b\r\nTransfer-Encoding: %b\r\n\r\n%b" % (status_line, coding, CHUNKED_LINE)


@either_way
@pytest.mark.parametrize("status_line", STATUS_LINES)
@pytest.mark.parametrize("coding", UNREADABLE_CODINGS)
def test_a_response_in_another_coding_is_invalid(coding: bytes, status_line: bytes, feed: Feed) -> None:
    """review/10: bodies with another coding before chunked were served with their coded bytes."""
    parser = ResponseParser()
    feed(parser.feed, response_of(coding, status_line) + LAST_CHUNK)
    assert parser.is_invalid
    assert not parser.feed_eof()


@pytest.mark.parametrize("status", [b"204", b"304"])
@pytest.mark.parametrize("header", [b"Transfer-Encoding: gzip, chunked", b"Content-Length: 70000"])
async def test_a_response_that_has_no_body_is_read_whatever_its_headers(status: bytes, header: bytes) -> None:
    """The headers of a 304 may describe a body that it does not have (RFC 9110, 8.6; RFC 9112, 6.1)."""
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    (await endpoint.received.get()).reply(b"HTTP/1.1 %b No\r\n%b\r\n\r\n" % (status, header))
    assert await result == (Outcome.ERROR, None)


@either_way
@pytest.mark.parametrize("coding", UNREADABLE_CODINGS)
def test_a_list_in_another_coding_is_not_read(coding: bytes, feed: Feed) -> None:
    """review/10 on the way from discovery: lines in another coding were taken as they were."""
    reader = ResponseReader(splits_lines=True)
    with pytest.raises(DiscoveryCallError):
        feed(reader.feed, response_of(coding))
    assert not reader.take_lines()


@either_way
@pytest.mark.parametrize("coding", UNREADABLE_CODINGS)
def test_a_request_in_another_coding_is_rejected(coding: bytes, feed: Feed) -> None:
    """review/10 on the way from clients, where such requests have always been rejected."""
    handler = RecordingHandler()
    parser = RequestParser(handler)
    head = request("once", omit_header="Content-Length")[:-2]
    feed(parser.feed, head + b"Transfer-Encoding: %b\r\n\r\n" % coding + CHUNKED_LINE + LAST_CHUNK)
    assert parser.error is not None
    assert parser.error.status == 400
    assert not handler.requests


@either_way
@pytest.mark.parametrize("coding", CHUNKED_CODINGS)
def test_a_chunked_message_is_read(coding: bytes, feed: Feed) -> None:
    parser = ResponseParser()
    feed(parser.feed, response_of(coding) + LAST_CHUNK)
    assert parser.is_complete
    assert parser.error is None
    assert parser.response().body == LINE
    reader = ResponseReader(splits_lines=True)
    feed(reader.feed, response_of(coding))
    assert reader.take_lines() == [LINE[:-1]]
    handler = RecordingHandler()
    head = request("once", omit_header="Content-Length")[:-2]
    feed(
        RequestParser(handler).feed,
        head + b"Transfer-Encoding: %b\r\n\r\n" % coding + CHUNKED_LINE + LAST_CHUNK,
    )
    assert [received.body for received in handler.requests] == [LINE]


@pytest.mark.parametrize("coding", [b"gzip, chunked", b"chunked, chunked", b"gzip", b"identity"])
async def test_an_attempt_with_an_unreadable_response_ends_at_its_head(coding: bytes) -> None:
    """review/10, at the socket: the attempt has failed, and must not last until its deadline."""
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt(timeout_ns=3600 * SECOND)
    received = await endpoint.received.get()
    received.reply(response_of(coding))
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


async def test_a_client_gets_no_body_in_another_coding() -> None:
    """review/10, from end to end: the client of a request that is not repeated gets a failure."""
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(reply=response_of(b"gzip, chunked") + LAST_CHUNK))
        assert (await (await harness.connect()).exchange(request("once")))[::2] == (502, b"failed\n")


@pytest.mark.parametrize("coding", [b"gzip, chunked", b"identity, chunked", b"identity"])
async def test_a_watch_in_another_coding_fails(coding: bytes) -> None:
    """review/10, at the socket of discovery: the call fails at once, and the list does not change."""
    harness = await DiscoveryHarness.start()
    harness.discovery.watch(True)
    _, writer = await harness.server.calls.get()
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n" % coding)
    harness.server.write_watch_event(writer, 43, [ENDPOINT_ENTRY])
    assert await asyncio.wait_for(harness.updates.get(), 2) == (UpdateKind.FAILED, [])
    assert harness.discovery.generation == 41
