"""Tests of timers on an asyncio event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from balancer import MS
from gateway.timers import LATE_EXPIRY_THRESHOLD_NS, MAX_CANCELLED_TIMERS, Timers, now_ns
from tests.support.loopback import FakeEndpoint, GatewayHarness, request


class Reader(asyncio.Protocol):
    """Calls a function when data is read."""

    def __init__(self, on_read: Callable[[], None]) -> None:
        self._on_read = on_read

    def data_received(self, data: bytes) -> None:  # noqa: ARG002 - the name is asyncio's
        """Call the function given at construction."""
        self._on_read()


async def test_data_received_in_an_event_loop_stall_is_read_before_timers_expire() -> None:
    """A gateway stopped for 150 ms must not time out attempts whose responses wait in its sockets."""
    loop, order, expired = asyncio.get_running_loop(), list[str](), asyncio.Event()
    timers = Timers(loop)
    (stall_reader, stall_writer), (reader, writer) = socket.socketpair(), socket.socketpair()

    def stall() -> None:
        due_ns = now_ns() + MS
        timers.call_at(due_ns, order.append, "timer")
        timers.call_at(due_ns, lambda _: expired.set(), None)
        while now_ns() <= due_ns + 2 * LATE_EXPIRY_THRESHOLD_NS:
            pass
        writer.send(b"response")

    with stall_writer, writer:
        first, _ = await loop.create_connection(lambda: Reader(stall), sock=stall_reader)
        second, _ = await loop.create_connection(lambda: Reader(lambda: order.append("data")), sock=reader)
        stall_writer.send(b"go")
        await expired.wait()
        assert order == ["data", "timer"]
        first.close()
        second.close()


async def test_cancelled_timers_are_released_long_before_they_are_due() -> None:
    timers, expired, fired = Timers(asyncio.get_running_loop()), asyncio.Event(), list[int]()
    for number in range(100 * MAX_CANCELLED_TIMERS):
        timers.cancel(timers.call_after(3600_000 * MS, fired.append, number))
    assert len(timers) <= 2 * MAX_CANCELLED_TIMERS
    timers.call_after(MS, lambda _: expired.set(), None)
    first = timers.call_after(0, fired.append, -1)
    timers.cancel(first)
    await expired.wait()
    timers.cancel(first)  # a second time, after its time
    assert not fired


async def test_answered_requests_leave_no_timers_behind() -> None:
    """Report 168279: the timers of answered requests filled the memory at any rate of new names."""
    rounds = 4 * MAX_CANCELLED_TIMERS
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        for number in range(rounds):
            assert (await client.exchange(request(request_id=f"r{number}")))[0] == 200
        dispatcher = harness.gateway.dispatcher
        assert len(harness.gateway.timers) < rounds
        assert not dispatcher.open_requests()
        assert len(dispatcher.balancer.timers.owners) <= 1  # type: ignore[attr-defined]
