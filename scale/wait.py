"""Polls a condition for which there is no event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["wait_until"]

INTERVAL_S = 0.005


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Poll until the condition is true.  Raises TimeoutError after `timeout_s` seconds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - there is no event to wait for
            await asyncio.sleep(INTERVAL_S)
