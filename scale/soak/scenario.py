"""What happens in one seed of the soak."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from random import Random
from typing import Any

from ..fleet import LIMITS

__all__ = ["KILL_MARGIN_S", "Scenario", "SignalStep", "make_scenario", "make_settings"]

KILL_MARGIN_S = 0.7
"""Time from the longest deadline after SIGTERM to SIGKILL, seconds: the earliest that the platform allows."""
MEMORY_MB, SOCKETS = 32, 1024
CLASS_NAMES = ("read", "keyed", "once")


@dataclass(frozen=True)
class SignalStep:
    """A signal and the time after SIGTERM at which it is sent, seconds; negative before it."""

    after_s: float
    number: signal.Signals


@dataclass(frozen=True)
class Scenario:
    """The parameters of one seed."""

    seed: int
    longest_timeout_s: float
    clients: int
    crowd: int
    """Number of connections with incomplete requests, opened shortly before each SIGTERM; often 0."""
    unanswered_share: float
    """Share of the requests that endpoints never respond to."""
    series: tuple[tuple[SignalStep, ...], ...]
    """The signals to each gateway, one gateway after the other."""


def make_scenario(seed: int) -> Scenario:
    """Draw the scenario of a seed."""
    random = Random(f"soak {seed}")
    return Scenario(
        seed,
        longest_timeout_s=random.choice((0.5, 0.8, 1.0, 1.5, 3.0)),
        clients=random.randint(8, 24),
        crowd=random.choice((0, 0, 250, 500)),
        unanswered_share=random.choice((0.0, 0.02, 0.1)),
        series=tuple(_draw_series(random) for _ in range(2)),
    )


def _draw_series(random: Random) -> tuple[SignalStep, ...]:
    """Draw SIGTERM with further signals around it."""
    steps = [SignalStep(0.0, signal.SIGTERM)]
    for _ in range(random.randint(0, 4)):
        number = random.choice((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
        after_s = random.uniform(-0.2 if number is signal.SIGHUP else 0.0, 1.0)
        steps.append(SignalStep(after_s, number))
    return tuple(sorted(steps, key=lambda step: step.after_s))


def make_settings(scenario: Scenario) -> dict[str, Any]:
    """Return the settings of the gateways, in wire format."""
    timeout_ns = int(scenario.longest_timeout_s * 1e9)
    effects = {"read": "read_like", "keyed": "idempotency_key", "once": "non_idempotent"}
    classes = [
        {"name": name, "effect": effects[name], "slo-ns": timeout_ns // 2, "give-up-ns": timeout_ns}
        for name in CLASS_NAMES
    ]
    classes[1].update({"group": "zone", "window-ns": 2_000_000_000})
    return {
        "az": 0,
        "zones": ["a"],
        "flavors": ["m"],
        "replicas-of-me": 2,
        "round-ns": 5_000_000,
        "discovery": "on_request",
        "realms": [{"name": "tenant", "portion": 1.0}],
        "caps": LIMITS,
        "rules": {"ask-within-ns": 200_000_000},
        "request-classes": classes,
    }
