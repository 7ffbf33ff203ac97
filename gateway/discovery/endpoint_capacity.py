"""Bounds the memory of the listed endpoints by the memory budget."""

from __future__ import annotations

import sys
from collections.abc import Collection

from balancer import EndpointId, EndpointState

from ..memory_budget import Charge, MemoryBudget, Priority

__all__ = ["EndpointCapacity"]

ENDPOINT_BYTES = 1_500
"""Size of the records of an endpoint in all parts of the gateway besides its name and address, bytes."""
NAME_COPIES = 4
"""Number of times that the name of an endpoint is stored."""
START_BYTES = 300
"""Size of the stored start of an endpoint that is gone besides its name, bytes."""

GUARANTEED_SHARE = 0.25
"""Share of the memory budget that the records of endpoints may use whatever else is stored: an endpoint that
is dropped is listed again only in the next snapshot."""


class EndpointCapacity:
    """The endpoints whose records are charged to the memory budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._total_bytes = 0
        self._charged_bytes: dict[EndpointId, int] = {}
        self._longest_name_bytes = 0
        self._starts_charge = Charge(budget)

    def admit(self, endpoint_id: EndpointId, host: str, state: EndpointState) -> bool:
        """Whether an entry may be applied: its endpoint is known or gone, or a new one has capacity."""
        if state is EndpointState.GONE:
            self._release(endpoint_id)
            return True
        if endpoint_id in self._charged_bytes:
            return True
        name_bytes = sys.getsizeof(endpoint_id)
        size_bytes = ENDPOINT_BYTES + NAME_COPIES * name_bytes + sys.getsizeof(host)
        is_guaranteed = self._total_bytes + size_bytes <= GUARANTEED_SHARE * self._budget.limit_bytes
        if not self._budget.can_add(size_bytes, Priority.UNREAD_RESPONSE) and not is_guaranteed:
            return False
        self._charged_bytes[endpoint_id] = size_bytes
        self._longest_name_bytes = max(self._longest_name_bytes, name_bytes)
        self._add(size_bytes)
        return True

    def charge_starts(self, count: int) -> None:
        """Charge the stored starts beyond one for each listed endpoint: those of endpoints that are gone."""
        gone_count = max(0, count - len(self._charged_bytes))
        self._starts_charge.set(gone_count * (START_BYTES + self._longest_name_bytes))

    def retain(self, listed: Collection[EndpointId]) -> None:
        """Release the endpoints that a snapshot does not list."""
        for endpoint_id in [known for known in self._charged_bytes if known not in listed]:
            self._release(endpoint_id)

    def _release(self, endpoint_id: EndpointId) -> None:
        self._add(-self._charged_bytes.pop(endpoint_id, 0))

    def _add(self, size_bytes: int) -> None:
        self._total_bytes += size_bytes
        self._budget.used_bytes += size_bytes
