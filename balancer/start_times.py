"""Converts start times of endpoints to this gateway's monotonic clock without reading a wall clock.

Discovery publishes the start of an endpoint in Unix time. The gateway's wall clock is not used: it may be
stepped by seconds or by an hour, before the process starts or later, and a wrong clock can't be detected.
But every start precedes its publication, so the latest published start is a lower bound of the current Unix
time. Ages computed from that bound are never too high: an endpoint in slow start may appear younger than it
is, by the publication delay of the latest start, but never older.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .endpoint_list import EndpointId
from .units import MS, SECOND

__all__ = ["MAX_PUBLICATION_DELAY_NS", "MAX_UNLISTED_STARTS", "StartTimes"]

MAX_PUBLICATION_DELAY_NS = 10 * SECOND
"""Maximum time in ns from a start to its publication, if an update or heartbeat arrived just before."""
MAX_UNLISTED_STARTS = 256
"""Number of starts stored beyond two per entry of the largest update: an endpoint may be listed again."""


class _Start(NamedTuple):
    """Start of an endpoint on both clocks."""

    unix_ns: int
    """Unix time of the start as published."""
    monotonic_ns: int
    """Start converted to the gateway's monotonic clock."""


class StartTimes:
    """Start times on the monotonic clock; after the first list a stored start is not converted again.

    The starts of the `2 * entries + MAX_UNLISTED_STARTS` endpoints stored last stay, where `entries` is the
    size of the largest update so far, usually the complete list; a delta has only the changed endpoints.
    A restarted endpoint keeps its place in the order of storing. The start of an endpoint stored earlier is
    dropped and converted again if it is published again.
    """

    def __init__(self) -> None:
        self._starts: dict[EndpointId, _Start] = {}
        self._min_offset_ns: int | None = None
        """Lower bound of the offset of Unix time from the monotonic clock."""
        self._offset_from_update = False
        """Whether `_min_offset_ns` comes from an update and not from the first list."""
        self._max_entries = 0
        """Number of starts in the largest update so far."""
        self._up_to_date_ns: int | None = None
        """Monotonic time at which discovery had last published everything it knew."""

    def __len__(self) -> int:
        """Return the number of stored starts."""
        return len(self._starts)

    def mark_up_to_date(self, now_ns: int) -> None:
        """Record that discovery has published everything it knows, or that nothing has changed.

        Must not be called before the first list.
        """
        self._up_to_date_ns = now_ns

    def to_monotonic(self, starts_ms: Sequence[tuple[EndpointId, int]], now_ns: int) -> list[int]:
        """Convert the starts of a snapshot or delta to monotonic ns, each above 0, in the same order.

        `starts_ms` pairs each endpoint with the Unix time of its start in ms.
        """
        known = self._starts if self._up_to_date_ns is not None else {}
        starts_ns = [(endpoint_id, start_ms * MS) for endpoint_id, start_ms in starts_ms]
        new_starts = [
            unix_ns
            for endpoint_id, unix_ns in starts_ns
            if endpoint_id not in known or known[endpoint_id].unix_ns != unix_ns
        ]
        if new_starts:
            self._update_offset(max(new_starts) - now_ns)
        converted = []
        for endpoint_id, unix_ns in starts_ns:
            start = known.get(endpoint_id)
            if start is None or start.unix_ns != unix_ns:
                start = self._starts[endpoint_id] = _Start(unix_ns, max(1, self._convert(unix_ns, now_ns)))
            converted.append(start.monotonic_ns)
        self._max_entries = max(self._max_entries, len(starts_ms))
        self._prune()
        return converted

    def _update_offset(self, offset_ns: int) -> None:
        """Update the lower bound with the offset of a start from the monotonic time of its publication."""
        is_update = self._up_to_date_ns is not None
        if self._min_offset_ns is None:
            self._min_offset_ns = offset_ns
        elif (
            is_update
            and self._offset_from_update
            and offset_ns > self._min_offset_ns + MAX_PUBLICATION_DELAY_NS
        ):
            return  # no publication delay explains it: the start is from a wrong clock
        elif (
            is_update
            and not self._offset_from_update
            and offset_ns < self._min_offset_ns - MAX_PUBLICATION_DELAY_NS
        ):
            self._min_offset_ns = offset_ns  # the first list had a start from a wrong clock
        else:
            self._min_offset_ns = max(offset_ns, self._min_offset_ns)
        self._offset_from_update = is_update

    def _convert(self, unix_ns: int, now_ns: int) -> int:
        assert self._min_offset_ns is not None
        start_ns = unix_ns - self._min_offset_ns
        # A start this old would have been published in an earlier update, so it is wrong.
        is_implausible = (
            self._up_to_date_ns is not None and start_ns < self._up_to_date_ns - MAX_PUBLICATION_DELAY_NS
        )
        return now_ns if is_implausible or start_ns > now_ns else start_ns

    def _prune(self) -> None:
        while len(self._starts) > 2 * self._max_entries + MAX_UNLISTED_STARTS:
            del self._starts[next(iter(self._starts))]
