"""Smoothed queueing delay and failure statistics of an endpoint or a pool.

The delay is `q_avg` of Hong, Huang and Yan, "Impact of Retransmission Mechanism on SIP Overload". Each
observation `q` updates it by `q_avg <- (1 - w_q) q_avg + w_q q`, applied once for every time step of the
paper since the last observation. Without observations the delay holds its value for a while and then decays
to zero.
"""

from __future__ import annotations

from math import exp

from .units import SECOND

__all__ = ["Q_MIN", "REFERENCE_T1_NS", "DelayEstimate"]

REFERENCE_T1_NS = SECOND // 2
"""The paper's T1 in ns: delays of a pool are scaled to it, and the decay of a delay uses at least this T1."""
Q_MIN = 0.2
"""Delay, in T1, below which every retry passes (the paper's q_min)."""
SMOOTHING_WEIGHT = 0.1
"""Weight of the delay of one time step in the smoothed delay (the paper's w_q)."""
TIME_STEP_T1 = 0.1
"""The paper's time step, in T1: 50 ms where T1 is 0.5 s."""
MIN_STEPS = 0.05
"""Minimum number of time steps that an observation counts for.

Each of many observations in quick succession counts little, so that smoothing depends on time and not on the
number of responses.
"""
MAX_STEPS = 10
"""Maximum number of time steps that an observation counts for, after a long time without any."""
HOLD_TIME_T1 = 1.0
"""Time before a delay starts to decay, in T1; it doubles with each consecutive failure."""
MAX_HOLD_DOUBLINGS = 4
"""Maximum number of times the hold time doubles: it is at most 16 T1, so that a recovery is detected."""
DECAY_TIME_T1 = 2.0
"""Time constant of the decay, in T1."""
FAILURE_WEIGHT = 0.2
"""Weight of one outcome in the share of failures."""


class DelayEstimate:
    """Smoothed queueing delay, with a streak and a smoothed share of failures."""

    __slots__ = ("failure_share", "failure_streak", "last_failure_at", "smoothed_delay", "updated_at")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Discard all observations."""
        self.smoothed_delay = 0.0
        self.updated_at = 0
        self.failure_streak = 0
        """Consecutive failures, each of an attempt that was sent after the previous failure became known."""
        self.last_failure_at = 0
        """Time at which the last failure of the streak became known, ns."""
        self.failure_share = 0.0
        """Smoothed share of failures among the outcomes."""

    def current_delay(self, t1: int, now: int) -> float:
        """Return the delay in ns at `now`, after decay, for a request with this T1."""
        if not self.smoothed_delay:
            return 0.0
        # The decay uses at least the paper's T1. With a shorter one, an endpoint that still fails for other
        # requests would count as recovered.
        t1 = max(t1, REFERENCE_T1_NS)
        doublings = min(self.failure_streak, MAX_HOLD_DOUBLINGS)
        decaying_ns = now - self.updated_at - HOLD_TIME_T1 * t1 * (1 << doublings)
        return (
            self.smoothed_delay
            if decaying_ns <= 0
            else self.smoothed_delay * exp(-decaying_ns / (DECAY_TIME_T1 * t1))
        )

    def observe(self, delay: float, t1: int, now: int, failed_attempt_sent_at: int | None) -> None:
        """Add an observation: a queueing delay in ns.

        `failed_attempt_sent_at` is the time at which a failed attempt was sent, or None if the attempt
        succeeded. Attempts that are in flight together tend to fail together, so they count as one failure of
        the streak. Otherwise one short stall would weigh as much as many consecutive failures.
        """
        previous = self.current_delay(t1, now)
        steps = min(max(MIN_STEPS, (now - self.updated_at) / (TIME_STEP_T1 * t1)), MAX_STEPS)
        self.smoothed_delay = previous + (1.0 - (1.0 - SMOOTHING_WEIGHT) ** steps) * (delay - previous)
        self.updated_at = now
        if failed_attempt_sent_at is None:
            self.failure_streak = 0
        elif not self.failure_streak or failed_attempt_sent_at >= self.last_failure_at:
            self.failure_streak += 1
            self.last_failure_at = now
        self.failure_share += FAILURE_WEIGHT * ((failed_attempt_sent_at is not None) - self.failure_share)
