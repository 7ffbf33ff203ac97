"""Tests of the memory budget: the sum of the charges, and the order in which stored data is reclaimed."""

from __future__ import annotations

from gateway.memory_budget import Charge, MemoryBudget, Priority


class Owner:
    """Stores some bytes, which it releases when it has to; `stubborn` releases nothing."""

    def __init__(self, budget: MemoryBudget, released: list[str], name: str, stubborn: bool = False) -> None:
        self.charge = Charge(budget, self._reclaim)
        self._released, self._name, self._stubborn = released, name, stubborn

    def _reclaim(self, priority: Priority) -> None:
        self._released.append(self._name)
        self.charge.set(self.charge.size_bytes if self._stubborn else 0, priority if self._stubborn else None)


def test_the_least_useful_data_is_reclaimed_first_and_the_oldest_of_its_kind() -> None:
    budget, released = MemoryBudget(100), list[str]()
    owners = {
        name: Owner(budget, released, name) for name in ("endpoint", "unread", "later", "first", "second")
    }
    owners["endpoint"].charge.set(20, Priority.ENDPOINT_RESPONSE)
    owners["unread"].charge.set(20, Priority.UNREAD_RESPONSE)
    owners["later"].charge.set(20, Priority.INCOMPLETE_LATER_REQUEST)
    owners["first"].charge.set(20, Priority.INCOMPLETE_REQUEST)
    owners["second"].charge.set(20, Priority.INCOMPLETE_REQUEST)
    owners["first"].charge.set(15, Priority.INCOMPLETE_REQUEST)  # keeps its place
    assert budget.used_bytes == 95
    fixed = Charge(budget)
    expected = ["first", "second", "later", "unread", "endpoint"]
    for number, size_bytes in enumerate((10, 30, 50, 70, 90), 1):
        fixed.set(size_bytes)
        assert released == expected[:number]
        assert budget.used_bytes <= budget.limit_bytes
    fixed.close()
    assert budget.used_bytes == 0


def test_an_addition_reclaims_only_data_that_is_less_useful() -> None:
    budget, released = MemoryBudget(100), list[str]()
    incomplete, unread = Owner(budget, released, "incomplete"), Owner(budget, released, "unread")
    unread.charge.set(60, Priority.UNREAD_RESPONSE)
    incomplete.charge.set(40, Priority.INCOMPLETE_REQUEST)
    assert budget.can_add(30, Priority.INCOMPLETE_LATER_REQUEST)
    assert not budget.can_add(50, Priority.INCOMPLETE_LATER_REQUEST)
    assert released == ["incomplete"]
    assert budget.used_bytes == 60


def test_nothing_is_reclaimed_for_an_addition_that_exceeds_the_budget_itself() -> None:
    budget, released = MemoryBudget(100), list[str]()
    Owner(budget, released, "incomplete").charge.set(40, Priority.INCOMPLETE_REQUEST)
    assert not budget.can_add(101, Priority.UNREAD_RESPONSE)
    assert not released


def test_owners_that_release_nothing_do_not_block_the_others() -> None:
    budget, released = MemoryBudget(100), list[str]()
    stubborn = Owner(budget, released, "stubborn", stubborn=True)
    other = Owner(budget, released, "other")
    stubborn.charge.set(60, Priority.INCOMPLETE_REQUEST)
    other.charge.set(50, Priority.UNREAD_RESPONSE)
    assert released == ["stubborn", "other"]
    assert budget.used_bytes == 60


def test_an_error_of_one_owner_does_not_reach_another() -> None:
    budget, released = MemoryBudget(100), list[str]()

    def fail(_: Priority) -> None:
        raise RuntimeError("deliberate error")

    Charge(budget, fail).set(50, Priority.INCOMPLETE_REQUEST)
    other = Owner(budget, released, "other")
    other.charge.set(60, Priority.UNREAD_RESPONSE)
    assert released == ["other"]
