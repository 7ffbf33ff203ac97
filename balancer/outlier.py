"""Outlier ejection: failing endpoints get no first attempts until their smoothed delay has decayed."""

from __future__ import annotations

from .endpoint import Endpoint
from .outcomes import Outcome

__all__ = ["BROKEN_OUTCOMES", "MAX_FAILURE_SHARE", "MIN_BROKEN_STREAK", "counts_as_failure", "is_ejected"]

EJECTION_DELAY_T1 = 0.6
"""Delay, in T1, above which an endpoint with failures is ejected; half of the retries pass the gate there."""
MAX_FAILURE_SHARE = 0.15
"""Share of failures above which an endpoint may be ejected; a single recent failure exceeds it."""
MIN_BROKEN_STREAK = 3
"""Number of consecutive broken connections or invalid responses from which on each counts as a failure.

A few are normal.
"""
BROKEN_OUTCOMES = (Outcome.RESET, Outcome.INVALID_RESPONSE)
_NOT_CAUSED_BY_ENDPOINT = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.BAD_REQUEST)


def is_ejected(endpoint: Endpoint, t1: int, now: int) -> bool:
    """Whether first attempts with this T1 avoid the endpoint, because of failures and a high delay.

    Delay alone does not eject an endpoint: long requests would eject healthy endpoints, and the remaining
    ones would be overloaded. After a failure, an endpoint gets one attempt at a time until one succeeds, as
    further attempts could fail too.
    """
    if endpoint.failure_share <= MAX_FAILURE_SHARE:
        return False
    if endpoint.current_delay(t1, now) > EJECTION_DELAY_T1 * t1:
        return True
    return endpoint.failure_streak > 0 and endpoint.in_flight > endpoint.released_in_flight


def counts_as_failure(outcome: Outcome, endpoint: Endpoint) -> bool:
    """Whether an outcome counts as a failure of its endpoint.

    A few broken connections say nothing about the endpoint's delay, and each failure weighs more the fewer
    requests there are. A bad request is the fault of the request: otherwise every endpoint that received it
    would be ejected in turn.
    """
    if outcome in BROKEN_OUTCOMES:
        return endpoint.broken_streak >= MIN_BROKEN_STREAK
    return outcome not in _NOT_CAUSED_BY_ENDPOINT
