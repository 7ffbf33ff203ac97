"""Fake discovery server: fetches, watches, the queue of calls and outages."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from scale.fleet import EndpointRow, Fleet
from scale.registry import Capacity, FakeDiscoveryServer
from tests.support.loopback import run_coroutine, wait_until

from .fleets import make_fleet

FETCH = b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n"
SLOW = Capacity(calls_per_s=0.001)
"""Capacity at which a call takes 1,000 s, so that no call in service ends during a test."""


class DiscoveryClient:
    """Client connection to the fake discovery server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def fetch(self) -> tuple[int, Any]:
        """Fetch a snapshot and return the status and the decoded body."""
        self.writer.write(FETCH)
        return await self.read_response()

    async def read_response(self) -> tuple[int, Any]:
        """Read a response with a content length; return the status and the decoded body."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        body = await self.reader.readexactly(int(head.split(b"Content-Length: ")[1].split()[0]))
        return int(head.split()[1]), json.loads(body) if body else None

    async def watch(self, since: int) -> Any:
        """Start a watch after generation `since` and return its first watch event."""
        self.writer.write(FETCH.replace(b" HTTP", b"?watch=1&from=%d HTTP" % since))
        assert b"Transfer-Encoding: chunked" in await self.reader.readuntil(b"\r\n\r\n")
        return await self.read_event()

    async def read_event(self) -> Any:
        """Return the next watch event, or None for a heartbeat (an empty line)."""
        size = int(await self.reader.readline(), 16)
        chunk = await self.reader.readexactly(size + 2)
        assert chunk[size - 1 :] == b"\n\r\n"
        return json.loads(chunk[:size]) if size > 1 else None

    async def is_closed(self) -> bool:
        """Whether the connection is closed or reset with no further data."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True


Connect = Callable[[], Awaitable[DiscoveryClient]]


def run_with_discovery(
    test: Callable[[FakeDiscoveryServer, Fleet, Connect], Awaitable[None]], **options: Any
) -> None:
    """Run a test with a fake discovery server for twelve endpoints, their fleet and a connect function."""

    async def run() -> None:
        fleet = make_fleet()
        discovery = await FakeDiscoveryServer(
            fleet.rows.values(), **{"generation": 40, "heartbeat_s": 60.0, **options}
        ).start()
        host, _, port = discovery.address.rpartition(":")

        async def connect() -> DiscoveryClient:
            return DiscoveryClient(*await asyncio.open_connection(host, int(port)))

        try:
            await test(discovery, fleet, connect)
        finally:
            await discovery.close()

    run_coroutine(run)


def instance_ids(rows: list[EndpointRow]) -> set[str]:
    return {row["instanceId"] for row in rows}


def test_fetch_and_watch_have_the_format_of_the_protocol() -> None:
    async def check(discovery: FakeDiscoveryServer, fleet: Fleet, connect: Connect) -> None:
        fetcher = await connect()
        snapshot = {"generation": 40, "reset": True, "instances": list(fleet.rows.values())}
        assert await fetcher.fetch() == (200, snapshot) == await fetcher.fetch()  # on the same connection
        watcher = await connect()
        assert await watcher.watch(40) == {"generation": 40, "reset": False, "instances": []}
        for changed in (fleet.drain(1), fleet.lose_zone("zone-0")):
            generation = discovery.publish(changed)
            assert await watcher.read_event() == {
                "generation": generation,
                "reset": False,
                "instances": changed,
            }
            assert len(discovery.written_ns(generation)) == 1
        assert (await fetcher.fetch())[1]["instances"] == list(fleet.rows.values())
        assert (discovery.counts.calls, discovery.counts.failures, discovery.counts.snapshots) == (4, 0, 3)

    run_with_discovery(check)


def test_watch_starts_with_the_missed_changes_or_a_snapshot() -> None:
    async def check(discovery: FakeDiscoveryServer, fleet: Fleet, connect: Connect) -> None:
        changes = [fleet.drain(1), fleet.replace(1), fleet.replace(1)]
        for changed in changes:
            discovery.publish(changed)
        missed = await (await connect()).watch(41)
        assert (missed["generation"], missed["reset"]) == (43, False)
        assert instance_ids(missed["instances"]) == instance_ids(changes[1] + changes[2])
        for unknown in (40, 0, 99):  # older than the history; no generation; one that this server never had
            snapshot = await (await connect()).watch(unknown)
            assert snapshot["reset"]
            assert instance_ids(snapshot["instances"]) == set(fleet.rows)

    run_with_discovery(check, history=2)


def test_watch_sends_heartbeats_while_the_list_does_not_change() -> None:
    async def check(discovery: FakeDiscoveryServer, _: Fleet, connect: Connect) -> None:
        watch = await connect()
        await watch.watch(40)
        assert await watch.read_event() is None
        assert discovery.counts.heartbeat_bytes >= 6
        assert discovery.counts.update_bytes() > 0

    run_with_discovery(check, heartbeat_s=0.01)


def test_queued_calls_fail_after_the_queue_timeout() -> None:
    async def check(discovery: FakeDiscoveryServer, _: Fleet, connect: Connect) -> None:
        in_service = await connect()
        in_service.writer.write(FETCH)
        # The first call must be in service, so that only the next one is queued.
        await wait_until(lambda: discovery.counts.calls == 1 and not discovery.queue_length)
        queued = await connect()
        assert await queued.fetch() == (503, None) == await queued.fetch()
        assert (discovery.counts.calls, discovery.counts.failures) == (3, 2)

    run_with_discovery(check, capacity=Capacity(SLOW.calls_per_s, queue_timeout_s=0.02))


def test_service_time_of_a_call_grows_with_its_entries() -> None:
    async def check(discovery: FakeDiscoveryServer, _: Fleet, connect: Connect) -> None:
        quick, slow = await connect(), await connect()
        assert (await quick.watch(40))["instances"] == []
        slow.writer.write(FETCH)  # twelve entries at 1,000 s each
        await wait_until(lambda: discovery.counts.calls == 2 and not discovery.queue_length)
        assert await (await connect()).fetch() == (503, None)

    run_with_discovery(
        check, capacity=Capacity(calls_per_s=1000.0, entries_per_unit=1e-6, queue_timeout_s=0.02)
    )


def test_outage_ends_watches_and_resets_calls() -> None:
    async def check(discovery: FakeDiscoveryServer, fleet: Fleet, connect: Connect) -> None:
        watch = await connect()
        await watch.watch(40)
        discovery.take_down()
        assert await watch.is_closed()
        during = await connect()
        during.writer.write(FETCH)
        assert await during.is_closed()
        assert (discovery.counts.failures, discovery.watch_count) == (1, 0)
        changed = fleet.lose_zone("zone-2")
        discovery.publish(changed)
        discovery.bring_up()
        assert instance_ids((await (await connect()).watch(40))["instances"]) == instance_ids(changed)

    run_with_discovery(check)


def test_outage_resets_calls_in_service_and_in_the_queue() -> None:
    async def check(discovery: FakeDiscoveryServer, _: Fleet, connect: Connect) -> None:
        clients = [await connect(), await connect()]
        for client in clients:
            client.writer.write(FETCH)
        await wait_until(lambda: discovery.counts.calls == 2)
        discovery.take_down()
        assert [await client.is_closed() for client in clients] == [True, True]
        assert discovery.counts.failures == 2

    run_with_discovery(check, capacity=SLOW)
