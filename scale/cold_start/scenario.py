"""Scenarios of the slow-start simulation: fleet sizes and the conditions combined with them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from balancer import MS, SECOND, Rules

__all__ = ["SIZES", "VARIANTS", "Scenario", "scenarios"]

DEFAULT_RULES = Rules(
    slow_start_initial_share=0.12,
    slow_start_window_ns=23 * SECOND,
    overload_factor=2.5,
    overload_window_ns=2 * SECOND,
)
STEEP_RULES = Rules(
    slow_start_initial_share=0.3,
    slow_start_window_ns=10 * SECOND,
    overload_factor=3.0,
    overload_window_ns=SECOND,
)


@dataclass(frozen=True)
class Scenario:
    """Parameters of a run other than its seed.  The observed endpoint starts during the run."""

    gateways: int
    endpoints: int
    """Number of endpoints, the observed one not included."""
    zones: int = 1
    cores: int = 1
    """Number of cores of each endpoint."""
    mean_work_ns: int = 50 * MS
    """Mean processing time of a request on one core."""
    load: float = 0.7
    """Offered load as a share of the total capacity of the endpoints that serve before the start."""
    load_reports: bool = True
    gateways_start: bool = False
    """Whether all gateways start together with the observed endpoint."""
    rolling_restarts: bool = False
    """Whether a tenth of the gateways restarts every 0.5 s, beginning 0.5 s after the start."""
    starting_speed: float = 1.0
    """Speed of the endpoints that start; unless it is 1, the others have 0.6, 1.0 or 1.4 (mean 1)."""
    speed_in_weight: bool = False
    """Whether the weights in the endpoint list equal the speeds of the endpoints."""
    hidden_slow_start: bool = False
    """Whether endpoints in slow start respond at full speed, and all endpoints report 0 in flight."""
    max_in_flight_per_core: int = 20
    """Most requests in flight per core; an endpoint rejects further ones."""
    starting_share: float = 0.0
    """Share of the other endpoints that start together with the observed one, those of its zone first."""
    restarted: bool = False
    """Whether the endpoints that start were in the endpoint list before (they restart)."""
    surge_factor: float = 1.0
    """Factor by which the load grows 4 s after the start."""
    others_leave: bool = False
    """Whether all endpoints that don't start are removed from the list 4 s after the start."""
    rules: Rules = DEFAULT_RULES
    seconds: int = 10
    """Duration of the run after the start of the observed endpoint."""


SIZES = ((2, 8), (8, 6), (8, 20), (20, 6), (20, 20), (30, 6), (30, 30), (200, 6), (200, 20), (200, 200))
"""Pairs of the number of gateways and the number of endpoints."""
VARIANTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("full", {"load": 1.1}),
    ("idle", {"load": 0.3}),
    ("fresh", {"gateways_start": True}),
    ("fresh full", {"gateways_start": True, "load": 1.1}),
    ("no reports", {"load_reports": False, "load": 0.9}),
    ("two zones", {"zones": 2, "load": 0.9}),
    ("two zones full", {"zones": 2, "load": 1.1}),
    ("cores", {"cores": 4, "load": 0.9}),
    ("slow", {"starting_speed": 0.6, "load": 0.9}),
    ("slow told", {"starting_speed": 0.6, "speed_in_weight": True, "load": 0.9}),
    ("restarts", {"rolling_restarts": True, "load": 0.9}),
    ("heavy work", {"mean_work_ns": 200 * MS, "load": 0.9}),
    ("small room", {"max_in_flight_per_core": 4, "load": 1.1}),
    ("surge", {"load": 0.3, "surge_factor": 4.0}),
    ("surge no reports", {"load": 0.3, "surge_factor": 4.0, "load_reports": False}),
    ("surge two zones", {"load": 0.3, "surge_factor": 4.0, "zones": 2}),
    ("rest lost", {"load": 0.3, "others_leave": True}),
    ("rest lost no reports", {"load": 0.3, "others_leave": True, "load_reports": False}),
    ("rest lost two zones", {"load": 0.3, "others_leave": True, "zones": 2}),
    ("rest lost heavy work", {"load": 0.3, "others_leave": True, "mean_work_ns": 400 * MS}),
    ("surge heavy work", {"load": 0.3, "surge_factor": 4.0, "mean_work_ns": 400 * MS}),
    ("most cold", {"load": 0.7, "starting_share": 0.6, "restarted": True}),
    ("zone cold", {"load": 0.8, "starting_share": 0.5, "restarted": True, "zones": 2}),
    ("all cold", {"load": 0.7, "starting_share": 1.0, "restarted": True}),
    ("all cold fresh", {"load": 0.7, "starting_share": 1.0, "restarted": True, "gateways_start": True}),
    ("all cold no reports", {"load": 0.7, "starting_share": 1.0, "restarted": True, "load_reports": False}),
    ("all cold steep", {"load": 0.9, "starting_share": 1.0, "restarted": True, "rules": STEEP_RULES}),
    ("steep", {"load": 0.9, "rules": STEEP_RULES}),
)
"""Name of each variant, as selected and printed by the command, and the `Scenario` fields that it sets."""


def scenarios() -> Iterator[tuple[str, Scenario]]:
    """Yield every size alone and with each variant, named `GATEWAYS/ENDPOINTS VARIANT`."""
    for gateways, endpoints in SIZES:
        base = Scenario(gateways, endpoints)
        name = f"{gateways}/{endpoints}"
        yield name, base
        for variant, fields in VARIANTS:
            yield f"{name} {variant}", replace(base, **fields)
