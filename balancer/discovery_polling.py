"""Schedules the discovery calls that poll for the endpoint list, if the settings enable polling.

A gateway that misses a change sends requests to draining endpoints, but discovery has little capacity. So the
calls of all gateways are spread over time, and the backoff after a failed call stays below the time after
which a change counts as notified.
"""

from __future__ import annotations

from collections.abc import Callable

from .settings import Settings
from .units import SECOND

__all__ = ["DiscoveryPolling"]

SPREAD_SHARE = 0.5
"""Share of the polling interval over which first calls are spread, to avoid a queue at discovery."""
FULL_SPREAD_REPLICAS = 32
"""Number of gateways from which on first calls are spread over the full `SPREAD_SHARE`.

Fewer gateways need less, and should call soon, as a list cached before the start may be old.
"""
MAX_BACKOFF_SHARE = 0.5
"""Maximum backoff, as a share of the polling interval."""
FIRST_BACKOFF_SHARE = 0.1
"""Minimum first backoff, as a share of the polling interval.

After a broken watch, the first backoff is `REWATCH_SPREAD_NS` instead.
"""
REWATCH_SPREAD_NS = SECOND
"""Maximum time over which calls after broken watches are spread, in ns.

It is short: a missed change counts as notified after 6 s, and half of that may pass before a silent watch is
detected.
"""
NOTIFIED_AFTER_NS = 6 * SECOND
"""Time in ns after which a change in a reachable discovery counts as notified, even if calls fail."""
CALL_QUEUEING_NS = 2 * SECOND
"""Part of `NOTIFIED_AFTER_NS` reserved for the next call to wait in the queue of discovery, in ns."""


class DiscoveryPolling:
    """Tracks the state of the watch and the backoff between calls.

    `watch` starts a discovery call; `call_later` schedules a call of `poll` after a delay in ns.
    """

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        call_later: Callable[[int], object],
        watch: Callable[[], None],
    ) -> None:
        self._random = random
        self._call_later = call_later
        self._watch = watch
        self._is_enabled = settings.poll_discovery
        self._is_watching = False
        self._is_missing_changes = False
        """Whether a watch has broken and no list was received since."""
        self._missing_since = 0
        """Time since which changes may have been missed: the start, or the end of a watch."""
        self._called_at = 0
        self._backoff_ns = 0.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._interval_ns = settings.rules.poll_interval_ns
        # Leaves time to repeat the first call if it fails.
        share = SPREAD_SHARE * min(1.0, settings.replicas / FULL_SPREAD_REPLICAS)
        self._spread_ns = min(share * self._interval_ns, NOTIFIED_AFTER_NS - REWATCH_SPREAD_NS)

    def start(self, now: int) -> None:
        """Schedule the first call; the gateway has only a cached list from before its start."""
        self._missing_since = now
        if self._is_enabled:
            self._call_later(int(self._random() * self._spread_ns))

    def handle_success(self) -> None:
        """Handle a successful call: a list or delta was received, and its watch is active."""
        self._is_watching = True
        self._is_missing_changes = False
        self._backoff_ns = 0.0

    def handle_failure(self, now: int) -> None:
        """Schedule the next call after a failed call or a broken watch.

        The backoff doubles and is randomized, over a wider range with more gateways: calls that fail together
        would otherwise be repeated together, and discovery spends time on each of them before it fails. A
        broken watch is not a failed call: the next call follows soon, as endpoints may start to drain in the
        meantime. If that call fails too, the backoff also starts small, because missed changes may already
        count as notified.
        """
        was_watching, self._is_watching = self._is_watching, False
        if not self._is_enabled:
            return
        if was_watching:
            self._is_missing_changes, self._missing_since = True, now
            self._call_later(int(self._random() * min(REWATCH_SPREAD_NS, self._spread_ns)))
        else:
            self._call_later(int(self._random() * self._next_backoff(now)))

    def poll(self, now: int) -> None:
        """Call discovery after the delay unless a watch is active."""
        if not self._is_watching:
            self._called_at = now
            self._watch()

    def _next_backoff(self, now: int) -> float:
        """Return the maximum delay before the next call, in ns.

        It is shortened, but not below `REWATCH_SPREAD_NS`, so that the call is made `CALL_QUEUEING_NS` before
        a change that discovery may have by now counts as notified. The longer a call took to fail, the sooner
        the next one follows.
        """
        first = max(FIRST_BACKOFF_SHARE * self._interval_ns, self._spread_ns)
        if self._is_missing_changes:
            first = REWATCH_SPREAD_NS
        self._backoff_ns = min(max(2 * self._backoff_ns, first), MAX_BACKOFF_SHARE * self._interval_ns)
        # Discovery may have been reachable since the last list, or since just after the failed call began.
        is_recent = now < self._missing_since + NOTIFIED_AFTER_NS
        since = self._missing_since if is_recent else self._called_at
        return min(
            self._backoff_ns, max(REWATCH_SPREAD_NS, since + NOTIFIED_AFTER_NS - CALL_QUEUEING_NS - now)
        )
