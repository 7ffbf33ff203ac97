"""Checks what became of the requests of a soak by the rules of the protocol."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .clients import CLOSED, NO_RESPONSE, Result

__all__ = ["Kill", "Violation", "find_violations"]

LATE_GRACE_S = 0.55
"""Time after its timeout up to which a response is only late, not lost, seconds: half a second and the slack
of every time limit."""
LEFT_GRACE_S = 0.15
"""Time after the close of a client up to which an attempt may begin, seconds, with the slack."""


class Kill(NamedTuple):
    """A SIGKILL of a gateway that was still running."""

    gateway: str
    incarnation: int


class Violation(NamedTuple):
    """A broken rule."""

    rule: str
    subject: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject}"


def find_violations(
    results: Sequence[Result], arrivals: Mapping[str, Sequence[float]], kills: Sequence[Kill], lag_s: float
) -> list[Violation]:
    """Return the violations; `lag_s` is the longest delay of the process that measured the times."""
    violations = []
    for result in results:
        rule = _broken_rule(result, arrivals.get(result.request_id, ()), kills, lag_s)
        if rule:
            violations.append(Violation(rule, str(result)))
    unsafe_ids = {result.request_id for result in results if result.class_name == "once"}
    for request_id, times in arrivals.items():
        if request_id in unsafe_ids and len(times) > 1:
            violations.append(Violation("a request that must not be repeated ran twice", request_id))
    return violations


def _broken_rule(result: Result, arrivals: Sequence[float], kills: Sequence[Kill], lag_s: float) -> str:
    """Return the rule that a result breaks; empty for none."""
    if result.left_at:
        is_late = any(arrived > result.left_at + LEFT_GRACE_S + lag_s for arrived in arrivals)
        return "an attempt began after its client had left" if is_late else ""
    if result.status == NO_RESPONSE:
        return "no response"
    if result.status == CLOSED:
        if Kill(result.gateway, result.incarnation) in kills:
            return "unanswered at SIGKILL"
        if any(result.sent_at <= arrived <= result.ended_at for arrived in arrivals):
            return "forwarded, then closed without a response"
        return "closed without a response on a new connection" if result.is_new_connection else ""
    is_late = result.ended_at - result.sent_at > result.timeout_s + LATE_GRACE_S + lag_s
    return "a response after its time" if is_late else ""
