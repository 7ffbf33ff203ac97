"""Memory that discovery can make the gateway use: decoded updates, received parts, and listed endpoints."""

from __future__ import annotations

import json
from typing import Any

import pytest

from balancer import SECOND, EndpointState
from gateway.discovery import EndpointCapacity, EndpointListError, EndpointListParser
from gateway.discovery.endpoint_capacity import ENDPOINT_BYTES, GUARANTEED_SHARE
from gateway.discovery.errors import UpdateTooLargeError
from gateway.discovery.update_decoder import SMALL_UPDATE_BYTES, decode_update
from gateway.memory_budget import Charge, MemoryBudget, Priority
from tests.support.discovery import ENDPOINT_ENTRY, DiscoveryHarness
from tests.support.loopback import FakeDiscovery, wait_until

LARGE_BUDGET = MemoryBudget(64 << 20)
OLD_ENTRY = {**ENDPOINT_ENTRY, "startedAtMs": 0}
"""An endpoint that started long ago, so that no start is stored for it."""


def entries(count: int, **fields: Any) -> list[dict[str, Any]]:
    return [{**OLD_ENTRY, "instanceId": f"s-{number}", **fields} for number in range(count)]


@pytest.mark.parametrize(
    "entry",
    [
        '{"a": NaN}',
        '{"weight": 1e400}',
        '{"startedAtMs": 123456789012345678901234567890}',
        '"\\ud800"',
        "[]",
        "7",
    ],
)
def test_entries_are_decoded_as_the_standard_library_does(entry: str) -> None:
    text = (
        f'{{"generation": 4, "reset": true, "instances": [{entry}, {json.dumps(ENDPOINT_ENTRY)}]}}'.encode()
    )
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(LARGE_BUDGET))
    decoded = parser.parse(decode_update(text, LARGE_BUDGET), SECOND)
    expected = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(LARGE_BUDGET)).parse(
        json.loads(text), SECOND
    )
    assert decoded == expected
    assert decoded.is_snapshot


def test_an_entry_that_is_not_text_makes_the_update_invalid() -> None:
    text = b'{"generation": 4, "instances": [{"instanceId": "\xff"}]}'
    parser = EndpointListParser(["a"], [], EndpointCapacity(LARGE_BUDGET))
    with pytest.raises(EndpointListError):
        parser.parse(decode_update(text, LARGE_BUDGET), SECOND)


@pytest.mark.parametrize("element", [b"{}", b"[]", b"1", b'""', b'{"a":1}', b"NaN", b"\xf0\x9f\x98\x80"])
def test_an_update_that_would_exceed_the_budget_is_not_decoded(element: bytes) -> None:
    """Report 168279, related path: 7 MB of `{},` became 180 MB of objects."""
    count = (4 << 20) // (len(element) + 1)
    text = b'{"generation": 4, "instances": [' + b",".join([element] * count) + b"]}"
    with pytest.raises(UpdateTooLargeError):
        decode_update(text, MemoryBudget(8 << 20))


def test_a_small_update_is_decoded_whatever_else_is_stored() -> None:
    budget = MemoryBudget(1000)
    Charge(budget).set(2000)
    document = {"generation": 4, "reset": False, "instances": entries(20)}
    text = json.dumps(document).encode()
    assert len(text) < SMALL_UPDATE_BYTES
    assert len(decode_update(text, budget)["instances"]) == 20


