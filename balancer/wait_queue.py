"""Queue of requests that wait for capacity, ordered by priority."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from .request import Request

__all__ = ["WaitQueue"]

MAX_STALE_ENTRIES = 32
"""The heap is rebuilt when entries of removed requests outnumber the waiting requests by more than this."""


class WaitQueue:
    """A priority queue; requests of equal priority are ordered by request ID."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Request]] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def heap_size(self) -> int:
        """Number of heap entries, including those of removed requests."""
        return len(self._heap)

    def add(self, request: Request, priority: float) -> None:
        """Add a request to the queue."""
        heappush(self._heap, (-priority, request.request_id, request))
        request.is_queued = True
        self._size += 1
        if len(self._heap) > 2 * self._size + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[2].is_queued]
            heapify(self._heap)

    def peek(self) -> Request | None:
        """Return the request with the highest priority, which stays in the queue; None if it is empty."""
        while self._heap:
            request = self._heap[0][2]
            if request.is_queued:
                return request
            heappop(self._heap)
        return None

    def discard(self, request: Request) -> None:
        """Remove a request from the queue if it is there."""
        if request.is_queued:
            request.is_queued = False
            self._size -= 1
