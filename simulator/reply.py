"""Encodes replies: the actions of all balancer instances, in the order of their calls."""

from __future__ import annotations

import struct
from enum import IntEnum

from balancer import EndpointId, EndReason

__all__ = ["REPLY_HEADER", "ActionCode", "Reply", "ReplyActions"]

REPLY_HEADER = struct.Struct(">II")
"""Header of a reply: frame length in bytes including this header, and record count."""
ALL_PEERS = 0xFFFF
"""Peer number that addresses a gossip message to all peers."""
MAX_TEXT_BYTES = 0xFFFF


class ActionCode(IntEnum):
    """First byte of a record in a reply; identifies the action."""

    SEND_ATTEMPT = 1
    FAIL = 2
    REJECT = 3
    CHECK_HEALTH = 4
    CANCEL_ATTEMPT = 5
    CLOSE_IDLE_CONNECTIONS = 6
    REPORT_FAULT = 7
    FETCH_ENDPOINTS = 8
    SET_TIMER = 9
    SEND_GOSSIP = 10
    WATCH_ENDPOINTS = 11
    LOG = 12


# Plain integers for the frequent actions, because Python 3.11 looks up enum members slowly.
_SEND_ATTEMPT = ActionCode.SEND_ATTEMPT.value
_FAIL = ActionCode.FAIL.value
_REJECT = ActionCode.REJECT.value
_CANCEL_ATTEMPT = ActionCode.CANCEL_ATTEMPT.value
_SET_TIMER = ActionCode.SET_TIMER.value

# Each layout starts with the action code and the instance number.
_ATTEMPT_LAYOUT = struct.Struct(">BHI6sQ")
_FAIL_LAYOUT = struct.Struct(">BHI")
_REJECT_LAYOUT = struct.Struct(">BHIQ")
_ENDPOINT_LAYOUT = struct.Struct(">BH6s")
_CANCEL_LAYOUT = struct.Struct(">BHIH")
_TEXT_LAYOUT = struct.Struct(">BHH")
_FETCH_LAYOUT = struct.Struct(">BH")
_TIMER_LAYOUT = struct.Struct(">BHIQ")
_GOSSIP_LAYOUT = struct.Struct(">BHHH")
_WATCH_LAYOUT = struct.Struct(">BHB")


class Reply:
    """Buffer for the reply in progress; shared by all instances of a process."""

    __slots__ = ("_buffer", "_count")

    def __init__(self) -> None:
        self._buffer = bytearray(REPLY_HEADER.size)
        self._count = 0

    def add(self, record: bytes) -> None:
        """Append an encoded record."""
        self._buffer += record
        self._count += 1

    def take(self) -> bytes:
        """Return the complete frame and clear the buffer."""
        REPLY_HEADER.pack_into(self._buffer, 0, len(self._buffer), self._count)
        frame = bytes(self._buffer)
        del self._buffer[REPLY_HEADER.size :]
        self._count = 0
        return frame


class ReplyActions:
    """Implements `balancer.Actions` for one instance by appending records to the reply."""

    __slots__ = ("_add", "_instance")

    def __init__(self, instance: int, reply: Reply) -> None:
        self._instance = instance
        self._add = reply.add

    def send_attempt(self, request_id: int, endpoint_id: EndpointId, timeout_ns: int) -> None:
        """Start the next attempt of a request."""
        self._add(_ATTEMPT_LAYOUT.pack(_SEND_ATTEMPT, self._instance, request_id, endpoint_id, timeout_ns))

    def fail(self, request_id: int, reason: EndReason) -> None:  # noqa: ARG002 - required by the interface
        """Fail a request; the wire format has no field for the reason."""
        self._add(_FAIL_LAYOUT.pack(_FAIL, self._instance, request_id))

    def reject(self, request_id: int, retry_after_ns: int, reason: EndReason) -> None:  # noqa: ARG002 - required by the interface
        """Reject a request; the wire format has no field for the reason."""
        self._add(_REJECT_LAYOUT.pack(_REJECT, self._instance, request_id, retry_after_ns))

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt in flight."""
        self._add(_CANCEL_LAYOUT.pack(_CANCEL_ATTEMPT, self._instance, request_id, attempt))

    def set_timer(self, token: int, delay_ns: int) -> None:
        """Schedule an expiry of the timer with this token after the delay."""
        self._add(_TIMER_LAYOUT.pack(_SET_TIMER, self._instance, token, delay_ns))

    def cancel_timer(self, token: int) -> None:
        """Do nothing: the wire format has no message for it, and an expiry without an owner has no effect."""

    def watch_endpoints(self, active: bool) -> None:
        """Subscribe to changes of the endpoint list, or unsubscribe if not `active`."""
        self._add(_WATCH_LAYOUT.pack(ActionCode.WATCH_ENDPOINTS, self._instance, active))

    def fetch_endpoints(self) -> None:
        """Request one snapshot of the endpoint list."""
        self._add(_FETCH_LAYOUT.pack(ActionCode.FETCH_ENDPOINTS, self._instance))

    def check_health(self, endpoint_id: EndpointId) -> None:
        """Send a health check to an endpoint."""
        self._add(_ENDPOINT_LAYOUT.pack(ActionCode.CHECK_HEALTH, self._instance, endpoint_id))

    def close_idle_connections(self, endpoint_id: EndpointId) -> None:
        """Close all idle connections to an endpoint."""
        self._add(_ENDPOINT_LAYOUT.pack(ActionCode.CLOSE_IDLE_CONNECTIONS, self._instance, endpoint_id))

    def send_gossip(self, peer: int | None, content: bytes) -> None:
        """Send a gossip message to one peer, or to all peers if `peer` is None."""
        peer_number = ALL_PEERS if peer is None else peer
        self._add(
            _GOSSIP_LAYOUT.pack(ActionCode.SEND_GOSSIP, self._instance, peer_number, len(content)) + content
        )

    def log(self, text: str) -> None:
        """Write a line to the operators' log."""
        self._add_text(ActionCode.LOG, text)

    def report_fault(self, text: str) -> None:
        """Report an exception raised by the balancer."""
        self._add_text(ActionCode.REPORT_FAULT, text)

    def _add_text(self, code: ActionCode, text: str) -> None:
        content = text.encode()[:MAX_TEXT_BYTES]
        self._add(_TEXT_LAYOUT.pack(code, self._instance, len(content)) + content)
