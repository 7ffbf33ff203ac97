"""The pending timers of a balancer and their owners."""

from __future__ import annotations

from .discovery_polling import DiscoveryPolling
from .interface import Actions
from .request import Attempt, Request

__all__ = ["TimerOwner", "TimerRegistry"]

MAX_TOKEN = 0xFFFFFFFF
"""Tokens wrap around after this value, as they are sent as 32 bits."""

TimerOwner = Request | Attempt | DiscoveryPolling


class TimerRegistry:
    """Pending timers by token, with their owners."""

    def __init__(self, actions: Actions) -> None:
        self._actions = actions
        self._last_token = 0
        self.owners: dict[int, TimerOwner] = {}

    def set(self, owner: TimerOwner, delay_ns: int) -> int:
        """Set a timer for its owner; return its token."""
        self._last_token = token = (self._last_token + 1) & MAX_TOKEN
        self.owners[token] = owner
        self._actions.set_timer(token, max(1, delay_ns))
        return token

    def cancel(self, token: int | None) -> None:
        """Cancel a timer and release its owner; no effect for None or a timer that has expired."""
        if token is not None and self.owners.pop(token, None) is not None:
            self._actions.cancel_timer(token)

    def expire(self, token: int) -> TimerOwner | None:
        """Remove an expired timer and return its owner; None for an unknown token."""
        return self.owners.pop(token, None)
