"""The X-Request-IDs that must not be forwarded again.

The id of an open request is in use.  The id of a request whose client has left before its response is
retained for some time if an endpoint may have processed the request: otherwise the same id on another
connection would run twice.  The number of retained ids is bounded by the memory budget.
"""

from __future__ import annotations

from collections import deque

from balancer import SECOND

from ..memory_budget import Charge, MemoryBudget

__all__ = ["RETENTION_NS", "RequestIds"]

RETENTION_NS = 30 * SECOND
"""Time for which the id of a request is retained after its client has left, ns: ten times the longest timeout
of a request."""
RETAINED_ID_BYTES = 160
"""Size of a retained id, which is stored as a hash, bytes."""
RETAINED_SHARE = 1 / 32
"""Share of the memory budget that retained ids may use."""
MAX_RETAINED = 16_384


class RequestIds:
    """The ids in use and the retained ones."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._open: set[bytes] = set()
        self._retained: dict[int, int] = {}  # hash of the id, and when it was retained last, ns
        self._order: deque[tuple[int, int]] = deque()  # the same pairs, the oldest first
        self._max_retained = min(MAX_RETAINED, int(RETAINED_SHARE * budget.limit_bytes) // RETAINED_ID_BYTES)
        self._charge = Charge(budget)

    def add(self, client_request_id: bytes) -> None:
        """Record that a request with this id is open."""
        self._open.add(client_request_id)

    def release(self, client_request_id: bytes) -> None:
        """Allow the id of a request that has ended to be used again."""
        self._open.discard(client_request_id)

    def retain(self, client_request_id: bytes, now: int) -> None:
        """Release an id as that of an open request, but retain it for `RETENTION_NS`."""
        self._open.discard(client_request_id)
        entry = (hash(client_request_id), now)
        self._retained[entry[0]] = now
        self._order.append(entry)
        if len(self._order) > self._max_retained:
            self._drop_oldest()
        self._update_charge()

    def is_open(self, client_request_id: bytes) -> bool:
        """Whether a request with this id is open."""
        return client_request_id in self._open

    def is_retained(self, client_request_id: bytes) -> bool:
        """Whether a request with this id, whose client has left, may have been processed."""
        return bool(self._retained) and hash(client_request_id) in self._retained

    def sweep(self, now: int) -> None:
        """Drop the ids whose time is over."""
        if not self._order:
            return
        while self._order and now - self._order[0][1] > RETENTION_NS:
            self._drop_oldest()
        self._update_charge()

    def _drop_oldest(self) -> None:
        id_hash, retained_ns = self._order.popleft()
        if self._retained.get(id_hash) == retained_ns:  # otherwise it was retained once more
            del self._retained[id_hash]

    def _update_charge(self) -> None:
        self._charge.set(len(self._order) * RETAINED_ID_BYTES)
