"""Client of discovery: its open calls, changes of the address, and retries of failed calls."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from balancer import SECOND, UpdateKind

from ..memory_budget import MemoryBudget
from ..timers import Timers, now_ns
from .backoff import Backoff, jittered_ns
from .call import DiscoveryCall
from .endpoint_list_parser import EndpointListParser, EndpointListUpdate, ListedEndpoint
from .errors import (
    ConnectFailedError,
    DiscoveryCallError,
    EndpointListError,
    InvalidUpdateError,
    UpdateTooLargeError,
)
from .update_decoder import decode_update

__all__ = ["FAST_RECONNECT_PERIOD_NS", "Discovery"]

log = logging.getLogger("gateway.discovery")

FAST_RECONNECT_PERIOD_NS = 4 * SECOND
"""Time after a change of address in which failed watches are reopened here, not by the balancer."""
FAST_RECONNECT_WAIT_S = 0.2
"""Mean wait before a watch is reopened within `FAST_RECONNECT_PERIOD_NS`."""


class Discovery:
    """Client of discovery; keeps the watch open, and notifies the balancer of updates and failures.

    If discovery is polled, the balancer decides when to call again.  If lists are pushed, the balancer never
    calls, and a failed watch is reopened here with backoff.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        address: tuple[str, int],
        parser: EndpointListParser,
        pushed: bool,
        drain_grace_ns: int,
        notify: Callable[[UpdateKind, list[ListedEndpoint]], None],
        memory_budget: MemoryBudget,
    ) -> None:
        """`pushed`: lists are pushed, not polled; `drain_grace_ns`: how long a draining endpoint serves."""
        self.memory_budget = memory_budget
        """The budget to which calls charge what they receive."""
        self._loop = loop
        self._timers = timers
        self.address = address
        self.address_version = 0
        """Incremented by each change of the address and by each reconnection to the same one."""
        self.generation = 0
        """The last generation, cached or received, as numbered by the current address; 0 for none."""
        self.address_changed_ns = -FAST_RECONNECT_PERIOD_NS
        """Monotonic time of the last change of address or reconnection to the same one."""
        self._parser = parser
        self._is_pushed = pushed
        self._backoff = Backoff(drain_grace_ns)
        self._notify = notify
        self.current_watch: DiscoveryCall | None = None
        # On a new address, or beside a slow watch on the same one, until its first update.
        self._replacement_watch: DiscoveryCall | None = None
        self._fetch_call: DiscoveryCall | None = None
        self._has_list = False  # received from discovery; the cached list does not count

    def load_cached_list(self, document: Any) -> None:
        """Load the cached endpoint list of the configuration, given as decoded JSON."""
        try:
            self.generation, _, endpoints = self._parser.parse(document, now_ns())
        except EndpointListError as error:
            log.warning("invalid cached endpoint list ignored: %s", error)
            endpoints = []
        self._notify(UpdateKind.CACHED, endpoints)

    # ---- Calls -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Open the watch if lists are pushed; otherwise the balancer opens it."""
        if self._is_pushed:
            self.watch(True)

    def watch(self, active: bool) -> None:
        """Open a watch on the current address, or close all watches if not `active`.

        If there is a watch on that address, none is opened: a second one would only cost bandwidth.
        """
        if active and self.current_watch is None and self._replacement_watch is None:
            self.current_watch = self._call(True)
        elif active:
            self._open_replacement(self.address_version)
            self._open_second_watch(now_ns())
        else:
            self._close(self.current_watch, self._replacement_watch)
            self.current_watch = self._replacement_watch = None

    def fetch(self) -> None:
        """Fetch the complete endpoint list once, unless a fetch is in progress."""
        if self._fetch_call is None:
            self._fetch_call = self._call(False)

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address, or reconnect to the same one if no watch is open.

        The old watch stays open until the first update on the new one.  The new watch starts at generation 0,
        because generations of different addresses are not comparable.
        """
        if address == self.address and (
            self.current_watch is not None or self._replacement_watch is not None
        ):
            return
        log.info("connecting to discovery at %s:%d", *address)
        self.address, self.address_changed_ns, self.generation = address, now_ns(), 0
        self.address_version += 1
        if self._fetch_call is not None:
            self._close(self._fetch_call)
            self._fetch_call = self._call(False)
        self._close(self._replacement_watch)
        self._replacement_watch = None
        self._open_replacement(self.address_version)

    def sweep(self, now: int) -> None:
        """End calls that have timed out, and open a second watch beside a slow one."""
        for call in (self.current_watch, self._replacement_watch, self._fetch_call):
            if call is not None and (error := call.timeout_error(now)) is not None:
                self.on_call_ended(call, error)
        # If the second watch fails, the balancer decides when to open the next one.
        if self.current_watch is not None and not self.current_watch.has_second_watch:
            self._open_second_watch(now)

    def close(self) -> None:
        """Close all calls, when the process exits."""
        self._close(self.current_watch, self._replacement_watch, self._fetch_call)

    def _open_replacement(self, address_version: int) -> None:
        """Watch the current address, unless it is watched already or has changed since `address_version`."""
        is_current = address_version == self.address_version
        if is_current and self._replacement_watch is None and not self._watches_current_address():
            self._replacement_watch = self._call(True)

    def _open_second_watch(self, now: int) -> None:
        """Open a watch beside the current one if that is slow, as it may bring the update sooner."""
        watch = self.current_watch
        if watch is None or self._replacement_watch is not None or not watch.is_slow(now):
            return
        log.info("a discovery call is slow; opening another one")
        watch.has_second_watch = True
        self._replacement_watch = self._call(True)

    def _watches_current_address(self) -> bool:
        """Whether the current watch is on the current address."""
        watch = self.current_watch
        return watch is not None and watch.address_version == self.address_version

    @staticmethod
    def _close(*calls: DiscoveryCall | None) -> None:
        for call in calls:
            if call is not None:
                call.close()

    def _call(self, watch: bool) -> DiscoveryCall:
        call = DiscoveryCall(self, watch)
        call.task = self._loop.create_task(self._connect(call))
        return call

    async def _connect(self, call: DiscoveryCall) -> None:
        try:
            await self._loop.create_connection(lambda: call, *call.address)
        except OSError as error:
            self.on_call_ended(call, ConnectFailedError(error))
        except asyncio.CancelledError:
            pass

    # ---- Events of the calls -----------------------------------------------------------------------

    def on_update(self, call: DiscoveryCall, text: bytes) -> bool:
        """Apply the JSON text of an update; return False if it is incomplete and more lines must follow."""
        try:
            document = decode_update(text, self.memory_budget)
            update = self._parser.parse(document, now_ns(), call is self._fetch_call)
        except json.JSONDecodeError as error:
            if call.is_watch and error.pos >= len(error.doc.rstrip()):
                return False
            self._reject_update(call, error)
        except (EndpointListError, UpdateTooLargeError, ValueError, RecursionError) as error:
            self._reject_update(call, error)
        else:
            self._apply_update(call, update)
        return True

    def _apply_update(self, call: DiscoveryCall, update: EndpointListUpdate) -> None:
        if call is self._replacement_watch:
            # The old watch is closed first: its updates must not be applied after those of the new address.
            self._close(self.current_watch)
            self.current_watch, self._replacement_watch = call, None
        elif call is self.current_watch and self._watches_current_address():
            self._close(self._replacement_watch)
            self._replacement_watch = None
        if call.address_version == self.address_version:
            self.generation = update.generation
        self._backoff.reset()
        self._has_list = True
        self.on_heartbeat()
        # Done last: `generation` must be current when the balancer handles the update.
        self._notify(UpdateKind.SNAPSHOT if update.is_snapshot else UpdateKind.DELTA, update.endpoints)

    def on_heartbeat(self) -> None:
        """Record that the gateway is up to date with discovery; called for heartbeats and updates."""
        if self._has_list:
            self._parser.start_times.mark_up_to_date(now_ns())

    def _reject_update(self, call: DiscoveryCall, cause: Exception) -> None:
        """Drop an invalid update and end the call; the next call requests the lost changes again."""
        log.warning("invalid update dropped: %s", cause)
        self.on_call_ended(call, InvalidUpdateError(cause))

    def on_call_ended(self, call: DiscoveryCall, error: DiscoveryCallError | None) -> None:
        """Handle the end of a call, once; `error` is None if a fetch was successful."""
        if call.is_closed:
            return
        call.close()
        # Done before the balancer is notified, as it may open the next call while it is notified.
        self._remove_call(call)
        if error is None:
            return
        log.info("discovery call failed: %s", error)
        if call.is_watch and self._is_fast_reconnect_due():
            # Not left to the balancer: its waits may exceed the time allowed for a change of address.
            self._timers.call_after(
                jittered_ns(FAST_RECONNECT_WAIT_S), self._open_replacement, self.address_version
            )
            return
        self._notify(UpdateKind.FAILED, [])
        # An open watch on an old address is not sufficient.
        if self._is_pushed and not self._watches_current_address():
            self._timers.call_after(self._backoff.next_wait_ns(), self.watch, True)

    def _remove_call(self, call: DiscoveryCall) -> None:
        if call is self._fetch_call:
            self._fetch_call = None
        elif call is self.current_watch:
            self.current_watch = None
        elif call is self._replacement_watch:
            self._replacement_watch = None

    def _is_fast_reconnect_due(self) -> bool:
        """Whether the address changed recently and the current watch, if any, is not on the new address."""
        return (
            not self._watches_current_address()
            and now_ns() - self.address_changed_ns < FAST_RECONNECT_PERIOD_NS
        )
