"""Table of the requests of one gateway, limited in number and by the memory budget."""

from __future__ import annotations

from .memory_budget import MemoryBudget, Priority
from .messages import EMPTY_PAYLOAD
from .request import Request

__all__ = ["RequestTable"]

MAX_REQUEST_ID = 0xFFFFFFFF
"""Highest request ID, after which they continue at 0; the simulator protocol has 32 bits for them."""

OPEN_REQUEST_BYTES = 3_000
"""Size of an open request besides its payload, bytes: its objects in the gateway and in the balancer."""


class RequestTable:
    """Stores the requests that have no final response yet or still have attempts in flight, by request ID."""

    def __init__(self, max_requests: int, budget: MemoryBudget) -> None:
        self.max_requests = max_requests
        self._budget = budget
        self.last_request_id = 0
        self._requests: dict[int, Request] = {}

    def has_capacity(self, payload_bytes: int) -> bool:
        """Whether the table can take one more request with a payload of this size.

        Incomplete requests are reclaimed for it if necessary, as they are less useful.
        """
        return len(self._requests) < self.max_requests and self._budget.can_add(
            payload_bytes + OPEN_REQUEST_BYTES, Priority.INCOMPLETE_LATER_REQUEST
        )

    def next_request_id(self) -> int:
        """Allocate and return the ID of the next request."""
        self.last_request_id = (self.last_request_id + 1) & MAX_REQUEST_ID
        return self.last_request_id

    def add(self, request: Request) -> None:
        """Add a request to the table."""
        self._requests[request.request_id] = request
        self._budget.used_bytes += request.payload.size + OPEN_REQUEST_BYTES

    def get(self, request_id: int) -> Request | None:
        """Return the request with this ID, or None if it is not in the table."""
        return self._requests.get(request_id)

    def remove(self, request: Request) -> None:
        """Remove a request and release its payload; has no effect if it was already removed."""
        if self._requests.pop(request.request_id, None) is None:
            return
        self._budget.used_bytes -= request.payload.size + OPEN_REQUEST_BYTES
        request.payload = EMPTY_PAYLOAD  # frees its memory: a timer may refer to the request for some time

    def requests(self) -> list[Request]:
        """Return a copy of the list of requests, in order of arrival."""
        return list(self._requests.values())
