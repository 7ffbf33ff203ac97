"""Tenant quotas: each gateway enforces its share of a tenant's quota with a token bucket."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from .settings import Tenant
from .units import SECOND

__all__ = ["TenantQuota", "TenantQuotas"]

BURST_SECONDS = 2
"""Largest burst of a tenant, in seconds of its quota; `BURST_REQUESTS` is added."""
BURST_REQUESTS = 4
"""Requests added to the largest burst: requests may coincide by chance even at a low rate per gateway."""


class TenantQuota:
    """Token bucket of one tenant at this gateway."""

    __slots__ = ("credit", "quota_per_s", "updated_at")

    def __init__(self, quota_per_s: float) -> None:
        self.quota_per_s = quota_per_s
        """Requests per second over all gateways."""
        self.credit = inf
        """Requests that the tenant may send now; each refill limits it to the largest burst."""
        self.updated_at = 0

    def refill(self, replicas: int, now: int) -> float:
        """Refill and return the credit at `now`, with the quota shared by `replicas` gateways."""
        rate = self.quota_per_s / replicas
        grown = self.credit + rate * (now - self.updated_at) / SECOND
        self.credit, self.updated_at = min(grown, BURST_SECONDS * rate + BURST_REQUESTS), now
        return self.credit


class TenantQuotas:
    """Quotas of all tenants by their index in the settings; None for a tenant without a quota."""

    __slots__ = ("quotas",)

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        self.quotas = [_quota_of(tenant) for tenant in tenants]

    def update(self, changes: Sequence[tuple[int, Tenant]], replicas: int, now: int) -> None:
        """Apply changes in order; the index after the last one adds a tenant.

        A tenant that had a quota before and still has one keeps its credit. A higher index raises ValueError
        before any change is applied.
        """
        size = len(self.quotas)
        for index, _ in changes:
            if not 0 <= index <= size:
                raise ValueError(f"tenant {index} is not one of the {size} tenants, nor the next one")
            size += index == size
        for index, tenant in changes:
            if index == len(self.quotas):
                self.quotas.append(None)
            quota = self.quotas[index]
            if quota is None or not tenant.quota_per_s:
                self.quotas[index] = _quota_of(tenant)
            else:
                quota.refill(replicas, now)
                quota.quota_per_s = tenant.quota_per_s


def _quota_of(tenant: Tenant) -> TenantQuota | None:
    return TenantQuota(tenant.quota_per_s) if tenant.quota_per_s else None
