"""A discovery call: a watch, which stays open, or a fetch of the complete endpoint list."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Protocol, cast

from balancer import SECOND

from ..limited_read import LimitedReadProtocol
from ..memory_budget import Charge, MemoryBudget
from ..timers import now_ns
from .errors import (
    ConnectionLostError,
    DiscoveryCallError,
    MemoryExhaustedError,
    OversizedLineError,
    ResponseEndedError,
    TruncatedUpdateError,
)
from .object_assembler import ObjectAssembler
from .response_reader import ResponseReader
from .update_decoder import SMALL_UPDATE_BYTES

__all__ = ["MAX_LINE_BYTES", "CallOwner", "CallState", "DiscoveryCall"]

PATH = "/registry/instances"
HEARTBEAT_INTERVAL_NS = 2 * SECOND
"""Interval at which discovery sends an empty line while nothing changes."""
READ_TIMEOUT_NS = HEARTBEAT_INTERVAL_NS * 3 // 2
"""Maximum time without data on a watch: one and a half heartbeat intervals.  The gateway counts as notified
of missed changes 6 s after the last data; the remaining 3 s are for the random delay of the balancer's next
call and for the time that the call queues at discovery."""
RESPONSE_TIMEOUT_NS = 4 * SECOND
"""Maximum time from the start of the call to the first bytes.  Discovery serves all gateways, so a call may
queue there, which cannot be distinguished from a failure of discovery.  The gateway counts as notified of
missed changes 6 s after discovery stopped responding; the remaining time is for another call."""
CONNECT_TIMEOUT_NS = 1 * SECOND
"""Maximum time to establish the connection."""
PARTIAL_OBJECT_TIMEOUT_NS = SECOND // 2
"""Maximum time without data within a multi-line object; after that the call has timed out."""
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
        self._last_received_ns = 0

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
        self.state = CallState.RECEIVING
        self._last_received_ns = now_ns()
        for line in self._response.take_lines():
            if not self.is_closed:  # the owner may close the call while it handles a line
                self._handle_line(line)
        buffered_bytes = self._response.buffered_size + len(self._partial_object)
        if not self.is_closed:
            self._charge.set(buffered_bytes * BUFFER_COPIES)
        if buffered_bytes > MAX_LINE_BYTES:
            self._owner.on_call_ended(self, OversizedLineError())
        elif self._budget.is_exceeded and buffered_bytes > SMALL_UPDATE_BYTES:
            self._owner.on_call_ended(self, MemoryExhaustedError())
        elif self._response.is_complete and not self.is_closed:
            self._handle_end()

    def _handle_line(self, line: bytes) -> None:
        """Handle a line of a watch: an object, a part of an indented object, or a heartbeat."""
        if not line.strip():
            if self._partial_object:
                self._owner.on_call_ended(self, TruncatedUpdateError())
            else:
                self._owner.on_heartbeat()
        elif self._partial_object or not self._owner.on_update(self, line):
            self._add_to_object(line)

    def _add_to_object(self, line: bytes) -> None:
        """Add a line to an indented object, and handle the object once its brackets are closed."""
        text = self._partial_object.add(line)
        if text is not None and not self._owner.on_update(self, text):
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

    def has_timed_out(self, now: int) -> bool:
        """Whether the call has timed out: a peer may fail without closing the connection."""
        if self.state is CallState.CONNECTING:
            return now - self._started_ns > CONNECT_TIMEOUT_NS
        if self.state is CallState.AWAITING_RESPONSE:
            return now - self._started_ns > RESPONSE_TIMEOUT_NS
        timeout_ns = PARTIAL_OBJECT_TIMEOUT_NS if self._partial_object else READ_TIMEOUT_NS
        return now - self._last_received_ns > timeout_ns

    def close(self) -> None:
        """Close the call without notifying its owner."""
        self.state = CallState.CLOSED
        self._charge.close()
        if self._transport is not None:
            self._transport.abort()
        elif self.task is not None:
            self.task.cancel()
