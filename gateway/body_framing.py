"""How the head of a message delimits its body (RFC 9112, 6.3), the same for requests and responses.

httptools decodes the chunked coding only, but reports the body of any list of codings that ends in it, and
in a response also that of any other list, as if it were decoded.  The gateway offers no coding but chunked
(it sends no TE header), so that a message with another one cannot be read.
"""

from __future__ import annotations

from .messages import Header

__all__ = [
    "CHUNKED_LENGTH",
    "FRAMING_HEADERS",
    "AmbiguousFramingError",
    "BodyLengthError",
    "FramingError",
    "InterimBodyError",
    "UnknownCodingError",
    "parse_body_length",
]

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING_HEADERS = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
"""Headers that delimit the body, in lower case."""
CHUNKED = b"chunked"
MAX_CONTENT_LENGTH_DIGITS = 20
"""Number of leading digits of Content-Length that are converted: a longer number exceeds the limit, unless it
begins with zeros, and converting it is slow."""
CHUNKED_LENGTH = -1
"""Stands for the length of a chunked body, which is known at its end only."""


class FramingError(Exception):
    """The head of a message does not delimit a body that the gateway can read."""


class AmbiguousFramingError(FramingError):
    """More than one header delimits the body."""

    def __init__(self) -> None:
        super().__init__("contradictory framing")


class UnknownCodingError(FramingError):
    """The body has a transfer coding other than chunked."""

    def __init__(self) -> None:
        super().__init__("an unknown coding")


class BodyLengthError(FramingError):
    """Content-Length exceeds the limit or is not a number."""

    def __init__(self) -> None:
        super().__init__("a body too long")


class InterimBodyError(FramingError):
    """An interim response has a body, which HTTP does not allow (RFC 9112, 6.3)."""

    def __init__(self) -> None:
        super().__init__("an interim response with a body")


def parse_body_length(headers: list[Header], max_bytes: int) -> int | None:
    """Return the length of the body of a message, bytes; `CHUNKED_LENGTH` if it is chunked.

    Without a header that delimits it (None), a request has no body, and the body of a response ends when the
    connection closes.  `max_bytes` is the maximum length.

    Raises:
        FramingError: The body cannot be read.
    """
    length: int | None = None
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in FRAMING_HEADERS:
            continue
        if length is not None:
            raise AmbiguousFramingError
        if lower_name == TRANSFER_ENCODING:
            # Empty elements before it are ignored (RFC 9110, 5.6.1); httptools does not decode one after it.
            if value != CHUNKED and value.lstrip(b", \t").lower() != CHUNKED:
                raise UnknownCodingError
            length = CHUNKED_LENGTH
            continue
        if not value.isdigit():
            raise BodyLengthError
        length = int(value[:MAX_CONTENT_LENGTH_DIGITS])
        if length > max_bytes:
            raise BodyLengthError
    return length
