"""Parser of load reports: the load metrics that an endpoint sends with its responses."""

from __future__ import annotations

import json
from collections.abc import Sequence

__all__ = ["LoadReportParser"]

MAX_VALUE = 1e9
"""Reports with a larger value are discarded: no machine reaches such a load."""


class LoadReportParser:
    """Parses load reports, which are JSON objects.

    Each value is looked up by its name in the settings file (`columns`), then by the balancer's name for it
    (`field_names`).
    """

    def __init__(self, columns: Sequence[str], field_names: Sequence[str]) -> None:
        self.columns = list(zip(columns, field_names, strict=False))

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the values in the order of the columns; empty if the report is missing or invalid."""
        if not self.columns or not text:
            return ()
        try:
            report = json.loads(text)
            values = tuple(
                float(report[column] if column in report else report[field_name])
                for column, field_name in self.columns
            )
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
            return ()
        return values if all(0 <= value <= MAX_VALUE for value in values) else ()
