"""Tests of the `RuleChecker` of the other tests: it reports each rule violation and nothing else."""

from __future__ import annotations

import pytest

from balancer import MS, SECOND, DeduplicationScope, EndpointState, Idempotency, Limits, Outcome, UpdateKind
from tests.support.rule_checker import FinalResponse, Rule, RuleChecker
from tests.support.settings_builders import make_class, make_entry, make_settings

ENTRIES = [make_entry(f"h{number}", zone=number // 4, cell=number // 2) for number in range(8)]
REQUEST_ID = 1


def make_checker(
    idempotency: Idempotency = Idempotency.SAFE,
    scope: DeduplicationScope = DeduplicationScope.ALL,
    limits: Limits | None = None,
) -> RuleChecker:
    """Make a checker with an open request, a deadline of 1 s and a deduplication window of 400 ms."""
    window_ns = 400 * MS if idempotency is Idempotency.IDEMPOTENCY_KEY else 0
    request_class = make_class(idempotency, scope, deduplication_window_ns=window_ns)
    checker = RuleChecker(make_settings(request_class, zones=2, limits=limits or Limits(max_attempts=2)))
    checker.update_endpoint_list(UpdateKind.SNAPSHOT, ENTRIES, 0)
    checker.open_request(REQUEST_ID, request_class, SECOND)
    return checker


def violated(checker: RuleChecker) -> list[Rule]:
    """Return the violated rules, in order."""
    return [violation.rule for violation in checker.violations]


def retry(checker: RuleChecker, endpoint_id: str, outcome: Outcome = Outcome.RESET, now: int = 0) -> None:
    """Send an attempt to h0, end it with the outcome, and send the next one to `endpoint_id` at `now`."""
    checker.check_attempt(REQUEST_ID, "h0", 0)
    checker.end_attempt(REQUEST_ID, 0, outcome)
    checker.check_attempt(REQUEST_ID, endpoint_id, now)


def test_final_response_may_follow_the_deadline_within_the_slack() -> None:
    for now, expected in ((SECOND + 5 * MS, []), (SECOND + 5 * MS + 1, [Rule.FINAL_RESPONSE])):
        responded, pending = make_checker(), make_checker()
        responded.check_fail(REQUEST_ID, now)
        pending.check_overdue(now)
        assert violated(responded) == expected
        assert violated(pending) == expected
        assert responded.final_responses == {REQUEST_ID: FinalResponse.FAILED}


def test_nothing_may_follow_the_final_response() -> None:
    checker = make_checker()
    checker.check_attempt(REQUEST_ID, "h0", 0)
    checker.end_attempt(REQUEST_ID, 0, Outcome.OK)
    assert checker.final_responses == {REQUEST_ID: FinalResponse.SERVED}
    checker.check_reject(REQUEST_ID, 0)
    checker.check_attempt(REQUEST_ID, "h1", 0)
    assert violated(checker) == [Rule.FINAL_RESPONSE] * 2


@pytest.mark.parametrize(
    ("idempotency", "scope", "endpoint_id", "now", "is_allowed"),
    [
        (Idempotency.SAFE, DeduplicationScope.ALL, "h7", 900 * MS, True),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, "h0", 0, False),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, "h7", 400 * MS, True),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, "h7", 400 * MS + 1, False),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, "h3", 0, True),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, "h4", 0, False),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, "h1", 0, True),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, "h2", 0, False),
    ],
)
def test_request_is_repeated_only_where_idempotency_allows_it(
    idempotency: Idempotency, scope: DeduplicationScope, endpoint_id: str, now: int, is_allowed: bool
) -> None:
    processed, unprocessed = make_checker(idempotency, scope), make_checker(idempotency, scope)
    retry(processed, endpoint_id, Outcome.RESET, now)
    retry(unprocessed, endpoint_id, Outcome.OVERLOADED, now)
    assert violated(processed) == ([] if is_allowed else [Rule.REPETITION])
    assert not unprocessed.violations


def test_outcome_counts_only_for_its_own_attempt() -> None:
    """The outcome of a second attempt at an endpoint says nothing about the first one."""
    checker = make_checker(Idempotency.IDEMPOTENCY_KEY, limits=Limits(max_attempts=3))
    retry(checker, "h0", now=300 * MS)
    checker.end_attempt(REQUEST_ID, 1, Outcome.OVERLOADED)
    checker.check_attempt(REQUEST_ID, "h0", 500 * MS)
    assert violated(checker) == [Rule.REPETITION]


@pytest.mark.parametrize(
    ("idempotency", "scope", "is_allowed"),
    [
        (Idempotency.SAFE, DeduplicationScope.ALL, True),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, True),
        (Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, False),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, False),
    ],
)
def test_request_is_rejected_only_if_sending_it_again_is_safe(
    idempotency: Idempotency, scope: DeduplicationScope, is_allowed: bool
) -> None:
    unsent, sent = make_checker(idempotency, scope), make_checker(idempotency, scope)
    sent.check_attempt(REQUEST_ID, "h0", 0)
    for checker in (unsent, sent):
        checker.check_reject(REQUEST_ID, 0)
    assert not unsent.violations
    assert violated(sent) == ([] if is_allowed else [Rule.REPETITION])


def test_attempts_are_limited() -> None:
    checker = make_checker()
    retry(checker, "h1")
    assert not checker.violations
    checker.check_attempt(REQUEST_ID, "h2", 0)
    assert violated(checker) == [Rule.REPETITION]
    checker = make_checker(limits=Limits(hedging=False))
    checker.check_attempt(REQUEST_ID, "h0", 0)
    checker.check_attempt(REQUEST_ID, "h1", 0)
    assert violated(checker) == [Rule.REPETITION]


def test_draining_or_gone_endpoint_gets_attempts_only_during_the_grace_period() -> None:
    draining = make_entry("h0", state=EndpointState.DRAINING)
    for kind, entries in ((UpdateKind.DELTA, [draining]), (UpdateKind.SNAPSHOT, ENTRIES[1:])):
        checker = make_checker(limits=Limits(max_attempts=4))
        checker.update_endpoint_list(kind, entries, 100 * MS)
        checker.update_endpoint_list(UpdateKind.FAILED, [], 200 * MS)
        checker.check_attempt(REQUEST_ID, "h0", 100 * MS + SECOND)
        checker.check_attempt(REQUEST_ID, "h1", 100 * MS + SECOND + 1)
        assert not checker.violations
        checker.check_attempt(REQUEST_ID, "h0", 100 * MS + SECOND + 1)
        assert violated(checker) == [Rule.DRAINING]
        checker.update_endpoint_list(UpdateKind.DELTA, ENTRIES[:1], 2 * SECOND)
        checker.check_attempt(REQUEST_ID, "h0", 2 * SECOND)
        assert violated(checker) == [Rule.DRAINING]


def test_actions_need_permission_by_the_settings() -> None:
    for is_allowed in (True, False):
        limits = Limits(cancellation=is_allowed, health_checks=is_allowed, gossip=is_allowed)
        checker = make_checker(limits=limits)
        checker.check_attempt(REQUEST_ID, "h0", 0)
        checker.check_cancel(REQUEST_ID, 0)
        checker.check_health_check()
        checker.check_gossip(b"\x00" * 256)
        assert violated(checker) == ([] if is_allowed else [Rule.PERMISSION] * 3)
    checker = make_checker(limits=Limits(gossip=True))
    checker.check_cancel(REQUEST_ID, 0)  # the attempt was not sent
    checker.check_gossip(b"\x00" * 257)
    assert violated(checker) == [Rule.PERMISSION] * 2
