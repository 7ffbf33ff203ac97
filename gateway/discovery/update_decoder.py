"""Decodes the JSON text of an update within the memory budget.

Decoded JSON takes many times the memory of its text: `{},` has three bytes and becomes an object of 64.  The
entries of an update are therefore decoded one by one, and its size in memory is estimated before that.
"""

from __future__ import annotations

import json
from typing import Any

import msgspec
from msgspec import Raw

from ..memory_budget import MemoryBudget, Priority
from .errors import UpdateTooLargeError

__all__ = ["SMALL_UPDATE_BYTES", "decode_entry", "decode_update"]

ENTRY_BYTES = 80
"""Size of an entry that is not decoded yet, and share of a parsed one for each of its fields, bytes."""
VALUE_BYTES = 200
"""Size of a decoded value with its key, bytes, where all entries are decoded at once."""
SMALL_UPDATE_BYTES = 16 * 1024
"""Size up to which an update is decoded whatever else is stored, bytes: about a hundred entries."""
WIDE_TEXT_FACTOR = 8
"""Size of a decoded text with characters outside of ASCII, as a multiple of its bytes, and of its strings."""


class _Update(msgspec.Struct):
    generation: Raw
    instances: list[Raw]
    reset: Raw = Raw(b"false")


def decode_update(text: bytes, budget: MemoryBudget) -> Any:
    """Decode an update; its entries are `Raw` unless the text has an unusual form.

    Raises:
        UpdateTooLargeError: The budget does not have the capacity for the update.
        ValueError: The text is not valid JSON; RecursionError if it is nested too deeply.
    """
    # Each value of the text is the first one in its brackets or follows a comma.
    values = text.count(b",") + text.count(b"{") + text.count(b"[")
    if len(text) > SMALL_UPDATE_BYTES:
        _check_capacity(budget, len(text) + values * ENTRY_BYTES)
    try:
        update: _Update = msgspec.json.decode(text, type=_Update)
    except (msgspec.MsgspecError, RecursionError):  # also for what only the standard library accepts, as NaN
        if len(text) > SMALL_UPDATE_BYTES:
            text_bytes = len(text) * (2 if text.isascii() else WIDE_TEXT_FACTOR)
            _check_capacity(budget, text_bytes + values * VALUE_BYTES)
        return json.loads(text)
    return {
        "generation": decode_entry(update.generation),
        "reset": decode_entry(update.reset),
        "instances": update.instances,
    }


def decode_entry(entry: Any) -> Any:
    """Decode an entry of an update, or return it if it is decoded already.

    Raises ValueError if it is not valid JSON, RecursionError if it is nested too deeply.
    """
    if type(entry) is not Raw:
        return entry
    try:
        return msgspec.json.decode(entry)
    except msgspec.MsgspecError:  # the standard library accepts more, such as very large numbers
        return json.loads(bytes(entry))


def _check_capacity(budget: MemoryBudget, size_bytes: int) -> None:
    if not budget.can_add(size_bytes, Priority.UNREAD_RESPONSE):
        raise UpdateTooLargeError(size_bytes)
