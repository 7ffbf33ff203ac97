"""Parsing of the endpoint list from the JSON objects of discovery."""

from __future__ import annotations

from typing import Any

import pytest

from balancer import SECOND, EndpointState
from gateway.discovery import EndpointCapacity, EndpointListError, EndpointListParser
from gateway.memory_budget import MemoryBudget
from tests.support.discovery import BUDGET_BYTES, ENDPOINT_ENTRY


def make_parser() -> EndpointListParser:
    """A parser that knows the zones and machine types of `ENDPOINT_ENTRY`."""
    return EndpointListParser(["a", "b"], ["m1", "m2"], EndpointCapacity(MemoryBudget(BUDGET_BYTES)))


def test_entry_is_parsed() -> None:
    newer = {**ENDPOINT_ENTRY, "instanceId": "h1", "startedAtMs": 5000}
    document = {"generation": 41, "reset": True, "instances": [ENDPOINT_ENTRY, newer]}
    update = make_parser().parse(document, 60 * SECOND)
    (entry, address), (other, _) = update.endpoints
    assert (update.generation, update.is_snapshot, address) == (41, True, ("127.0.0.1", 7070))
    assert entry == ("h0", 1, 1, 3, EndpointState.READY, 1.5, 57 * SECOND)
    assert other.started_ns == 60 * SECOND  # latest possible start; the wall clock is not used


@pytest.mark.parametrize(
    "change",
    [
        {"hostPort": "nowhere"},
        {"hostPort": "x:0"},
        {"hostPort": None},
        {"zone": "z"},
        {"lifecycle": "odd"},
        {"weight": float("inf")},
        {"instanceId": 7},
        {"cell": "x"},
        {"startedAtMs": -1},
    ],
)
def test_invalid_entry_is_dropped_and_the_others_are_used(change: dict[str, Any]) -> None:
    document = {
        "generation": 41,
        "instances": [{**ENDPOINT_ENTRY, **change}, {**ENDPOINT_ENTRY, "instanceId": "h1"}, None],
    }
    endpoints = make_parser().parse(document, SECOND).endpoints
    assert [endpoint.entry.endpoint_id for endpoint in endpoints] == ["h1"]


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {"generation": 41},
        {"instances": []},
        {"generation": 41, "instances": {}},
        {"generation": 41, "instances": [], "reset": 1},
    ],
)
def test_invalid_document_raises_an_error(document: Any) -> None:
    with pytest.raises(EndpointListError):
        make_parser().parse(document, SECOND)
