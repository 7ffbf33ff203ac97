"""Outcomes of attempts, and reasons for a final response of the gateway's own."""

from __future__ import annotations

from enum import Enum

__all__ = ["NOT_PROCESSED", "EndReason", "Outcome"]


class Outcome(Enum):
    """Outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"
    """The endpoint rejected the request and reports that it has not processed it."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    """The connection broke after the request was sent and before the response began."""
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    """The attempt was dropped before anything was sent."""
    INVALID_RESPONSE = "invalid response"
    """The response was invalid; the request may have been processed."""
    BAD_REQUEST = "bad request"
    """The endpoint rejected the request as invalid; the request may have been processed."""


NOT_PROCESSED = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
"""Outcomes after which the endpoint has certainly not processed the request."""


class EndReason(Enum):
    """Reason why the gateway sent a final response of its own, for logs and counters."""

    INSUFFICIENT_TIME = "insufficient_time"
    """The remaining time is too short even for a fast response."""
    QUOTA_EXCEEDED = "quota_exceeded"
    """The request is over its tenant's quota, and there is no capacity."""
    QUEUE_TIMEOUT = "queue_timeout"
    """The request has waited for capacity for the maximum time."""
    RETRY_TIMEOUT = "retry_timeout"
    """The next retry would come after the deadline."""
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    NOT_RETRYABLE = "not_retryable"
    """The request may have been processed and must not be processed twice."""
    BAD_REQUEST = "bad_request"
    """An endpoint rejected the request as invalid."""
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ATTEMPT_FORBIDDEN = "attempt_forbidden"
    """The operators' rules forbid the selected attempt."""
