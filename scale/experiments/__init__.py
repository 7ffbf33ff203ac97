"""Registry of the scale experiments by name."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from . import endpoints, extra_responses, gateways, latency, settings

__all__ = ["EXPERIMENTS", "Experiment"]


class Experiment(NamedTuple):
    """Experiment and the sizes at which it runs.

    `run(size, seed, **options)` returns figures whose names end in their units; its option names are those of
    `--set` on the command line.  It may raise OSError (which includes timeouts), RuntimeError or ValueError,
    and stops all tasks and processes that it started.
    """

    run: Callable[..., Coroutine[Any, Any, dict[str, float]]]
    sizes: tuple[int, ...]
    """Sizes used by default."""
    max_size: int
    """Largest size that one machine is expected to handle."""


EXPERIMENTS = {
    "extra": Experiment(extra_responses.run, extra_responses.SIZES, 200),
    "gateways": Experiment(gateways.run, gateways.SIZES, 1_000),
    "hosts": Experiment(endpoints.run, endpoints.SIZES, 75_000),
    "latency": Experiment(latency.run, latency.SIZES, 75_000),
    "settings": Experiment(settings.run, settings.SIZES, 500_000),
}
"""Experiments by their name on the command line and in the stored records."""
