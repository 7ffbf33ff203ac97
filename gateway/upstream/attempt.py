"""One attempt to send a request or a health check to an endpoint."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from balancer import MS, EndpointId, Outcome

from ..messages import EMPTY_PAYLOAD, Payload, Response
from ..timers import Timer

if TYPE_CHECKING:
    from .connection import EndpointConnection

__all__ = ["Attempt"]


class Attempt:
    """An attempt in flight, with exclusive use of its connection until it ends.

    `on_ended` is called exactly once, and gets the response only if the outcome is OK.  `may_start` is called
    when a connection opened for this attempt is established; if it returns False, the attempt is not sent.
    """

    __slots__ = (
        "connection",
        "deadline_ns",
        "endpoint_id",
        "is_ended",
        "load_report",
        "may_start",
        "number",
        "on_ended",
        "payload",
        "started_ns",
        "timer",
    )

    def __init__(
        self,
        endpoint_id: EndpointId,
        number: int,
        payload: Payload,
        started_ns: int,
        deadline_ns: int,
        on_ended: Callable[[Attempt, Outcome, Response | None], None],
        may_start: Callable[[], bool] = lambda: True,
    ) -> None:
        """`number` is the index of the attempt within its request, from 0; times are monotonic ns."""
        self.endpoint_id = endpoint_id
        self.number = number
        self.payload = payload
        self.started_ns = started_ns
        self.deadline_ns = deadline_ns
        self.on_ended = on_ended
        self.may_start = may_start
        self.connection: EndpointConnection | None = None
        self.timer: Timer | None = None
        """The timer for the deadline, which the owner of the attempt sets and cancels."""
        self.is_ended = False
        self.load_report = b""  # unparsed, as received from the endpoint; empty if it sent none

    def serialize(self, now_ns: int) -> bytes:
        """Return the serialized request; its X-Timeout-Ms is the time left until the deadline."""
        head, body = self.payload
        return b"%bX-Timeout-Ms: %d\r\n\r\n%b" % (head, max(1, (self.deadline_ns - now_ns) // MS), body)

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the attempt and report its outcome; calls after the first have no effect."""
        if not self.is_ended:
            self.is_ended = True
            self.connection = None
            self.payload = EMPTY_PAYLOAD  # the timer for the connect may refer to the attempt for some time
            self.on_ended(self, outcome, response)
