"""Factory of small synthetic fleets for the tests."""

from __future__ import annotations

from scale.fleet import Fleet

__all__ = ["START_MS", "make_fleet"]

START_MS = 1_700_000_000_500
"""Unix time in ms at which all endpoints start that are not in the initial list."""


def make_fleet(count: int = 12, seed: int = 3) -> Fleet:
    """Return a fleet of `count` endpoints in three zones."""
    return Fleet(count, 3, seed, clock=lambda: START_MS / 1000)
