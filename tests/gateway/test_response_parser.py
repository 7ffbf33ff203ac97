"""Responses of endpoints over loopback sockets: complete and invalid ones, and their outcomes."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from balancer import Outcome
from gateway.upstream.response_parser import MAX_HEAD_BYTES
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


async def test_response_followed_by_other_data_is_invalid() -> None:
    harness, endpoint = UpstreamHarness(), await FakeEndpoint(reply=None).start()
    harness.update_endpoint(endpoint.address)
    _, result = harness.start_attempt()
    received = await endpoint.received.get()
    # Content-Length may be too small, or the rest is unrelated data.
    received.reply(OK_RESPONSE + b" and the rest of it")
    assert await result == (Outcome.INVALID_RESPONSE, None)
    await received.wait_closed()


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
