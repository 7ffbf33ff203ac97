"""A discovery call: a watch, which stays open, or a fetch of the complete endpoint list."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Protocol, cast

from balancer import SECOND

from ..limited_read import LimitedReadProtocol
from ..memory_budget import Charge, MemoryBudget
from ..timers import now_ns
from .call_limits import (
    COMPLETION_TIMEOUT_NS,
    CONNECT_TIMEOUT_NS,
    HEARTBEAT_INTERVAL_NS,
    MAX_COMPLETION_TIMEOUT_NS,
    MIN_BYTES_PER_S,
    OBJECT_PAUSE_NS,
    READ_TIMEOUT_NS,
    RESPONSE_TIMEOUT_NS,
)
from .errors import (
    CallTimeoutError,
    ConnectionLostError,
    DiscoveryCallError,
    MemoryExhaustedError,
    OversizedLineError,
    ResponseEndedError,
    SlowResponseError,
    TruncatedUpdateError,
)
from .object_assembler import ObjectAssembler
from .response_reader import ResponseReader
from .update_decoder import SMALL_UPDATE_BYTES

__all__ = ["MAX_LINE_BYTES", "CallOwner", "CallState", "DiscoveryCall"]

PATH = "/registry/instances"
MAX_LINE_BYTES = 8 * 1024 * 1024
"""Maximum length of a line or of a multi-line object."""
BUFFER_COPIES = 3
"""Number of copies of a line or object in memory when its last part arrives."""


class CallState(Enum):
    """State of a call; the states follow in this order, and CLOSED may follow any of them."""

    CONNECTING = auto()
    AWAITING_RESPONSE = auto()
    """The request is sent, and no data has been received."""
    RECEIVING = auto()
    CLOSED = auto()


class CallOwner(Protocol):
    """The interface through which a call reads its parameters and reports events."""

    address: tuple[str, int]
    """Host and port of discovery."""
    address_version: int
    """Incremented by each change of the address and by each reconnection to the same one."""
    generation: int
    """The last generation, cached or received, as numbered by `address`; 0 for none."""
    memory_budget: MemoryBudget
    """The budget to which calls charge what they receive."""

    def on_update(self, call: DiscoveryCall, text: bytes) -> bool:
        """Handle the JSON text of an update; return False if it is incomplete and more lines must follow."""

    def on_heartbeat(self) -> None:
        """Handle an empty line, which means that nothing has changed."""

    def on_call_ended(self, call: DiscoveryCall, error: DiscoveryCallError | None) -> None:
        """Handle the end of a call; `error` is None if a fetch was successful."""


class DiscoveryCall(LimitedReadProtocol):
    """A call and its connection."""

    def __init__(self, owner: CallOwner, is_watch: bool) -> None:
        super().__init__()
        self._owner = owner
        self.is_watch = is_watch
        self.address = owner.address
        self.address_version = owner.address_version
        self.state = CallState.CONNECTING
        self.task: asyncio.Task[None] | None = None
        """The task that opens the connection."""
        self._response = ResponseReader(splits_lines=is_watch)
        self._partial_object = ObjectAssembler()
        self._budget = owner.memory_budget
        self._charge = Charge(self._budget)
        self._started_ns = now_ns()
        self.last_received_ns = 0
        """Time at which data was last received, monotonic ns."""
        self.incomplete_bytes = 0
        """Size of the received part of an update that is incomplete."""
        self.has_second_watch = False
        """Whether a second watch was opened beside this one for the update that is incomplete."""
        self._begun_ns = 0  # first bytes of the update that is incomplete
        self._last_completed_ns = 0  # the last update or heartbeat, or the first bytes of the response

    @property
    def is_closed(self) -> bool:
        """Whether the call has ended."""
        return self.state is CallState.CLOSED

    @property
    def has_partial_object(self) -> bool:
        """Whether a multi-line object is incomplete."""
        return bool(self._partial_object)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the call was closed in the meantime."""
        self._transport = cast(asyncio.Transport, transport)  # not a subclass in uvloop
        if self.is_closed:
            self._transport.abort()
            return
        self.state = CallState.AWAITING_RESPONSE
        query = f"?watch=1&from={self._owner.generation}" if self.is_watch else ""
        authority = f"{self.address[0]}:{self.address[1]}"
        self._transport.write(f"GET {PATH}{query} HTTP/1.1\r\nHost: {authority}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the lines that they complete."""
        if self.is_closed:
            return
        try:
            self._response.feed(data)
        except DiscoveryCallError as error:
            self._owner.on_call_ended(self, error)
            return
        self._record_received()
        for line in self._response.take_lines():
            if not self.is_closed:  # the owner may close the call while it handles a line
                self._handle_line(line)
        buffered_bytes = self.incomplete_bytes = self._response.buffered_size + len(self._partial_object)
        if not self.is_closed:
            self._charge.set(buffered_bytes * BUFFER_COPIES)
        if buffered_bytes > MAX_LINE_BYTES:
            self._owner.on_call_ended(self, OversizedLineError())
        elif self._budget.is_exceeded and buffered_bytes > SMALL_UPDATE_BYTES:
            self._owner.on_call_ended(self, MemoryExhaustedError())
        elif self._response.is_complete and not self.is_closed:
            self._handle_end()

    def _record_received(self) -> None:
        """Record when data was received, and whether it begins the response or an update."""
        self.last_received_ns = now_ns()
        if self.state is not CallState.RECEIVING:
            self.state = CallState.RECEIVING
            self._last_completed_ns = self.last_received_ns
        if not self.incomplete_bytes:
            self._begun_ns = self.last_received_ns

    def _handle_line(self, line: bytes) -> None:
        """Handle a line of a watch: an object, a part of an indented object, or a heartbeat."""
        if not line.strip():
            if self._partial_object:
                self._owner.on_call_ended(self, TruncatedUpdateError())
            else:
                self._record_completed()
                self._owner.on_heartbeat()
        elif self._partial_object or not self._owner.on_update(self, line):
            self._add_to_object(line)
        else:
            self._record_completed()

    def _record_completed(self) -> None:
        """Record the end of an update or heartbeat; another one may have begun with the same bytes."""
        self._begun_ns = self._last_completed_ns = self.last_received_ns
        self.has_second_watch = False

    def _add_to_object(self, line: bytes) -> None:
        """Add a line to an indented object, and handle the object once its brackets are closed."""
        text = self._partial_object.add(line)
        if text is None:
            return
        self._record_completed()
        if not self._owner.on_update(self, text):
            self._owner.on_call_ended(self, TruncatedUpdateError())

    def _handle_end(self) -> None:
        if self.is_watch:
            self._owner.on_call_ended(self, ResponseEndedError())
            return
        # on_update comes first: the owner recognizes a snapshot by its fetch call, which must not have ended.
        self._owner.on_update(self, self._response.buffered)
        self._owner.on_call_ended(self, None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection and release the parser."""
        self._owner.on_call_ended(self, ConnectionLostError(exc))
        self._response.release()

    def timeout_error(self, now: int) -> DiscoveryCallError | None:
        """Return the reason if the call has timed out: a peer may fail without closing the connection."""
        if self.state is CallState.CONNECTING:
            has_timed_out = now - self._started_ns > CONNECT_TIMEOUT_NS
        elif self.state is CallState.AWAITING_RESPONSE:
            has_timed_out = now - self._started_ns > RESPONSE_TIMEOUT_NS
        else:
            has_timed_out = now - self.last_received_ns > READ_TIMEOUT_NS
        if has_timed_out:
            return CallTimeoutError()
        return SlowResponseError() if self._exceeds(MAX_COMPLETION_TIMEOUT_NS, now) else None

    def is_slow(self, now: int) -> bool:
        """Whether an update takes so long that another call may bring it sooner."""
        if self._partial_object and now - self.last_received_ns > OBJECT_PAUSE_NS:
            return True
        return self._exceeds(COMPLETION_TIMEOUT_NS, now)

    def _exceeds(self, timeout_ns: int, now: int) -> bool:
        """Whether data arrives, but the update that it belongs to takes longer than this."""
        if self.state is not CallState.RECEIVING:
            return False
        if not self.incomplete_bytes:  # the head, or the framing between two updates
            return now - self._last_completed_ns > timeout_ns + HEARTBEAT_INTERVAL_NS
        size_ns = self.incomplete_bytes * SECOND // MIN_BYTES_PER_S
        return now - self._begun_ns > timeout_ns + size_ns

    def close(self) -> None:
        """Close the call without notifying its owner."""
        self.state = CallState.CLOSED
        self._charge.close()
        if self._transport is not None:
            self._transport.abort()
        elif self.task is not None:
            self.task.cancel()
