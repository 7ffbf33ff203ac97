"""Idempotency of requests, and the scope in which endpoints deduplicate them."""

from __future__ import annotations

from enum import Enum

__all__ = ["DeduplicationScope", "Idempotency"]


class Idempotency(Enum):
    """Effect of repeating a request of a class (RFC 9110, section 9.2)."""

    SAFE = "safe"
    """The request changes no state at the endpoint."""
    IDEMPOTENCY_KEY = "idempotency key"
    """Endpoints recognize a repeated request by its key, within a scope and a time window."""
    NON_IDEMPOTENT = "non-idempotent"
    """A repeated request takes effect again."""


class DeduplicationScope(Enum):
    """Endpoints that recognize the idempotency key of an earlier attempt."""

    ALL = "all"
    ZONE = "zone"
    """Endpoints in the zone of the first attempt."""
    CELL = "cell"
    """Endpoints in the cell of the first attempt."""
