"""The table of tenants, and its update from a new configuration file while requests are served.

A file may contain a hundred thousand tenants.  Its rows are therefore compared, decoded and applied in steps,
each of which takes one iteration of the event loop, and only changed rows are decoded.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable, Generator, Sequence
from typing import NamedTuple

from msgspec import Raw
from msgspec.json import decode

from balancer import Tenant
from balancer.settings_parser import parse_tenant

from .configuration_error import as_configuration_error

__all__ = ["NO_TENANT", "ROWS_PER_STEP", "Steps", "TenantChanges", "TenantDifference", "TenantTable"]

ROWS_PER_STEP = 256
"""Rows that are compared, decoded or applied in one iteration of the event loop, in about 0.2 to 1 ms."""
NO_TENANT = Tenant("")
"""Placeholder for a slot without a tenant."""
NO_SLOT = -1

Steps = Generator[None, None, None]
"""Work split into steps; each `next` runs one step, in an event loop iteration of its own."""
TenantChanges = Sequence[tuple[int, Tenant]]
"""Slots with the tenant newly assigned to each."""


class TenantDifference(NamedTuple):
    """The difference between the table and the rows of a new file, and the state of the table after it."""

    row_hashes: array[int]
    """Hash of each row's bytes, by position in the file."""
    row_slots: array[int]
    """Slot of each row's tenant, by position in the file."""
    removed: list[int]
    """Slots whose tenants are missing from the new file, in ascending order."""
    changed: list[tuple[int, Tenant]]
    added: list[tuple[int, Tenant]]
    free_slots: list[int]
    """Slots without a tenant once the difference has been applied."""


class TenantTable:
    """The current tenants; each keeps its slot until a configuration file no longer contains it."""

    def __init__(self, rows: Sequence[Raw], tenants: Sequence[Tenant]) -> None:
        """`rows` is the raw JSON of the tenants in the file, in the order of `tenants`."""
        self.row_hashes = array("q", (hash(bytes(row)) for row in rows))
        """Hash of each row's bytes, by position in the file."""
        self.row_slots = array("q", range(len(rows)))
        """Slot of each row's tenant, by position in the file."""
        names = [tenant.name.encode() for tenant in tenants]
        self.names: list[bytes | None] = [*names]
        """Tenant name by slot; None for a free slot."""
        self.free_slots: list[int] = []
        self.slots: dict[bytes, int] = {}
        """Slot by tenant name; updated in place.  Of duplicate names in the first file the last one wins."""
        for slot, name in enumerate(names):
            self.slots[name] = slot

    def compare(self, rows: Sequence[Raw]) -> Generator[None, None, TenantDifference]:
        """Compute the difference to the rows of a new file, in steps, without applying it.

        A different order of rows is not a change.  Raises ConfigurationError for an invalid row or a
        duplicate name.
        """
        comparison = _Comparison(self, rows)
        yield from comparison.hash_rows()
        yield from comparison.collect_displaced_rows()
        yield from comparison.match_moved_rows()
        yield from comparison.decode_unmatched_rows()
        yield from comparison.assign_slots()
        return comparison.difference()

    def apply(self, difference: TenantDifference, on_tenants: Callable[[TenantChanges], None]) -> Steps:
        """Apply a difference in steps; this cannot fail.

        Tenants are removed first, as their slots may be reused for added ones.  `on_tenants` is called in the
        same step in which the names change, so that no request sees a slot assigned to two tenants.
        """
        changes = [
            *((slot, NO_TENANT) for slot in difference.removed),
            *difference.changed,
            *difference.added,
        ]
        for start in range(0, len(changes), ROWS_PER_STEP):
            batch = changes[start : start + ROWS_PER_STEP]
            for slot, tenant in batch:
                self._assign_slot(slot, None if tenant is NO_TENANT else tenant.name.encode())
            on_tenants(batch)
            yield
        self.row_hashes = difference.row_hashes
        self.row_slots = difference.row_slots
        self.free_slots = difference.free_slots

    def _assign_slot(self, slot: int, name: bytes | None) -> None:
        if slot == len(self.names):
            self.names.append(None)
        old_name = self.names[slot]
        if old_name is not None and self.slots.get(old_name) == slot:
            del self.slots[old_name]
        self.names[slot] = name
        if name is not None:
            self.slots[name] = slot


