"""Responses of endpoints over loopback sockets: complete and invalid ones, and their outcomes."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from balancer import SECOND, Outcome
from gateway.framing import MAX_HEAD_BYTES
from gateway.messages import MAX_BODY_BYTES
from gateway.upstream.response_parser import ResponseParser
from tests.support.loopback import OK_RESPONSE, FakeEndpoint
from tests.support.upstream import UpstreamHarness

REJECTION = b"Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("reply", "closes", "outcome"),
    [
        (OK_RESPONSE, False, Outcome.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE, False, Outcome.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", False, Outcome.OK),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length:4 \t \r\n\r\ndone",
            False,
            Outcome.OK,
        ),  # surrounding white space is not part of the value
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \tchunked \r\n\r\n4\r\ndone\r\n0\r\n\r\n",
            False,
            Outcome.OK,
        ),
        (b"HTTP/1.1 503 No\r\nX-Not-Processed: 1 \r\nContent-Length: 0 \r\n\r\n", False, Outcome.OVERLOADED),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
        (b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.BAD_REQUEST),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.BAD_REQUEST),
        (b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
        (b"HTTP/1.1 503 " + REJECTION, False, Outcome.OVERLOADED),
        (b"HTTP/1.1 504 " + REJECTION, False, Outcome.OVERLOADED),
        (b"HTTP/1.1 500 " + REJECTION, False, Outcome.ERROR),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
        (b"HTTP/1.1 503 No\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", False, Outcome.ERROR),
        (b"", True, Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", True, Outcome.INVALID_RESPONSE),
        (b"HTTP/1.1 200 OK\r\n\r\ndone", True, Outcome.OK),  # the body ends with the connection
        (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\ndone", True, Outcome.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\ndone", True, Outcome.OK),
        (b"HTTP/1.1 500 Oh\r\n\r\ndone", True, Outcome.ERROR),
        (b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\n\r\n", True, Outcome.OVERLOADED),
        (b"HTTP/1.1 200 OK\r\n", True, Outcome.INVALID_RESPONSE),
        (b"HTTP/1.1 100 Continue\r\n\r\n", True, Outcome.INVALID_RESPONSE),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 0x10001, True, Outcome.INVALID_RESPONSE),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone", True, Outcome.INVALID_RESPONSE),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n",
            True,
            Outcome.INVALID_RESPONSE,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
            True,
            Outcome.INVALID_RESPONSE,
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", False, Outcome.INVALID_RESPONSE),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + b"x" * 0x20000,
            False,
            Outcome.INVALID_RESPONSE,
        ),
        (
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 2 * MAX_HEAD_BYTES + b"\r\n\r\n",
            False,
            Outcome.INVALID_RESPONSE,
        ),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 9 * MAX_HEAD_BYTES, False, Outcome.INVALID_RESPONSE),
        (b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", False, Outcome.INVALID_RESPONSE),
        (b"noise\r\n\r\n", False, Outcome.INVALID_RESPONSE),
    ],
)
async def test_response_maps_to_outcome(reply: bytes, closes: bool, outcome: Outcome) -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply(reply)
    if closes:
        received.writer.close()
    actual, response = await result
    assert actual is outcome
    assert (response.body if response else None) == (b"done" if outcome is Outcome.OK else None)


@pytest.mark.parametrize("length", range(0, 60, 7))
async def test_reset_does_not_complete_a_response_without_a_length(length: int) -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe whole of the body"[:length])
    sock = received.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    received.writer.transport.abort()
    assert await result in [(Outcome.INVALID_RESPONSE, None), (Outcome.RESET, None)]


async def test_second_response_does_not_change_the_outcome_of_the_first() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    for first, second, outcome in (
        (OK_RESPONSE, b"HTTP/1.1 503 " + REJECTION, Outcome.OK),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", OK_RESPONSE, Outcome.ERROR),
    ):
        _, result = harness.start_attempt()
        received = await endpoint.received.get()
        received.reply(first + second)
        assert (await result)[0] is outcome
        await received.wait_closed()


CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "response",
    [
        CHUNKED_RESPONSE % (b"gzip, chunked", 4, b"done"),
        CHUNKED_RESPONSE % (b"chunked", MAX_BODY_BYTES + 1, b"x" * (MAX_BODY_BYTES + 1)),
        b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    ],
    ids=["unknown coding", "too long", "rejection"],
)
async def test_an_invalid_response_stays_invalid_if_another_one_follows(response: bytes) -> None:
    """Found beside review/10: the error of the second response replaced that of the first."""
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply(response + OK_RESPONSE)
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


@pytest.mark.parametrize("status", [b"000", b"050", b"099", b"104", b"199"])
@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 4\r\n\r\nevil",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
        b"Transfer-Encoding: gzip\r\n\r\nevil",
    ],
    ids=["length", "chunked", "end of stream"],
)
async def test_the_body_of_an_interim_response_is_no_part_of_the_final_one(
    status: bytes, rest: bytes
) -> None:
    """Found beside review/6: httptools reads a body after some statuses below 200, and it was served."""
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt(timeout_ns=3600 * SECOND)
    received = await endpoint.received.get()
    received.reply(b"HTTP/1.1 %b Early\r\n%b" % (status, rest) + OK_RESPONSE)
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
@pytest.mark.parametrize("headers", [b"", b"Link: </x>\r\n", b"Content-Length: 0\r\n"])
def test_interim_responses_without_a_body_are_ignored(status: bytes, headers: bytes) -> None:
    interim = b"HTTP/1.1 %b Early\r\n%b\r\n" % (status, headers)
    for division in (1, 7, 4096):
        parser = ResponseParser()
        data = interim * 2 + OK_RESPONSE
        for start in range(0, len(data), division):
            assert not parser.is_complete
            parser.feed(data[start : start + division])
        assert parser.is_complete
        assert parser.error is None
        assert parser.response() == (200, [(b"Content-Length", b"4")], b"done")


async def test_response_followed_by_other_data_is_invalid() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    # Content-Length may be too small, or the rest is unrelated data.
    received.reply(OK_RESPONSE + b" and the rest of it")
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES = {
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "header value": (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (CHUNKED_HEAD + b"1;x=", b"a"),
    "extension of a later chunk": (CHUNKED_HEAD + b"4\r\ndone\r\n1;x=", b"a"),
    "trailer name": (CHUNKED_HEAD + b"4\r\ndone\r\n0\r\nX", b"a"),
    "trailer value": (CHUNKED_HEAD + b"4\r\ndone\r\n0\r\nX: ", b"a"),
}
"""Beginnings of responses by the part that does not end, and what repeats."""


@pytest.mark.parametrize("read_size", [100, 4096, MAX_BODY_BYTES])
@pytest.mark.parametrize(("beginning", "repeated"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
def test_a_part_that_does_not_end_is_invalid_before_it_fills_the_memory(
    beginning: bytes, repeated: bytes, read_size: int
) -> None:
    """review/3: a trailer field without an end stopped a gateway for seconds and filled its memory."""
    parser = ResponseParser()
    parser.feed(beginning)
    read = repeated * (read_size // len(repeated))
    received = 0
    while not parser.is_invalid and received < 4 * MAX_BODY_BYTES:
        parser.feed(read)
        received += len(read)
    assert parser.is_invalid
    assert received <= MAX_BODY_BYTES


@pytest.mark.parametrize(("beginning", "repeated"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
async def test_an_attempt_whose_response_does_not_end_ends_at_once(beginning: bytes, repeated: bytes) -> None:
    """review/3, at the socket: the attempt must not last until its deadline."""
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt(timeout_ns=3600 * SECOND)
    received = await endpoint.received.get()
    received.reply(beginning + repeated * (4 * MAX_BODY_BYTES))
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


def test_a_body_in_many_chunks_with_trailers_is_valid() -> None:
    parser = ResponseParser()
    parser.feed(CHUNKED_HEAD)
    for _ in range(MAX_BODY_BYTES):
        parser.feed(b"1;n=1\r\nx\r\n")
    parser.feed(b"0\r\nX-Sum: 1\r\n\r\n")
    assert parser.is_complete
    assert parser.error is None
    assert parser.response().body == b"x" * MAX_BODY_BYTES


async def test_large_body_in_pieces_does_not_count_towards_the_head() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    received.reply(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 30000)
    await received.writer.drain()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(asyncio.shield(result), 0.1)
    received.reply(b"x" * 30000)
    outcome, response = await result
    assert outcome is Outcome.OK
    assert response is not None
    assert response.body == b"x" * 60000
