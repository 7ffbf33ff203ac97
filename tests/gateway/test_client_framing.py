"""Request framing: ambiguous lengths, trailers, upgrades and `Expect`."""

from __future__ import annotations

import asyncio
import socket

import pytest

from balancer import SECOND
from gateway.timers import now_ns
from tests.support.loopback import OK_RESPONSE, FakeEndpoint, GatewayHarness, request, wait_until


async def test_an_upgrade_is_ignored() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint(reply=OK_RESPONSE))
        client = await harness.connect()
        assert (await client.exchange(request(Connection="Upgrade", Upgrade="h2c")))[0] == 200
        assert await client.reader.read() == b""


async def test_a_client_that_expects_100_continue_gets_it() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        message = request("once", body=b"some body", Expect="100-continue")
        client.send(message[:-9])
        assert (await asyncio.wait_for(client.reader.readline(), 5)).startswith(b"HTTP/1.1 100")
        await client.reader.readline()
        assert (await client.exchange(message[-9:]))[0] == 200


async def test_trailers_are_not_taken_for_headers() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        data = request("once", omit_header="Content-Length", Transfer_Encoding="chunked")
        data += b"9\r\nsome body\r\n0\r\nX-Late: 1\r\nX-Request-ID: another\r\n\r\n"
        assert (await (await harness.connect()).exchange(data))[0] == 200
        forwarded = await endpoint.received.get()
        assert (forwarded.headers["x-request-id"], forwarded.headers.get("x-late"), forwarded.body) == (
            "r1",
            None,
            b"some body",
        )


HIDDEN_REQUEST = request(request_id="hidden")


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: 5, 6\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 0x5\r\n",
        b"Content-Length : 5\r\n",
        b"Content-Length:\r\n 5\r\n",
        b"Content-Length: 5\n",
        b"Content-Length: 5\r\nX: y\r\n Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"Transfer-Encoding:\r\n chunked\r\n",
        b"Transfer-Encoding: \x0bchunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    ],
)
@pytest.mark.parametrize("byte_by_byte", [False, True])
async def test_a_request_hidden_in_ambiguous_framing_is_not_forwarded(
    lines: bytes, byte_by_byte: bool
) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        head = request("once", omit_header="Content-Length")[:-2]
        data = head + lines + b"\r\n0\r\n\r\n" + HIDDEN_REQUEST
        client = await harness.connect()
        client.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in [data[index : index + 1] for index in range(len(data))] if byte_by_byte else [data]:
            client.send(piece)
            await asyncio.sleep(0)
        assert (await client.read_response())[0] == 400
        assert await client.reader.read() == b""
        assert (await (await harness.connect()).exchange(request(request_id="good")))[0] == 200
        assert (await endpoint.received.get()).headers["x-request-id"] == "good"


async def test_bytes_after_a_framing_error_are_not_read() -> None:
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        client.send(request("once", Content_Length="60000000"))
        assert (await client.read_response())[0] == 413
        for _ in range(100):
            client.send(b"x" * 65536)
        [connection] = harness.gateway.server.connections
        await wait_until(lambda: connection.reading.is_paused)
        connection.sweep(now_ns() + 2 * SECOND)
        await wait_until(lambda: not harness.gateway.server.open_connections)  # closes despite the pause
