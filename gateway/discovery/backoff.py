"""Exponential backoff with jitter between failed discovery calls."""

from __future__ import annotations

import random

from balancer import SECOND

__all__ = ["Backoff", "jittered_ns"]

FIRST_WAIT_S, MAX_WAIT_S = 0.25, 5.0
MAX_GRACE_SHARE = 0.3
"""Maximum mean wait as a share of the drain grace period.  The backoff applies only where lists are pushed.
There the gateway counts as notified of a change immediately, so a failed watch must be reopened well within
that period."""
MIN_MAX_WAIT_S = 0.05
"""Lower bound for the maximum wait, however short the drain grace period is."""


def jittered_ns(wait_s: float) -> int:
    """Return a random wait of 0.5 to 1.5 times `wait_s`, ns.

    It is random so that gateways don't repeat failed calls in sync.
    """
    return int(wait_s * (0.5 + random.random()) * SECOND)


class Backoff:
    """Wait times between failed calls of one gateway."""

    def __init__(self, drain_grace_ns: int) -> None:
        self._max_wait_s = min(MAX_WAIT_S, max(MIN_MAX_WAIT_S, MAX_GRACE_SHARE * drain_grace_ns / SECOND))
        self._wait_s = FIRST_WAIT_S

    def next_wait_ns(self) -> int:
        """Return the time to wait before the next call, ns; doubles the following wait, up to the maximum."""
        wait_ns = jittered_ns(min(self._wait_s, self._max_wait_s))
        self._wait_s = min(2 * self._wait_s, MAX_WAIT_S)
        return wait_ns

    def reset(self) -> None:
        """Start again with the first wait, after a successful call."""
        self._wait_s = FIRST_WAIT_S
