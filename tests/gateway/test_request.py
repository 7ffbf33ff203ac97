"""Tests of the states of a request, and of the limits of the request table."""

from __future__ import annotations

import pytest

from balancer import MS
from gateway.memory_budget import MemoryBudget
from gateway.messages import Payload, Response
from gateway.request import Request, RequestState, RequestStateError
from gateway.request_table import MAX_REQUEST_ID, OPEN_REQUEST_BYTES, RequestTable
from gateway.telemetry import Trace


class FakeExchange:
    """An exchange whose client has not sent EOF; responses are dropped."""

    connection_number = 1

    def client_has_ended(self) -> bool:
        return False

    def send_response(self, response: Response) -> None:
        """Drop the response."""

    def send_failure(self) -> None:
        """Drop the failure."""

    def send_rejection(self, retry_after_ns: int) -> None:
        """Drop the rejection."""


def make_open_request(request_id: int = 1, body: bytes = b"") -> Request:
    trace = Trace(b"r1", 1, 100 * MS, 0, 0)
    return Request(request_id, FakeExchange(), Payload(b"", body), 0, 100 * MS, trace)


def test_a_request_ends_once() -> None:
    request = make_open_request()
    assert request.state is RequestState.OPEN
    request.end()
    assert request.is_ended
    with pytest.raises(RequestStateError):
        request.end()


def test_a_client_close_can_be_recorded_repeatedly_but_not_after_the_end() -> None:
    request = make_open_request()
    request.mark_half_closed()
    request.mark_half_closed()
    assert request.is_half_closed
    request.end()
    assert not request.is_half_closed
    with pytest.raises(RequestStateError):
        request.mark_half_closed()


def test_the_table_is_full_by_count_or_by_bytes() -> None:
    table = RequestTable(2, MemoryBudget(2 * OPEN_REQUEST_BYTES + 100))
    table.add(make_open_request(1, bytes(60)))
    assert table.has_capacity(40)
    assert not table.has_capacity(41)
    table.add(make_open_request(2))
    assert not table.has_capacity(0)


def test_a_removed_request_releases_its_bytes_once() -> None:
    budget = MemoryBudget(100)
    table = RequestTable(2, budget)
    request = make_open_request(1, bytes(60))
    table.add(request)
    assert budget.used_bytes > 60
    table.remove(request)
    table.remove(request)
    assert budget.used_bytes == 0
    assert table.get(1) is None
    assert table.requests() == []


def test_request_ids_wrap_around_after_32_bits() -> None:
    table = RequestTable(2, MemoryBudget(100))
    table.last_request_id = MAX_REQUEST_ID - 1
    assert [table.next_request_id() for _ in range(2)] == [MAX_REQUEST_ID, 0]
