"""Time units. All times and durations in this package are integers in nanoseconds."""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
"""Nanoseconds per millisecond."""
SECOND = 1_000_000_000
"""Nanoseconds per second."""
