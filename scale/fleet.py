"""A synthetic fleet: its endpoint list, changes of that list, and a matching gateway configuration."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, TypedDict

from balancer import SECOND

__all__ = ["EndpointRow", "Fleet", "make_configuration", "make_settings"]

MACHINE_TYPES = ("node-fast", "node-std")
ENDPOINTS_PER_CELL = 6
TENANT_SHARE_EXPONENT = 0.8
"""Exponent of the tenants' shares: the n-th largest is proportional to n ** -TENANT_SHARE_EXPONENT."""
QUOTA_PER_ENDPOINT = 40.0
"""Sum of the tenants' quotas divided by the number of endpoints, requests per second."""

LIMITS = {
    "cancel": True,
    "max-attempts": 4,
    "may-duplicate": False,
    "dial-timeout-ns": 100_000_000,
    "conn-idle-ns": 30_000_000_000,
    "open-cap": 20_000,
    "retry-after": True,
    "max-retry-after-ns": 1_000_000_000,
}
"""The `caps` of the settings, in wire format."""
REQUEST_CLASSES = [
    {
        "name": "read",
        "credit": 1.0,
        "effect": "read_like",
        "slo-ns": 200_000_000,
        "give-up-ns": 500_000_000,
    },
    {
        "name": "keyed",
        "credit": 10.0,
        "effect": "idempotency_key",
        "group": "zone",
        "slo-ns": 400_000_000,
        "give-up-ns": 1_000_000_000,
        "window-ns": 2_000_000_000,
    },
]
"""The `request-classes` of the settings, in wire format."""


class EndpointRow(TypedDict):
    """An entry of the endpoint list, as discovery publishes it."""

    instanceId: str
    hostPort: str
    zone: str
    machineType: str
    cell: int
    lifecycle: str
    """`in_service`, `terminating` or `terminated`."""
    weight: float
    startedAtMs: int
    """Unix time of the start in ms; 0 means long ago."""


