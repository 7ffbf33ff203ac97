"""Time limits of discovery calls, as parts of one budget.

A change counts as notified 6 s after discovery had it and could be reached.  A call that brings no list must
therefore fail early enough for another one to bring it: up to 1 s passes before that call (a random delay of
the balancer), and it may wait at discovery for up to 2 s.
"""

from __future__ import annotations

from balancer import SECOND

__all__ = [
    "COMPLETION_TIMEOUT_NS",
    "CONNECT_TIMEOUT_NS",
    "HEARTBEAT_INTERVAL_NS",
    "MAX_COMPLETION_TIMEOUT_NS",
    "MIN_BYTES_PER_S",
    "OBJECT_PAUSE_NS",
    "READ_TIMEOUT_NS",
    "RESPONSE_TIMEOUT_NS",
]

HEARTBEAT_INTERVAL_NS = 2 * SECOND
"""Interval at which discovery sends an empty line while nothing changes."""
CONNECT_TIMEOUT_NS = 1 * SECOND
"""Maximum time to establish the connection."""
RESPONSE_TIMEOUT_NS = 4 * SECOND
"""Maximum time from the start of the call to the first bytes.  Discovery serves all gateways, so a call may
queue there, which cannot be distinguished from a failure of discovery."""
READ_TIMEOUT_NS = HEARTBEAT_INTERVAL_NS * 3 // 2
"""Maximum time without data, between two updates or within one: one and a half heartbeat intervals."""
OBJECT_PAUSE_NS = SECOND // 2
"""Time without data within a multi-line object after which a second watch is opened beside the silent one:
the object may have been cut short."""
COMPLETION_TIMEOUT_NS = 4 * SECOND
"""Time from the first bytes of an update to its end, besides that for its size, after which a second watch is
opened beside the slow one: it may bring the update in time."""
MAX_COMPLETION_TIMEOUT_NS = 64 * SECOND
"""Time from the first bytes of an update to its end, besides that for its size, after which a call fails."""
MIN_BYTES_PER_S = 16 * 1024
"""Rate at which an update may take longer than `COMPLETION_TIMEOUT_NS`, bytes per second."""
