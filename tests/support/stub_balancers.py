"""Stub balancers with fixed behaviour, which replace the real balancer in tests of the gateway."""

from __future__ import annotations

from typing import Any

from balancer import MS, Actions, AttemptResult, EndReason, IncomingRequest, Settings

__all__ = [
    "DuplicateAttemptBalancer",
    "FailingBalancer",
    "RaisingBalancer",
    "RaisingOnAttemptEndBalancer",
    "RejectingBalancer",
    "SendAfterResponseBalancer",
    "SingleAttemptBalancer",
    "StubBalancer",
]

ENDPOINT = "h0"
"""The endpoint that the stubs send attempts to."""


class StubBalancer:
    """Base class of the stubs: calls `handle_request` for each request, ignores events without a method."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:  # noqa: ARG002 - required by the interface
        self.actions = actions

    def __getattr__(self, name: str) -> Any:
        return lambda *_event: None

    def on_request(self, now_ns: int, incoming: IncomingRequest) -> None:  # noqa: ARG002 - required by the interface
        self.handle_request(incoming.request_id)

    def handle_request(self, request_id: int) -> None:
        """Handle a new request; the base class does nothing."""


class RejectingBalancer(StubBalancer):
    """Rejects each request, with a Retry-After of 1250 ms."""

    def handle_request(self, request_id: int) -> None:
        self.actions.reject(request_id, 1250 * MS, EndReason.INSUFFICIENT_TIME)


class FailingBalancer(StubBalancer):
    """Fails each request."""

    def handle_request(self, request_id: int) -> None:
        self.actions.fail(request_id, EndReason.INSUFFICIENT_TIME)


class RaisingBalancer(StubBalancer):
    """Raises an exception at each request."""

    def handle_request(self, request_id: int) -> None:
        raise RuntimeError(f"deliberate error at request {request_id}")


class RaisingOnAttemptEndBalancer(StubBalancer):
    """Sends one attempt for each request, and raises an exception when the attempt ends."""

    def handle_request(self, request_id: int) -> None:
        self.actions.send_attempt(request_id, ENDPOINT, 0)

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:  # noqa: ARG002 - required by the interface
        raise RuntimeError("deliberate error at the end of an attempt")


class SingleAttemptBalancer(StubBalancer):
    """Sends one attempt for each request."""

    def handle_request(self, request_id: int) -> None:
        self.actions.send_attempt(request_id, ENDPOINT, 0)


class DuplicateAttemptBalancer(StubBalancer):
    """Sends two attempts for each request at once."""

    def handle_request(self, request_id: int) -> None:
        self.actions.send_attempt(request_id, ENDPOINT, 0)
        self.actions.send_attempt(request_id, ENDPOINT, 0)


class SendAfterResponseBalancer(StubBalancer):
    """Sends attempts before and after the final response, which it requests twice; records nested calls.

    The first attempt goes to an unknown endpoint and ends at once: its end must not be reported while the
    balancer still handles the request (`max_depth` 1).
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        super().__init__(settings, seed, actions)
        self.depth = 0
        self.max_depth = 0
        self.outcomes: list[tuple[int, str, str]] = []
        """Number, endpoint and outcome of each attempt that ended, in the order of the reports."""

    def handle_request(self, request_id: int) -> None:
        self.depth += 1
        self.max_depth = max(self.max_depth, self.depth)
        self.actions.send_attempt(request_id, "nowhere", 0)  # an unknown endpoint: the attempt ends at once
        self.actions.fail(request_id, EndReason.INSUFFICIENT_TIME)
        self.actions.reject(request_id, 0, EndReason.INSUFFICIENT_TIME)
        self.actions.send_attempt(request_id, ENDPOINT, 0)
        self.depth -= 1

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:  # noqa: ARG002 - required by the interface
        self.max_depth = max(self.max_depth, self.depth + 1)
        self.outcomes.append((result.attempt, str(result.endpoint_id), result.outcome.name))
