"""Tests of the index of the endpoint list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import MS, EndpointEntry, EndpointId, EndpointState, Outcome, UpdateKind
from balancer.endpoint import Endpoint
from balancer.endpoint_index import EndpointIndex
from tests.support.gateway_model import GatewayModel
from tests.support.rule_checker import FinalResponse
from tests.support.settings_builders import make_entry, make_settings


def test_gone_endpoints_are_removed_and_a_returning_one_is_in_slow_start() -> None:
    gateway = GatewayModel(make_settings(), [make_entry("old")])
    request_id = gateway.receive_request()
    gateway.run_until(20 * MS)
    for number in range(500):
        gone, ready = make_entry(f"h{number}", state=EndpointState.GONE), make_entry(f"h{number + 1}")
        gateway.update_endpoint_list(UpdateKind.DELTA, [gone, ready])
    gateway.update_endpoint_list(UpdateKind.DELTA, [make_entry("old", state=EndpointState.GONE)])
    assert list(gateway.balancer.endpoints.by_id) == ["h500"]
    gateway.end_attempt(request_id, Outcome.OK)  # the attempt still counts after its endpoint was removed
    assert gateway.final_responses[request_id] is FinalResponse.SERVED
    assert gateway.balancer.endpoints.local_pool.in_flight == 0
    gateway.update_endpoint_list(UpdateKind.DELTA, [make_entry("old", started_ns=gateway.now_ns)])
    assert gateway.balancer.endpoints.by_id["old"].slow_start_until > gateway.now_ns
    assert not gateway.violations


class ListUpdate(NamedTuple):
    """An update of the endpoint list; a snapshot drops the unchanged entries with even numbers."""

    kind: UpdateKind
    entries: list[EndpointEntry]


ENTRIES = st.builds(
    lambda number, state, zone, cell: make_entry(f"h{number}", zone, cell, state),
    st.integers(0, 29),
    st.sampled_from(EndpointState),
    st.integers(0, 2),
    st.integers(0, 3),
)
UPDATE_KINDS = st.sampled_from([UpdateKind.DELTA] * 3 + [UpdateKind.SNAPSHOT])
UPDATES = st.lists(st.builds(ListUpdate, UPDATE_KINDS, st.lists(ENTRIES, max_size=6)), max_size=12)


def ids_of(endpoints: Iterable[Endpoint]) -> list[EndpointId]:
    """The IDs of the endpoints, in their order."""
    return [endpoint.endpoint_id for endpoint in endpoints]


def assert_same_index(index: EndpointIndex, other: EndpointIndex) -> None:
    """Assert that both indexes have the same endpoints in the same order."""
    for updated, fresh in (
        (index.ready_by_zone, other.ready_by_zone),
        ([index.ready_remote], [other.ready_remote]),
        ([index.local_pool.endpoints], [other.local_pool.endpoints]),
        ([index.remote_pool.endpoints], [other.remote_pool.endpoints]),
        (
            [index.ready_by_cell[cell] for cell in sorted(index.ready_by_cell)],
            [other.ready_by_cell[cell] for cell in sorted(other.ready_by_cell)],
        ),
    ):
        assert [ids_of(endpoints) for endpoints in updated] == [ids_of(endpoints) for endpoints in fresh]
    assert index.ready_by_cell.keys() == other.ready_by_cell.keys()


@settings(max_examples=200)
@given(UPDATES)
def test_incremental_updates_match_a_fresh_index(updates: list[ListUpdate]) -> None:
    """After each update the index equals that of a gateway that starts with the resulting snapshot."""
    gateway_settings = make_settings(zones=3, replicas=4, replica_index=1)
    entries = [make_entry(f"h{number}", zone=number % 3, cell=number % 4) for number in range(30)]
    listed: dict[EndpointId, EndpointEntry] = {entry.endpoint_id: entry for entry in entries}
    gateway = GatewayModel(gateway_settings, list(listed.values()))
    for update in updates:
        changed = {entry.endpoint_id: entry for entry in update.entries}
        listed.update(changed)
        if update.kind is UpdateKind.SNAPSHOT:
            listed = {
                endpoint_id: entry
                for endpoint_id, entry in listed.items()
                if endpoint_id in changed or int(str(endpoint_id)[1:]) % 2
            }
            gateway.update_endpoint_list(update.kind, list(listed.values()))
        else:
            gateway.update_endpoint_list(update.kind, list(changed.values()))
        index = gateway.balancer.endpoints
        assert_same_index(index, GatewayModel(gateway_settings, list(listed.values())).balancer.endpoints)
        assert index.by_id.keys() == {
            endpoint_id for endpoint_id, entry in listed.items() if entry.state is not EndpointState.GONE
        }
