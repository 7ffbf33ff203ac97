"""Load generator and fake endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import pytest
from click.testing import CliRunner

from scale.backend import FakeEndpoints, UnknownColumnError
from scale.backend import main as backend_main
from scale.load import FOREIGN_BODY, LoadGenerator, arrival_times, request_bytes
from scale.load import main as load_main
from tests.support.loopback import OK_RESPONSE, run_coroutine


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def start_server(serve: Callable[..., Coroutine[None, None, None]]) -> tuple[str, int]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address: tuple[str, int] = server.sockets[0].getsockname()
    return address


def test_arrival_times_depend_only_on_the_seed_and_match_the_rate() -> None:
    times = arrival_times(86, 100, 7)
    assert times == arrival_times(86, 100, 7) != arrival_times(86, 100, 8)
    assert times == sorted(times)
    assert 0.95 < len(times) / 8600 < 1.05
    assert max(times) < 100


def test_requests_are_sent_when_due_regardless_of_pending_responses() -> None:
    async def check() -> None:
        received: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            received.append(writer)
            if len(received) == 20:  # not reached by a generator that waits for responses
                for other in received:
                    other.write(OK_RESPONSE)

        generator = LoadGenerator(await start_server(serve), "read", "t", 15_000)
        samples = await generator.run([number / 1000 for number in range(20)])
        assert [sample.status for sample in samples] == [200] * 20
        assert len({sample.request_id for sample in samples}) == generator.connections_opened == 20
        assert all(sample.sent_ns >= sample.due_ns for sample in samples)
        assert all(sample.done_ns >= samples[-1].sent_ns >= samples[-1].due_ns for sample in samples)

    run_coroutine(check)


def test_request_on_a_just_closed_connection_is_sent_again_on_a_new_one() -> None:
    async def check() -> None:
        heads: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(OK_RESPONSE)
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()

        generator = LoadGenerator(await start_server(serve), "read", "t", 15_000)
        assert [(await generator.send(text)).status for text in (b"a\r\n\r\n", b"b\r\n\r\n")] == [200, 200]
        assert (heads, generator.connections_opened) == ([b"a\r\n\r\n", b"b\r\n\r\n", b"b\r\n\r\n"], 2)

    run_coroutine(check)


def test_the_response_to_another_request_is_a_foreign_body() -> None:
    async def check() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for request_id in (b"%016x" % 0, b"%016x" % 0):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nserved " + request_id)

        generator = LoadGenerator(await start_server(serve), "read", "t", 15_000)
        assert [sample.status for sample in await generator.run([0, 0.2])] == [200, FOREIGN_BODY]

    run_coroutine(check)


def test_each_request_gets_one_response_with_the_endpoint_time() -> None:
    async def check() -> None:
        fake_endpoints = FakeEndpoints(3, 0.005)
        [address] = await fake_endpoints.start(1)
        samples = await LoadGenerator(parse_address(address), "read", "t", 15_000).run(
            arrival_times(200, 0.5, 3)
        )
        assert (
            len(samples) == len(arrival_times(200, 0.5, 3)) == len({sample.request_id for sample in samples})
        )
        assert all(
            sample.status == 200 and 0 <= sample.endpoint_ns <= sample.done_ns - sample.sent_ns
            for sample in samples
        )
        expected_s = sum(fake_endpoints.service_time_s(sample.request_id.encode()) for sample in samples)
        assert sum(sample.endpoint_ns for sample in samples) / 1e9 > expected_s / 2
        fake_endpoints.close()

    run_coroutine(check)


def test_endpoint_responses_have_the_format_of_the_protocol() -> None:
    async def check() -> None:
        fake_endpoints = FakeEndpoints(3, 0.001, ("utilization", "outstanding"))
        [address] = await fake_endpoints.start(1)

        async def send(text: bytes) -> bytes:
            reader, writer = await asyncio.open_connection(*parse_address(address))
            writer.write(text)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            body = await reader.readexactly(length)
            writer.close()
            return head + body

        served = await send(request_bytes("r1", "read", "t", 500))
        assert served.startswith(b"HTTP/1.1 200 ")
        assert served.endswith(b"\r\n\r\nserved r1")
        assert b'X-Server-Load: {"utilization": 0.0, "outstanding": 0}\r\n' in served
        assert b"\r\nServer-Timing: app;dur=" in served
        assert (await send(b"GET /read HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 404 ")
        assert (await send(b"no request\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
        fake_endpoints.close()

    run_coroutine(check)
    with pytest.raises(UnknownColumnError):
        FakeEndpoints(3, 0.001, ("mood",))


def test_invalid_arguments_of_load_and_backend_exit_2() -> None:
    valid = ["--class", "read", "--tenant", "t"]
    for arguments in (["nowhere", *valid], ["127.0.0.1:1"], ["127.0.0.1:1", *valid, "--rate", "0"]):
        assert CliRunner().invoke(load_main, arguments).exit_code == 2
    for arguments in (["0"], ["1", "--column", "mood"], ["1", "--mean-ms", "0"]):
        assert CliRunner().invoke(backend_main, arguments).exit_code == 2
