"""Limits on the parts of a request that are not its body, however they are divided into reads."""

from __future__ import annotations

import pytest

from gateway.client.request_parser import RequestParser
from gateway.messages import MAX_BODY_BYTES
from tests.support.loopback import FakeEndpoint, GatewayHarness, request
from tests.support.request_handler import RecordingHandler

CHUNKED_HEAD = request("once", omit_header="Content-Length", Transfer_Encoding="chunked")
ENDLESS_REQUESTS = {
    "target": b"GET /read/",
    "header name": b"GET /read/x HTTP/1.1\r\nX",
    "header value": b"GET /read/x HTTP/1.1\r\nX: ",
    "chunk extension": CHUNKED_HEAD + b"1;x=",
    "extension of a later chunk": CHUNKED_HEAD + b"4\r\nbody\r\n1;x=",
    "trailer name": CHUNKED_HEAD + b"0\r\nX",
    "trailer value": CHUNKED_HEAD + b"4\r\nbody\r\n0\r\nX: ",
}
"""Beginnings of requests by the part that does not end."""


@pytest.mark.parametrize("read_size", [100, 4096, MAX_BODY_BYTES])
@pytest.mark.parametrize("beginning", ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS)
def test_a_part_that_does_not_end_is_rejected_before_it_fills_the_memory(
    beginning: bytes, read_size: int
) -> None:
    """review/1: a trailer field without an end stopped a gateway for seconds and filled its memory."""
    parser = RequestParser(RecordingHandler())
    parser.feed(beginning)
    received = 0
    while parser.error is None and received < 4 * MAX_BODY_BYTES:
        parser.feed(b"a" * read_size)
        received += read_size
    assert parser.error is not None
    assert parser.error.status == 431
    assert received <= MAX_BODY_BYTES


def test_empty_lines_before_a_request_are_limited() -> None:
    """review/1: the same cause outside of a message, where no field is in progress."""
    parser = RequestParser(RecordingHandler())
    parser.feed(b"\r\n" * MAX_BODY_BYTES)
    assert parser.error is not None


@pytest.mark.parametrize("beginning", ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS)
async def test_a_client_whose_request_does_not_end_gets_an_error_and_a_close(beginning: bytes) -> None:
    """review/1, at the socket: the error must not wait for the timeout of slow clients (408)."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(beginning + b"a" * 2 * MAX_BODY_BYTES)
        assert (await client.read_response())[0] == 431
        assert await client.reader.read() == b""
        assert (await (await harness.connect()).exchange(request(request_id="good")))[0] == 200
        assert (await endpoint.received.get()).headers["x-request-id"] == "good"


def test_earlier_requests_do_not_count_towards_the_limit() -> None:
    """A limit that counts a read, not a request, would reject the last one of several in the read."""
    handler = RecordingHandler()
    parser = RequestParser(handler)
    large = request("once", body=b"x" * MAX_BODY_BYTES)
    parser.feed(large * 3 + large[:100])
    assert parser.error is None
    parser.feed(large[100:])
    assert parser.error is None
    assert len(handler.requests) == 4


@pytest.mark.parametrize("chunk_size", [1, 7, MAX_BODY_BYTES])
def test_a_body_in_many_chunks_with_extensions_is_accepted(chunk_size: int) -> None:
    body = bytes(range(256)) * (MAX_BODY_BYTES // 256)
    chunks = [body[start : start + chunk_size] for start in range(0, len(body), chunk_size)]
    handler = RecordingHandler()
    parser = RequestParser(handler)
    parser.feed(CHUNKED_HEAD + b"".join(b"%x;n=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks))
    parser.feed(b"0\r\nX-Sum: 1\r\n\r\n")
    assert parser.error is None
    assert [received.body for received in handler.requests] == [body]


@pytest.mark.parametrize("zeros", [30, 10_000])
def test_a_content_length_with_many_digits_is_no_internal_error(zeros: int) -> None:
    parser = RequestParser(RecordingHandler())
    parser.feed(b"POST /once/x HTTP/1.1\r\nContent-Length: " + b"0" * zeros + b"5\r\n\r\nsome ")
    assert parser.error is None or "callback" not in parser.error.reason.lower()
    assert parser.expected_body_bytes <= MAX_BODY_BYTES
