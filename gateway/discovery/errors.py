"""Errors of discovery calls and of the endpoint lists that they return."""

from __future__ import annotations

__all__ = [
    "CallTimeoutError",
    "ConnectFailedError",
    "ConnectionLostError",
    "DiscoveryCallError",
    "EndpointListError",
    "HeadTooLongError",
    "InvalidUpdateError",
    "MalformedResponseError",
    "MemoryExhaustedError",
    "OversizedLineError",
    "ResponseEndedError",
    "SlowResponseError",
    "TruncatedUpdateError",
    "UnexpectedStatusError",
    "UpdateTooLargeError",
]


class EndpointListError(Exception):
    """The top-level fields of a snapshot or delta are missing or of the wrong type."""


class DiscoveryCallError(Exception):
    """Base class: a discovery call failed."""


class ConnectFailedError(DiscoveryCallError):
    """The connection could not be established."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(f"connection failed: {cause}")


class ConnectionLostError(DiscoveryCallError):
    """The connection was lost; `cause` is None if discovery closed it without an error."""

    def __init__(self, cause: Exception | None) -> None:
        super().__init__(f"connection lost: {cause}")


class MalformedResponseError(DiscoveryCallError):
    """The response is not valid HTTP/1.1."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"malformed response: {cause}")


class HeadTooLongError(DiscoveryCallError):
    """The response exceeds the limit on heads, chunk extensions and trailers."""

    def __init__(self) -> None:
        super().__init__("response head, chunk extension or trailer too long")


class UnexpectedStatusError(DiscoveryCallError):
    """The status of the response is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")
        self.status = status


class ResponseEndedError(DiscoveryCallError):
    """The response to a watch ended, although it must stay open."""

    def __init__(self) -> None:
        super().__init__("the response to a watch ended")


class OversizedLineError(DiscoveryCallError):
    """A line or a multi-line object exceeds the limit."""

    def __init__(self) -> None:
        super().__init__("line or object too long")


class MemoryExhaustedError(DiscoveryCallError):
    """The memory budget has no capacity for the received part of a line or object."""

    def __init__(self) -> None:
        super().__init__("no memory for a line or object")


class UpdateTooLargeError(DiscoveryCallError):
    """The memory budget has no capacity for a decoded update of `size_bytes`."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"no memory for an update of {size_bytes} bytes")


class TruncatedUpdateError(DiscoveryCallError):
    """An empty line was received before a multi-line object was complete."""

    def __init__(self) -> None:
        super().__init__("truncated JSON object")


class InvalidUpdateError(DiscoveryCallError):
    """An update can't be parsed; `cause` is the error of the parser."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"invalid update: {cause}")


class CallTimeoutError(DiscoveryCallError):
    """Discovery has not sent any data for too long."""

    def __init__(self) -> None:
        super().__init__("timed out without data")


class SlowResponseError(DiscoveryCallError):
    """Discovery has sent data, but too little to complete an update in time."""

    def __init__(self) -> None:
        super().__init__("update not complete in time")
