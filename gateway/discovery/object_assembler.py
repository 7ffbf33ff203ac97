"""Joins the lines of a JSON object that discovery has indented or divided.

The end of the object is found by counting brackets, so that its text is decoded once: decoding it after each
line that may be the last one would take time that grows with the square of its length.
"""

from __future__ import annotations

import re

__all__ = ["ObjectAssembler"]

_TOKEN = re.compile(rb'\\.|["{}\[\]]')
"""A bracket, a quote, or an escaped character."""
_DEPTH_CHANGES = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


class ObjectAssembler:
    """The lines of one object that is incomplete so far; empty between two objects."""

    def __init__(self) -> None:
        self._text = bytearray()
        self._depth = 0  # brackets opened and not closed yet

    def __len__(self) -> int:
        return len(self._text)

    def add(self, line: bytes) -> bytes | None:
        """Add a line; return the text of the object if that completes it."""
        self._text += line + b"\n"
        self._depth += _depth_change(line)
        if self._depth > 0:
            return None
        text = bytes(self._text)
        self._text.clear()
        self._depth = 0
        return text


def _depth_change(line: bytes) -> int:
    """Return the number of opened brackets minus that of closed ones, outside of strings."""
    change = 0
    in_string = False  # a JSON string cannot extend over several lines
    for match in _TOKEN.finditer(line):
        token = match.group()
        if token == b'"':
            in_string = not in_string
        elif not in_string:
            change += _DEPTH_CHANGES.get(token, 0)
    return change
