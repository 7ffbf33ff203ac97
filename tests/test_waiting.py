"""A request whose client leaves while it waits is not sent on, whatever it waits for."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from bridgesaddle.api import MS
from gateway.timers import now_ns
from tests.sockets import LAST, OK, SETTINGS, Client, FakeHost, Stage, play, request, until

FULL = b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
QUICK: dict[str, Any] = {"request-classes": [{**item, "slo-ns": 2000 * MS}
                                             for item in SETTINGS["request-classes"]]}
"""Classes with an aim so short that a retry's gap is 1.5 s."""


def close(client: Client) -> None:
    client.writer.close()


def half_close(client: Client) -> None:
    client.writer.write_eof()


def reset(client: Client) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


leaving = pytest.mark.parametrize("leave", [close, half_close, reset])
Leave = Callable[[Client], None]


class HeldUp:
    """A loop whose connections come up only once they may."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.asked = asyncio.Event()
        self.may = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *args: Any) -> Any:
        self.asked.set()
        await self.may.wait()
        return await self.loop.create_connection(*args)


async def only_the_other_is_sent(stage: Stage, host: FakeHost) -> None:
    """A request that comes later is served, and is the next to reach the host."""
    other = await stage.client()
    assert (await other.ask(request(rid="other")))[0] == 200
    assert (await host.seen.get()).headers["x-request-id"] == "other"
    assert host.seen.empty()


@leaving
def test_one_that_waited_for_a_host_is_not_sent(leave: Leave) -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            busy, leaver = await stage.client(), await stage.client()
            busy.send(request(rid="busy"))
            seen = await host.seen.get()
            leaver.send(request(rid="left"))   # a host that was never used gets one at a time
            await until(lambda: len(stage.gateway.core.held()) == 2)
            assert host.seen.empty()
            leave(leaver)
            await until(lambda: len(stage.gateway.core.held()) == 1)
            host.reply = OK
            seen.reply(LAST)
            assert (await busy.answer())[0] == 200
            await only_the_other_is_sent(stage, host)
    play(scene)


@leaving
def test_one_that_waited_for_its_gap_is_not_sent(leave: Leave) -> None:
    async def scene() -> None:
        async with Stage() as stage:
            hosts = FakeHost("h0", reply=None), FakeHost("h1", reply=None)
            await stage.begin(*hosts, **QUICK)
            core, timers = stage.gateway.core, stage.gateway.timers
            client = await stage.client()
            client.send(request(rid="left"))
            await until(lambda: any(not host.seen.empty() for host in hosts))
            first, other = hosts if not hosts[0].seen.empty() else hosts[::-1]
            (await first.seen.get()).reply(FULL)
            await until(lambda: not core.held()[0].out)
            leave(client)
            await until(lambda: not core.held())
            rung = asyncio.Event()
            timers.after(2000 * MS, lambda _: rung.set(), None)   # behind the gap in the one heap of timers
            await rung.wait()
            assert first.seen.empty() and other.seen.empty()
    play(scene)


@leaving
def test_one_that_waited_for_its_connection_is_not_sent(leave: Leave) -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host, caps={**SETTINGS["caps"], "dial-timeout-ns": 5_000 * MS})
            late = HeldUp(asyncio.get_running_loop())
            stage.gateway.upstream._loop = late   # type: ignore[assignment]
            client = await stage.client()
            client.send(request(rid="left"))
            await late.asked.wait()
            leave(client)
            if leave is half_close:   # it may still read, and is told
                assert (await client.answer())[0] == 502
            await until(lambda: not stage.gateway.core.held())
            late.may.set()
            await only_the_other_is_sent(stage, host)
    play(scene)


def test_a_half_closed_client_still_gets_the_answer_of_what_has_been_written() -> None:
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost(reply=None)
            await stage.begin(host)
            client = await stage.client()
            client.send(request())
            seen = await host.seen.get()
            client.writer.write_eof()
            await until(lambda: stage.gateway.core.held()[0].closing)
            seen.reply()
            assert (await client.answer())[::2] == (200, b"done")
    play(scene)


class ComesUp:
    """A loop whose connections are up, but say so only when the test does."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.up: asyncio.Queue[tuple[asyncio.Protocol, asyncio.Transport]] = asyncio.Queue()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, make: Callable[[], asyncio.Protocol], *args: Any) -> None:
        transport, _ = await self.loop.create_connection(asyncio.Protocol, *args)
        self.up.put_nowait((make(), transport))

    @staticmethod
    def say(protocol: asyncio.Protocol, transport: asyncio.Transport) -> None:
        """The connection is up."""
        transport.set_protocol(protocol)
        protocol.connection_made(transport)


def move_clock(patch: pytest.MonkeyPatch) -> None:
    """The loop stands still for a time."""
    patch.setattr("gateway.core.now_ns", lambda: now_ns() + 150 * MS)


@pytest.mark.parametrize("leave", [close, half_close])
def test_a_connection_that_comes_up_soon_after_the_close_is_not_used(leave: Leave,
                                                                     monkeypatch: pytest.MonkeyPatch) -> None:
    """0.17 s after it three of four requests were sent on."""
    async def scene() -> None:
        async with Stage() as stage:
            host = FakeHost()
            await stage.begin(host, caps={**SETTINGS["caps"], "dial-timeout-ns": 5_000 * MS})
            core = stage.gateway.core
            late = ComesUp(asyncio.get_running_loop())
            stage.gateway.upstream._loop = late   # type: ignore[assignment]
            client = await stage.client()
            client.send(request(rid="left"))
            up = await late.up.get()
            leave(client)
            await until(lambda: all(held.closing for held in core.held()))
            move_clock(monkeypatch)
            late.say(*up)
            assert not core.held() and up[1].is_closing()
    play(scene)
