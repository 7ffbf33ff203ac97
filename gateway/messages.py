"""HTTP messages as passed between the client side, the dispatcher and the upstream side."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "EMPTY_PAYLOAD",
    "LOAD_REPORT_HEADER",
    "MAX_BODY_BYTES",
    "UNFORWARDED_HEADERS",
    "ClientRequest",
    "Header",
    "Payload",
    "Response",
    "field_value",
]

MAX_BODY_BYTES = 64 * 1024
"""Maximum length of a message body, bytes."""
UNFORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-connection",
    )
)
"""Headers that are not forwarded, in lower case: hop-by-hop headers (RFC 9110, 7.6.1), Content-Length, which
the gateway writes itself, and Expect, which it answers itself."""
LOAD_REPORT_HEADER = b"x-server-load"
"""Response header with the endpoint's load report; in lower case."""

Header = tuple[bytes, bytes]
"""Name and value of a header, as received."""


class Payload(NamedTuple):
    """The bytes of a request that is forwarded to an endpoint."""

    head: bytes
    """Request line and headers, without the timeout header and the empty line, which each attempt adds."""
    body: bytes

    @property
    def size(self) -> int:
        """Total length, bytes."""
        return len(self.head) + len(self.body)


EMPTY_PAYLOAD = Payload(b"", b"")
"""Replaces a payload that is no longer needed, to release its memory."""


class Response(NamedTuple):
    """A complete response from an endpoint."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass(slots=True)
class ClientRequest:
    """A validated client request."""

    client_request_id: bytes
    """Value of X-Request-ID, which identifies the request at all gateways."""
    class_index: int
    """Index in `Settings.classes`."""
    tenant_index: int
    """Slot of the tenant in the quota table; 0 if no tenants are configured."""
    routing_key: int
    """Routing key of the request for cache affinity; 0 if it has none."""
    timeout_ns: int
    """Time that the client waits for the response, from the arrival of the request."""
    cost_hint_ns: int
    """Cost hint of the client: the expected work; 0 if it gave none."""
    is_retry: bool
    """Whether the client marked the request as a retry of its own."""
    is_write: bool
    """Whether the client marked the request as a write."""
    payload: Payload


def field_value(text: bytes | None) -> bytes:
    """Return the header value without surrounding white space (RFC 9110, 5.5), which httptools may leave.

    A missing value is treated as empty.
    """
    return text.strip(b" \t") if text else b""
