"""Discovery over loopback sockets: backoff, changes of address, and updates of the endpoint list."""

from __future__ import annotations

import asyncio

import pytest

from balancer import SECOND, EndpointState, UpdateKind
from gateway.discovery.discovery import FAST_RECONNECT_PERIOD_NS
from gateway.timers import now_ns
from tests.support.discovery import DRAIN_GRACE_NS, ENDPOINT_ENTRY, DiscoveryHarness, split_address
from tests.support.loopback import FakeDiscovery, FakeEndpoint, GatewayHarness, request, wait_until


async def test_pushed_watch_is_opened_and_reopened_without_the_balancer() -> None:
    harness = await DiscoveryHarness.start(is_pushed=True)
    server = harness.server
    _, writer = await server.calls.get()
    writer.close()
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    assert "watch=1" in (await server.calls.get())[0]


async def test_pushed_backoff_stays_within_the_drain_grace_after_many_failures() -> None:
    """The gateway counts as notified of pushed changes at once.

    The backoff must not wait up to 7.5 s after eight failures.
    """
    harness = await DiscoveryHarness.start(is_pushed=True)
    server = harness.server
    for _ in range(8):
        _, writer = await server.calls.get()
        writer.close()
        assert await harness.updates.get() == (UpdateKind.FAILED, [])
        assert max(harness.timers.delays_ns) <= DRAIN_GRACE_NS // 2


async def test_old_watch_is_used_until_the_first_update_of_a_new_address() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    other, third = await FakeDiscovery().start(), await FakeDiscovery().start()
    discovery.watch(True)
    _, old = await server.calls.get()
    server.start_watch_response(old)
    server.write_watch_event(old, 42, [])
    await harness.updates.get()
    discovery.change_address(split_address(third))  # changed again below: only the last address is used
    await third.calls.get()
    discovery.change_address(split_address(other))
    first, new = await other.calls.get()
    assert "from=0 " in first  # generations of different addresses are not comparable
    server.write_watch_event(old, 43, [{**ENDPOINT_ENTRY, "lifecycle": "terminating"}])
    kind, [endpoint] = await harness.updates.get()
    assert (kind, endpoint.entry.state) == (UpdateKind.DELTA, EndpointState.DRAINING)
    other.start_watch_response(new)
    other.write_watch_event(new, 7, [ENDPOINT_ENTRY], reset=True)
    assert (await harness.updates.get())[0] is UpdateKind.SNAPSHOT
    server.write_watch_event(old, 44, [{**ENDPOINT_ENTRY, "lifecycle": "terminated"}])
    other.write_watch_event(new, 8, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])  # no update of the old watch in between
    new.close()
    assert "from=8 " in (await other.calls.get())[0]
    assert server.calls.empty()
    assert third.calls.empty()


async def test_failed_watch_of_a_new_address_is_reopened_without_the_balancer() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    other = await FakeDiscovery().start()
    discovery.watch(True)
    _, old = await server.calls.get()
    discovery.change_address(split_address(other))
    old.close()
    _, new = await other.calls.get()
    new.close()
    _, new = await other.calls.get()
    other.start_watch_response(new)
    other.write_watch_event(new, 7, [ENDPOINT_ENTRY], reset=True)
    assert (await harness.updates.get())[0] is UpdateKind.SNAPSHOT  # no failure was reported before it


async def test_failure_after_the_fast_reconnect_period_is_left_to_the_balancer() -> None:
    harness = await DiscoveryHarness.start()
    server, discovery = harness.server, harness.discovery
    other = await FakeDiscovery().start()
    discovery.watch(True)
    await server.calls.get()
    discovery.change_address(split_address(other))
    discovery.address_changed_ns -= FAST_RECONNECT_PERIOD_NS  # the period is over
    _, new = await other.calls.get()
    new.close()
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    discovery.watch(True)  # the old watch is still open, but on an obsolete address
    assert "from=0 " in (await other.calls.get())[0]


async def test_pushed_watch_of_a_new_address_is_reopened_while_the_old_one_is_open() -> None:
    harness = await DiscoveryHarness.start(is_pushed=True)
    server, discovery = harness.server, harness.discovery
    other = await FakeDiscovery().start()
    _, old = await server.calls.get()
    server.start_watch_response(old)
    server.write_watch_event(old, 42, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    discovery.change_address(split_address(other))
    _, new = await other.calls.get()
    discovery.address_changed_ns -= FAST_RECONNECT_PERIOD_NS  # the period is over when the first call fails
    new.close()
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    _, new = await asyncio.wait_for(other.calls.get(), 5)
    other.start_watch_response(new)
    other.write_watch_event(new, 7, [ENDPOINT_ENTRY], reset=True)
    assert (await harness.updates.get())[0] is UpdateKind.SNAPSHOT


@pytest.mark.parametrize("is_pushed", [False, True])
async def test_unresponsive_new_address_is_called_again_in_time(is_pushed: bool) -> None:
    """The gateway counts as notified 4 s after the signal, and 6 s after the address became reachable."""
    harness = await DiscoveryHarness.start(is_pushed=is_pushed)
    server, discovery = harness.server, harness.discovery
    other = await FakeDiscovery().start()
    discovery.watch(True)
    _, old = await server.calls.get()
    server.start_watch_response(old)
    server.write_watch_event(old, 42, [])
    assert await harness.updates.get() == (UpdateKind.DELTA, [])
    discovery.change_address(split_address(other))
    await other.calls.get()
    old.close()  # the old server closes its watch soon after the change
    await wait_until(lambda: discovery.current_watch is None)
    discovery.address_changed_ns -= FAST_RECONNECT_PERIOD_NS
    discovery.sweep(now_ns() + 17 * SECOND // 4)
    assert await harness.updates.get() == (UpdateKind.FAILED, [])
    if is_pushed:  # the balancer does not open watches
        assert harness.timers.delays_ns[-1] <= DRAIN_GRACE_NS // 2
    else:  # the balancer reopens a failed watch within a second
        discovery.watch(True)
    _, new = await other.calls.get()
    other.start_watch_response(new)
    other.write_watch_event(new, 7, [ENDPOINT_ENTRY], reset=True)
    assert (await harness.updates.get())[0] is UpdateKind.SNAPSHOT


async def test_endpoint_list_updates_open_and_close_connections() -> None:
    async with GatewayHarness() as harness:
        endpoint, other = FakeEndpoint("h0"), FakeEndpoint("h1")
        await harness.start(endpoint, other, entries=[])
        client = await harness.connect()
        _, writer = await harness.discovery.calls.get()
        harness.discovery.start_watch_response(writer)
        harness.discovery.write_watch_event(writer, 42, [endpoint.make_entry()])
        await wait_until(lambda: harness.gateway.dispatcher.has_endpoints)
        assert (await client.exchange(request()))[0] == 200
        received = await endpoint.received.get()
        harness.discovery.write_watch_event(writer, 43, [other.make_entry()], reset=True)
        await received.wait_closed()  # it is no longer listed
        assert (await client.exchange(request(request_id="r2")))[0] == 200
        assert (await other.received.get()).headers["x-request-id"] == "r2"