class _Comparison:
    """Computes a `TenantDifference`; call each method once, in the order of definition."""

    def __init__(self, table: TenantTable, rows: Sequence[Raw]) -> None:
        self._table = table
        self._rows = rows
        self._row_hashes = array("q")
        self._row_slots = array("q")
        self._displaced_slots_by_hash: dict[int, int] = {}  # of current rows that have moved or are gone
        self._unmatched_slots: set[int] = set()  # displaced slots that no new row has been matched with yet
        self._unmatched_positions: list[int] = []  # positions of new rows that equal no current row
        self._changed: list[tuple[int, Tenant]] = []
        self._added_by_position: list[tuple[int, Tenant]] = []  # added tenants by position in the file
        self._added: list[tuple[int, Tenant]] = []
        self._removed: list[int] = []
        self._free_slots: list[int] = []

    def hash_rows(self) -> Steps:
        """Hash the new rows, and match those that are unchanged at their position."""
        hashes, slots = self._row_hashes, self._row_slots
        old_hashes, old_slots = self._table.row_hashes, self._table.row_slots
        for position, row in enumerate(self._rows):
            if position % ROWS_PER_STEP == 0:
                yield
            hashes.append(hash(bytes(row)))
            is_same = position < len(old_hashes) and old_hashes[position] == hashes[position]
            slots.append(old_slots[position] if is_same else NO_SLOT)

    def collect_displaced_rows(self) -> Steps:
        """Collect the slots of current rows that are no longer at their position."""
        hashes = self._row_hashes
        old_hashes, old_slots = self._table.row_hashes, self._table.row_slots
        for position in range(len(old_hashes)):
            if position % ROWS_PER_STEP == 0:
                yield
            if position >= len(hashes) or hashes[position] != old_hashes[position]:
                self._displaced_slots_by_hash[old_hashes[position]] = old_slots[position]
                self._unmatched_slots.add(old_slots[position])

    def match_moved_rows(self) -> Steps:
        """Match the new rows that have only changed their position."""
        for position, row in enumerate(self._rows):
            if position % ROWS_PER_STEP == 0:
                yield
            if self._row_slots[position] != NO_SLOT:
                continue
            slot = self._displaced_slots_by_hash.pop(self._row_hashes[position], NO_SLOT)
            if slot == NO_SLOT or self._is_named_by_position(slot, row):
                self._unmatched_positions.append(position)
            else:
                self._row_slots[position] = slot
                self._unmatched_slots.discard(slot)

    def _is_named_by_position(self, slot: int, row: Raw) -> bool:
        """Whether the row has no `name`: it is named by its position, so a moved row is another tenant."""
        name = self._table.names[slot]
        return name is not None and name.isdigit() and "name" not in decode(row)

    def decode_unmatched_rows(self) -> Steps:
        """Decode the remaining rows, which are changed or added tenants."""
        names: set[bytes] = set()
        for count, position in enumerate(self._unmatched_positions):
            if count % ROWS_PER_STEP == 0:
                yield
            with as_configuration_error():
                tenant = parse_tenant(decode(self._rows[position]), position)
                name = tenant.name.encode()
                slot = self._table.slots.get(name, NO_SLOT)
                if name in names or (slot != NO_SLOT and slot not in self._unmatched_slots):
                    raise ValueError(f"two tenants have the name {tenant.name!r}")
            names.add(name)
            if slot == NO_SLOT:
                self._added_by_position.append((position, tenant))
            else:
                self._changed.append((slot, tenant))
                self._unmatched_slots.discard(slot)
                self._row_slots[position] = slot

    def assign_slots(self) -> Steps:
        """Assign slots to added tenants: first free ones and those of removed tenants, then new ones."""
        self._removed = sorted(self._unmatched_slots)
        self._free_slots = [*self._table.free_slots, *self._removed]
        next_slot = len(self._table.names)
        for count, (position, tenant) in enumerate(self._added_by_position):
            if count % ROWS_PER_STEP == 0:
                yield
            if self._free_slots:
                self._row_slots[position] = self._free_slots.pop()
            else:
                self._row_slots[position] = next_slot
                next_slot += 1
            self._added.append((self._row_slots[position], tenant))

    def difference(self) -> TenantDifference:
        """Return the computed difference."""
        return TenantDifference(
            self._row_hashes, self._row_slots, self._removed, self._changed, self._added, self._free_slots
        )
