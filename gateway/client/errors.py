"""Errors that the gateway itself returns to a client."""

from __future__ import annotations

__all__ = ["InvalidRequestError"]


class InvalidRequestError(Exception):
    """A request that violates HTTP, a limit or the settings; it is not forwarded."""

    def __init__(self, status: int, reason: str, counter: str = "") -> None:
        """`status` is the response status, `reason` the response body without the final newline.

        `counter` is the detail under which the summary line counts an invalid request, by default derived
        from `reason`.  Parse errors are not counted.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.counter = counter or reason.replace(" ", "_")

    @property
    def body(self) -> bytes:
        """The response body."""
        return self.reason.encode() + b"\n"