class Fleet:
    """Endpoints spread evenly over zones.  Equal seeds and calls give equal rows, except for start times.

    `rows` holds the current list by instanceId.  Each change returns the rows that it changed, with lifecycle
    `terminated` for removed endpoints.  Rows are never modified in place, only replaced.
    """

    def __init__(
        self,
        endpoints: int,
        zones: int,
        seed: int,
        address: Callable[[int], str] | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the endpoints.

        `address` gives the hostPort of the n-th endpoint ever created, `clock` the Unix time in seconds.
        Raises ValueError for less than one endpoint or zone.
        """
        if endpoints < 1 or zones < 1:
            raise ValueError("a fleet has at least one endpoint and one zone")
        self.zones = [f"zone-{index}" for index in range(zones)]
        self.rows: dict[str, EndpointRow] = {}
        self._random = Random(seed)
        self._address = address or _default_address
        self._clock = clock
        self._created_count = 0
        self._used_ids: set[str] = set()
        self._lost_rows: dict[str, list[EndpointRow]] = {}  # by zone, as they were before `lose_zone`
        for index in range(endpoints):
            self._add(self.zones[index % zones], 0)

    def _add(self, zone: str, started_ms: int) -> EndpointRow:
        name = f"s-{self._random.getrandbits(32):08x}"
        while name in self._used_ids:
            name = f"s-{self._random.getrandbits(32):08x}"
        self._used_ids.add(name)
        row = self.rows[name] = {
            "instanceId": name,
            "hostPort": self._address(self._created_count),
            "zone": zone,
            "machineType": self._random.choice(MACHINE_TYPES),
            "cell": self._created_count // ENDPOINTS_PER_CELL & 0xFFFF,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": started_ms,
        }
        self._created_count += 1
        return row

    def _sample_ready(self, count: int) -> list[EndpointRow]:
        ready = [row for row in self.rows.values() if row["lifecycle"] == "in_service"]
        return self._random.sample(ready, min(count, len(ready)))

    def replace(self, count: int) -> list[EndpointRow]:
        """Replace `count` ready endpoints by new ones in the same zones."""
        old = self._sample_ready(count)
        gone = self._remove(old)
        return gone + [self._add(row["zone"], self._now_ms()) for row in old]

    def drain(self, count: int) -> list[EndpointRow]:
        """Start to drain `count` ready endpoints."""
        changed = [_with_lifecycle(row, "terminating") for row in self._sample_ready(count)]
        self.rows.update((row["instanceId"], row) for row in changed)
        return changed

    def lose_zone(self, zone: str) -> list[EndpointRow]:
        """Remove all endpoints of a zone.  Raises KeyError for an unknown zone."""
        lost = self._in_zone(zone)
        self._lost_rows[zone] = self._lost_rows.get(zone, []) + lost
        return self._remove(lost)

    def restore_zone(self, zone: str) -> list[EndpointRow]:
        """Restart the endpoints of a zone after `lose_zone`.  Raises KeyError for an unknown zone."""
        self._in_zone(zone)
        changed = [_with_lifecycle(row, "in_service") for row in self._lost_rows.pop(zone, [])]
        for row in changed:
            row["startedAtMs"] = self._now_ms()
        self.rows.update((row["instanceId"], row) for row in changed)
        return changed

    def _in_zone(self, zone: str) -> list[EndpointRow]:
        if zone not in self.zones:
            raise KeyError(zone)
        return [row for row in self.rows.values() if row["zone"] == zone]

    def _remove(self, rows: Iterable[EndpointRow]) -> list[EndpointRow]:
        return [_with_lifecycle(self.rows.pop(row["instanceId"]), "terminated") for row in rows]

    def _now_ms(self) -> int:
        return int(self._clock() * 1000)


def _with_lifecycle(row: EndpointRow, lifecycle: str) -> EndpointRow:
    """Return a copy of the row with another lifecycle."""
    changed = row.copy()
    changed["lifecycle"] = lifecycle
    return changed


def _default_address(number: int) -> str:
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070"


def _make_tenants(count: int, quota_per_s: float) -> list[dict[str, Any]]:
    """Return rows of `realms`, largest share first; shares add up to 1 and quotas to `quota_per_s`."""
    share_weights = [(index + 1) ** -TENANT_SHARE_EXPONENT for index in range(count)]
    total = sum(share_weights)
    return [
        {
            "name": f"tenant-{index}",
            "allowance-per-s": quota_per_s * share_weight / total,
            "portion": share_weight / total,
        }
        for index, share_weight in enumerate(share_weights)
    ]


def make_settings(
    fleet: Fleet,
    gateways: int,
    number: int = 0,
    tenants: int = 4,
    pushed: bool = False,
    poll_interval_s: float = 10.0,
) -> dict[str, Any]:
    """Return the settings of gateway `number` out of `gateways`, in wire format."""
    return {
        "az": number % len(fleet.zones),
        "zones": list(fleet.zones),
        "flavors": list(MACHINE_TYPES),
        "my-number": number,
        "replicas-of-me": gateways,
        "round-ns": 4_000_000,
        "discovery": "pushed" if pushed else "on_request",
        "family": "proxy",
        "weights": "nominal",
        "load-report": {"columns": ["utilization", "outstanding"], "source": "inline"},
        "realms": _make_tenants(tenants, QUOTA_PER_ENDPOINT * len(fleet.rows)),
        "over-share-worth": 0.05,
        "caps": dict(LIMITS),
        "rules": {
            "answer-slack-ns": 16_000_000,
            "ask-within-ns": int(poll_interval_s * SECOND),
            "cold-from": 0.12,
            "drain-grace-ns": 2_500_000_000,
            "fall-ns": 2_000_000_000,
            "overload-factor": 2.5,
            "warm-within-ns": 23_000_000_000,
        },
        "goal": {"whole": 0.25, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.45},
        "prices": {"cross-zone": 0.03, "handshake": 0.02, "late-fail": 0.033, "waste": 0.028},
        "request-classes": [dict(row) for row in REQUEST_CLASSES],
    }


def make_configuration(
    fleet: Fleet,
    gateways: int,
    number: int = 0,
    discovery: str = "127.0.0.1:9",
    listen: str = "127.0.0.1:0",
    generation: int = 1,
    sockets: int = 4096,
    memory_mb: int = 2048,
    **settings: Any,
) -> dict[str, Any]:
    """Return the content of a gateway's configuration file; the cached list is the current endpoint list.

    `settings` are further arguments of `make_settings`.
    """
    return {
        "name": f"n{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"generation": generation, "reset": True, "instances": list(fleet.rows.values())},
        "settings": make_settings(fleet, gateways, number, **settings),
    }
