"""One budget for all memory that peers can make the process store, and the order in which it is reclaimed.

Limits on each connection do not limit the process.  Everything that is stored for a peer for longer than one
callback is therefore charged to one budget, at its size as objects.  When the budget is exhausted, the least
useful data is released first, where possible with a response to the peer.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum

__all__ = ["OBJECT_BYTES", "Charge", "MemoryBudget", "Priority"]

log = logging.getLogger("gateway.memory_budget")

OBJECT_BYTES = 64
"""Size of a small object besides its content, such as a bytes object with its place in a list."""


class Priority(IntEnum):
    """Kinds of stored data in the order in which they are reclaimed, the least useful first."""

    INCOMPLETE_REQUEST = 0
    """A partly received request of a client that has not sent a valid one yet."""
    INCOMPLETE_LATER_REQUEST = 1
    """A partly received request of a client that has sent a valid one before."""
    PIPELINED_REQUESTS = 2
    """Responses that wait for an earlier request of the same connection."""
    UNREAD_RESPONSE = 3
    """Responses that the client does not read."""
    ENDPOINT_RESPONSE = 4
    """A partly received response, or a request that its endpoint does not read."""


class Charge:
    """What one owner stores; the owner updates it with each change."""

    __slots__ = ("_budget", "_group", "_reclaim", "size_bytes")

    def __init__(self, budget: MemoryBudget, reclaim: Callable[[Priority], None] | None = None) -> None:
        """`reclaim` is called to release the data of this charge; it updates the charge itself."""
        self._budget = budget
        self._reclaim = reclaim
        self._group: Priority | None = None
        self.size_bytes = 0

    def set(self, size_bytes: int, priority: Priority | None = None) -> None:
        """Set the size; None as the priority means that the data cannot be reclaimed.

        If it has grown, and the budget is exceeded, data of any owner is reclaimed, this one's included.
        """
        growth_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        budget = self._budget
        if priority is not self._group:
            budget.move(self, self._group, priority)
            self._group = priority
        budget.used_bytes += growth_bytes
        if growth_bytes > 0 and budget.used_bytes > budget.limit_bytes:
            budget.reclaim(0, Priority.ENDPOINT_RESPONSE)

    def close(self) -> None:
        """Release the charge for good, and the reference to its owner."""
        self.set(0)
        self._reclaim = None

    def reclaim(self) -> None:
        """Have the owner release its data; this is not repeated before its next update."""
        group, self._group = self._group, None
        if self._reclaim is not None and group is not None:
            self._reclaim(group)


class MemoryBudget:
    """Sum of all charges, and its limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        """Sum of the charges; only `Charge` and the owners of unreclaimable data change it."""
        self._groups: tuple[OrderedDict[Charge, None], ...] = tuple(OrderedDict() for _ in Priority)
        self._is_reclaiming = False

    @property
    def is_exceeded(self) -> bool:
        """Whether the charges exceed the limit, as nothing more can be reclaimed."""
        return self.used_bytes > self.limit_bytes

    def can_add(self, size_bytes: int, least_priority: Priority) -> bool:
        """Whether this size can be added, after reclaiming data of up to `least_priority` if necessary."""
        if size_bytes > self.limit_bytes:
            return False
        if self.used_bytes + size_bytes > self.limit_bytes:
            self.reclaim(size_bytes, least_priority)
        return self.used_bytes + size_bytes <= self.limit_bytes

    def move(self, charge: Charge, old: Priority | None, new: Priority | None) -> None:
        """Move a charge to the end of another group; None stands for data that cannot be reclaimed."""
        if old is not None:
            self._groups[old].pop(charge, None)
        if new is not None:
            self._groups[new][charge] = None

    def reclaim(self, size_bytes: int, least_priority: Priority) -> None:
        """Reclaim data of up to `least_priority`, in order, until this size can be added."""
        if self._is_reclaiming:
            return
        self._is_reclaiming = True
        try:
            for group in self._groups[: least_priority + 1]:
                # An owner that could release nothing may have added its charge again.
                for _ in range(len(group)):
                    if not group or self.used_bytes + size_bytes <= self.limit_bytes:
                        break
                    charge, _none = group.popitem(last=False)
                    self._reclaim_one(charge)
        finally:
            self._is_reclaiming = False

    @staticmethod
    def _reclaim_one(charge: Charge) -> None:
        try:
            charge.reclaim()
        except Exception:  # must not reach the peer whose data happened to exceed the budget
            log.exception("stored data could not be reclaimed due to an unexpected error")
