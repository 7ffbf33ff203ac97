"""Validates requests against the settings: path, request class, headers and method."""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

from balancer import MS, Idempotency, Settings

from ..messages import UNFORWARDED_HEADERS, ClientRequest, Header, Payload
from .errors import InvalidRequestError
from .request_parser import ParsedRequest

__all__ = ["RequestValidator"]

MAX_REQUEST_ID_BYTES = 200
"""Maximum length of X-Request-ID, bytes."""
MAX_NUMBER_DIGITS = 9
"""Maximum number of digits of a number in a header; a longer number counts as 0."""
COST_HINT_UNIT_NS = 1000
"""Unit of X-Cost (one microsecond), ns."""
CHECKED_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-priority-class",
        b"x-tenant-id",
        b"x-timeout-ms",
        b"idempotency-key",
        b"x-route-key",
        b"x-retried",
        b"x-cost",
        b"x-attrs",
        b"host",
    )
)
"""Headers that must have a single value and that `Connection` cannot remove; in lower case."""
TIMEOUT_HEADER = b"x-timeout-ms"
"""Not forwarded as received: each attempt writes its own value."""
DEFAULT_DROPPED_HEADERS = UNFORWARDED_HEADERS - CHECKED_HEADERS | {TIMEOUT_HEADER}
"""Headers that are never forwarded, besides those that `Connection` headers name; in lower case."""


class RequestValidator:
    """Validates parsed requests against the settings and converts them to `ClientRequest`."""

    def __init__(self, settings: Settings, tenant_slots: Mapping[bytes, int]) -> None:
        """`tenant_slots` maps tenant names to slots; its owner updates it in place."""
        self._class_indexes = {item.name.encode(): index for index, item in enumerate(settings.classes)}
        self._idempotency = [item.idempotency for item in settings.classes]
        self._max_timeouts_ns = [item.max_timeout_ns for item in settings.classes]
        self._tenant_slots = tenant_slots

    def validate(self, request: ParsedRequest) -> ClientRequest:
        """Convert a parsed request to a `ClientRequest`.

        Raises:
            InvalidRequestError: A part of the request is missing, unknown or contradictory.
        """
        class_name = _path_class_name(request.target)
        if class_name not in self._class_indexes:
            raise InvalidRequestError(404, "no such path")
        checked = _checked_headers(request.headers)
        if checked.get(b"x-priority-class") != class_name:
            raise InvalidRequestError(400, "the class is missing or is not that of the path")
        class_index = self._class_indexes[class_name]
        if not _is_method_allowed(request, self._idempotency[class_index], checked.get(b"idempotency-key")):
            raise InvalidRequestError(400, "the method, body or key is not that of the class")
        client_request_id = _validated_request_id(checked)
        tenant_index = self._tenant_slots.get(
            checked.get(b"x-tenant-id", b""), -1 if self._tenant_slots else 0
        )
        if tenant_index < 0:
            raise InvalidRequestError(400, "the tenant is missing or unknown")
        timeout_ms = checked.get(b"x-timeout-ms", b"")
        if not timeout_ms.isdigit():
            raise InvalidRequestError(400, "no usable time-out")
        return ClientRequest(
            client_request_id=client_request_id,
            class_index=class_index,
            tenant_index=tenant_index,
            routing_key=_parse_routing_key(checked.get(b"x-route-key", b"")),
            timeout_ns=min(_parse_number(timeout_ms) * MS, self._max_timeouts_ns[class_index]),
            cost_hint_ns=_parse_number(checked.get(b"x-cost", b"")) * COST_HINT_UNIT_NS,
            is_retry=checked.get(b"x-retried") == b"1",
            is_write=b"write=1" in checked.get(b"x-attrs", b"").split(b","),
            payload=_build_payload(request, checked),
        )


def _path_class_name(target: bytes) -> bytes | None:
    """Return the first path segment, which names the request class; None if the target is not a path."""
    segments = target.split(b"?", 1)[0].split(b"/", 2)
    return segments[1] if len(segments) > 1 and not segments[0] else None


def _checked_headers(headers: list[Header]) -> dict[bytes, bytes]:
    """Return the checked headers by lower-case name.

    Raises InvalidRequestError if one has different values.
    """
    checked: dict[bytes, bytes] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in CHECKED_HEADERS and checked.setdefault(lower_name, value) != value:
            raise InvalidRequestError(400, f"two values of {lower_name.decode()}")
    return checked


def _is_method_allowed(request: ParsedRequest, idempotency: Idempotency, key: bytes | None) -> bool:
    """Whether method, body and idempotency key are valid for a class with this idempotency."""
    if idempotency is Idempotency.SAFE:
        return request.method == b"GET" and not request.body and key is None
    if request.method != b"POST":
        return False
    return bool(key) if idempotency is Idempotency.IDEMPOTENCY_KEY else key is None


def _validated_request_id(checked: dict[bytes, bytes]) -> bytes:
    """Return the X-Request-ID; raises InvalidRequestError if it is missing or unusable."""
    client_request_id = checked.get(b"x-request-id", b"")
    if not 0 < len(client_request_id) <= MAX_REQUEST_ID_BYTES or not client_request_id.isascii():
        raise InvalidRequestError(400, "no usable id")
    return client_request_id


def _parse_routing_key(text: bytes) -> int:
    """Return the routing key as a number: low 64 bits of a hexadecimal value, else a hash; 0 if missing."""
    if not text:
        return 0
    try:
        return int(text, 16) & 0xFFFFFFFFFFFFFFFF
    except ValueError:
        return crc32(text) or 1


def _parse_number(text: bytes) -> int:
    """Return a decimal number of at most `MAX_NUMBER_DIGITS` digits; 0 for anything else."""
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else 0


def _dropped_headers(headers: list[Header]) -> frozenset[bytes]:
    """Return the headers that are not forwarded, in lower case.

    They include those that `Connection` headers name.
    """
    options = [value for name, value in headers if name.lower() == b"connection"]
    if not options:
        return DEFAULT_DROPPED_HEADERS
    named = {token.strip().lower() for value in options for token in value.split(b",")}
    return DEFAULT_DROPPED_HEADERS | (named - CHECKED_HEADERS)


def _build_payload(request: ParsedRequest, checked: Mapping[bytes, bytes]) -> Payload:
    """Serialize the request for forwarding, without its timeout; end-to-end headers stay unchanged.

    `checked` holds the checked headers.
    """
    headers = request.headers
    dropped = _dropped_headers(headers)
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    lines += [b"%b: %b\r\n" % header for header in headers if header[0].lower() not in dropped]
    if b"host" not in checked:
        lines.append(b"Host: gateway\r\n")
    if request.method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return Payload(b"".join(lines), request.body)
