"""Timeouts of client connections."""

from __future__ import annotations

from balancer import MS, SECOND

__all__ = ["FIRST_REQUEST_TIMEOUT_NS", "IDLE_TIMEOUT_NS", "LINGER_TIMEOUT_NS", "SLOW_CLIENT_TIMEOUT_NS"]

SLOW_CLIENT_TIMEOUT_NS = 2200 * MS
"""Maximum time for a request to arrive, and for a client to read its response, ns.  The limit is 3 s; the
margin allows for a sweep that runs late by one interval."""
FIRST_REQUEST_TIMEOUT_NS = 500 * MS
"""Time after connecting, ns, after which a connection with an incomplete first request may be evicted:
well-behaved clients send the complete request at once."""
IDLE_TIMEOUT_NS = 2 * SECOND
"""Idle time, ns, after which a connection closes: many clients send one request and never close."""
LINGER_TIMEOUT_NS = 1 * SECOND
"""Time, ns, for which incoming data is discarded after the last response, so that the client can read it."""
