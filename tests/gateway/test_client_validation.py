"""Request validation: valid requests are forwarded, invalid ones get an error response."""

from __future__ import annotations

import pytest

from tests.support.loopback import FakeEndpoint, GatewayHarness, request
from tests.support.upstream import age_idle_connections

KEYED_REQUEST = request("keyed", body=b"some body", Content_Type="text/plain", Connection="X-Hop", X_Hop="1")


async def test_a_request_is_forwarded_unchanged() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        assert (await (await harness.connect()).exchange(KEYED_REQUEST))[::2] == (200, b"done")
        forwarded = await endpoint.received.get()
        assert (forwarded.first_line, forwarded.body) == ("POST /keyed/x?q=1 HTTP/1.1", b"some body")
        assert {
            name: forwarded.headers.get(name)
            for name in ("x-request-id", "idempotency-key", "content-type", "x-hop", "connection")
        } == {
            "x-request-id": "r1",
            "idempotency-key": "kr1",
            "content-type": "text/plain",
            "x-hop": None,
            "connection": None,
        }
        assert 0 < int(forwarded.headers["x-timeout-ms"]) < 6000


@pytest.mark.parametrize(
    ("status", "data"),
    [
        (400, b"nonsense\r\n\r\n"),
        (400, b"\x16\x03\x01\x02\x00\x01"),
        (404, request(path="x")),
        (404, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
        (404, b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"),
        (400, request(omit_header="X-Priority-Class")),
        (400, request(X_Priority_Class="keyed")),
        (400, request(X_Priority_Class="unheard-of")),
        (400, request(omit_header="X-Tenant-Id")),
        (400, request(X_Tenant_Id="nobody")),
        (400, request(omit_header="X-Request-ID")),
        (400, request(request_id="")),
        (400, request(request_id="x" * 300)),
        (400, request(x_request_id="another")),
        (400, request(omit_header="X-Timeout-Ms")),
        (400, request(X_Timeout_Ms="soon")),
        (400, request(X_Timeout_Ms="-5")),
        (400, request(X_Timeout_Ms="0")),
        (400, request(X_Timeout_Ms="1e3")),
        (400, request(Idempotency_Key="k")),
        (400, request("keyed", omit_header="Idempotency-Key")),
        (400, request("once", Idempotency_Key="k")),
        (400, request("once").replace(b"POST", b"GET")),
        (400, request("read").replace(b"GET", b"POST")),
        (400, request("once", Transfer_Encoding="chunked") + b"0\r\n\r\n"),
        (400, request("once", Content_Length="-1")),
        (400, request("once", Content_Length="nine")),
        (413, request("once", Content_Length="65537")),
        (413, request("once", Content_Length="9" * 18)),
        (
            413,
            request("once", omit_header="Content-Length", Transfer_Encoding="chunked")
            + b"10001\r\n"
            + b"x" * 65537,
        ),
        (431, request(X_Long="x" * 20000)),
        (431, request(omit_header="Host").replace(b"\r\n\r\n", b"\r\nX: x" * 200 + b"\r\n\r\n")),
        (431, b"GET /" + b"x" * 70000),
    ],
)
async def test_an_invalid_request_gets_an_error_and_is_not_forwarded(status: int, data: bytes) -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        assert (await (await harness.connect()).exchange(data))[0] == status
        assert (await (await harness.connect()).exchange(request(request_id="good")))[0] == 200
        assert (await endpoint.received.get()).headers["x-request-id"] == "good"
        assert endpoint.received.empty()


async def test_a_body_at_the_limit_is_forwarded_both_ways() -> None:
    async with GatewayHarness() as harness:
        body = bytes(range(256)) * 256
        endpoint = FakeEndpoint(reply=b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + body)
        await harness.start(endpoint)
        assert (await (await harness.connect()).exchange(request("once", body=body)))[::2] == (200, body)
        assert (await endpoint.received.get()).body == body


@pytest.mark.parametrize("before", [b"", b" ", b"\t  "])
@pytest.mark.parametrize("after", [b"", b" ", b" \t"])
async def test_white_space_around_a_header_value_is_ignored(before: bytes, after: bytes) -> None:
    """HTTP allows white space there; a tenant name with a space after it must not mean another tenant."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint()
        await harness.start(endpoint)
        client = await harness.connect()
        head, _, body = KEYED_REQUEST.partition(b"\r\n\r\n")
        line, *fields = head.split(b"\r\n")
        spaced = [
            b"%b:%b%b%b" % (name, before, value.strip(), after)
            for name, _, value in (field.partition(b":") for field in fields)
        ]
        client.send(b"\r\n".join([line, *spaced]) + b"\r\n\r\n" + body)
        assert (await client.read_response())[0] == 200
        forwarded = await endpoint.received.get()
        assert (forwarded.headers["x-request-id"], forwarded.headers["idempotency-key"]) == ("r1", "kr1")
        assert forwarded.body == b"some body"
        assert "x-hop" not in forwarded.headers


async def test_the_id_of_an_open_request_is_not_accepted_again() -> None:
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        first, second = await harness.connect(), await harness.connect()
        first.send(request())
        forwarded = await endpoint.received.get()
        assert (await second.exchange(request()))[0] == 400
        forwarded.reply()
        assert (await first.read_response())[0] == 200
        age_idle_connections(harness.gateway.upstream)  # allows the endpoint connection to be reused
        second.send(request())
        assert (await forwarded.reader.readline()).startswith(
            b"GET "
        )  # the id may be reused once its request has ended
