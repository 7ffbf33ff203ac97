"""A handler for tests of the parser of requests."""

from __future__ import annotations

from gateway.client.request_parser import ParsedRequest

__all__ = ["RecordingHandler"]


class RecordingHandler:
    """Records the requests of a parser."""

    def __init__(self) -> None:
        self.requests: list[ParsedRequest] = []

    def on_request(self, request: ParsedRequest) -> None:
        """Record a complete request."""
        self.requests.append(request)

    def on_expect_continue(self) -> None:
        """Send nothing."""
