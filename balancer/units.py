"""Time units. Times are integers in nanoseconds; durations are too, unless smoothed or named otherwise."""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
"""Nanoseconds per millisecond."""
SECOND = 1_000_000_000
"""Nanoseconds per second."""