def test_endpoints_above_the_budget_are_dropped_and_known_ones_follow_their_changes() -> None:
    """Report 168279, related path: names were added by deltas without a limit."""
    budget = MemoryBudget(100 * ENDPOINT_BYTES)
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(budget))
    added = parser.parse({"generation": 1, "instances": entries(200)}, SECOND).endpoints
    assert 50 < len(added) < 100
    assert budget.used_bytes <= budget.limit_bytes
    draining = parser.parse({"generation": 2, "instances": entries(200, lifecycle="terminating")}, SECOND)
    assert [item.entry.endpoint_id for item in draining.endpoints] == [
        item.entry.endpoint_id for item in added
    ]
    assert {item.entry.state for item in draining.endpoints} == {EndpointState.DRAINING}
    parser.parse({"generation": 3, "instances": entries(10, lifecycle="terminated")}, SECOND)
    others = [{**OLD_ENTRY, "instanceId": f"t-{number}"} for number in range(10)]
    assert len(parser.parse({"generation": 4, "instances": others}, SECOND).endpoints) == 10
    used_bytes = budget.used_bytes
    parser.parse({"generation": 5, "reset": True, "instances": others[:1]}, SECOND)
    assert budget.used_bytes < used_bytes / 10


def test_a_part_of_the_budget_is_guaranteed_to_endpoints() -> None:
    budget = MemoryBudget(100 * ENDPOINT_BYTES)
    Charge(budget).set(budget.limit_bytes)
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(budget))
    added = parser.parse({"generation": 1, "instances": entries(200)}, SECOND).endpoints
    assert 0 < len(added) * ENDPOINT_BYTES <= GUARANTEED_SHARE * budget.limit_bytes


@pytest.mark.parametrize("end", [b"", b"\n"])
async def test_a_call_that_exceeds_the_budget_ends_and_keeps_the_list(end: bytes) -> None:
    """A line that does not end, or an object over many lines, is stored until it is complete."""
    harness = await DiscoveryHarness.start(is_pushed=True)
    _, writer = await harness.server.calls.get()
    harness.budget.limit_bytes = 1 << 20
    others = Charge(harness.budget, lambda _: others.set(0))
    others.set(600_000, Priority.INCOMPLETE_REQUEST)
    FakeDiscovery.start_watch_response(writer)
    FakeDiscovery.write_chunk(writer, b'{"generation": 50, "instances": [' + end)
    for _ in range(100):
        FakeDiscovery.write_chunk(writer, b"1," * 5_000 + end)
    await wait_until(lambda: harness.discovery.current_watch is None)
    assert others.size_bytes == 0  # released before the call was ended
    assert harness.budget.used_bytes < ENDPOINT_BYTES * 2
    assert harness.updates.empty() or (await harness.updates.get())[1] == []
    harness.discovery.close()


def test_starts_of_endpoints_that_are_gone_are_charged() -> None:
    """Found on rereading: their ids stay with their starts, and nothing counted them."""
    budget = MemoryBudget(4000 * ENDPOINT_BYTES)
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(budget))
    names = ["x" * 200 + str(number) for number in range(1000)]
    listed = [{**ENDPOINT_ENTRY, "instanceId": name, "startedAtMs": 5000} for name in names]
    assert len(parser.parse({"generation": 1, "instances": listed}, SECOND).endpoints) == len(names)
    gone = [{**entry, "lifecycle": "terminated"} for entry in listed]
    parser.parse({"generation": 2, "instances": gone}, 2 * SECOND)
    assert len(parser.start_times) == len(names)
    assert budget.used_bytes > len(names) * len(names[0])


@pytest.mark.parametrize(
    "change",
    [{"instanceId": "x" * 1000}, {"hostPort": "x" * 1000 + ":1"}, {"cell": 10**300}, {"cell": -(10**300)}],
)
def test_entries_with_endless_values_are_dropped(change: dict[str, Any]) -> None:
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(LARGE_BUDGET))
    parser.parse({"generation": 1, "instances": entries(1)}, SECOND)
    document = {"generation": 2, "instances": [{**entries(1)[0], **change}]}
    assert parser.parse(document, SECOND).endpoints == []


def test_an_endless_start_time_counts_as_the_latest_possible_start() -> None:
    parser = EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(LARGE_BUDGET))
    document = {"generation": 1, "instances": entries(1, startedAtMs=10**300)}
    [endpoint] = parser.parse(document, SECOND).endpoints
    assert endpoint.entry.started_ns == SECOND
