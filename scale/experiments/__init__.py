"""The experiments by name."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from . import gateways, hosts, latency, settings


class Experiment(NamedTuple):
    """What runs it at one size, the sizes by default, and the largest that a machine is asked to bear.

    `run(size, seed, **options)` gives figures whose names end in their units; it may raise OSError (time-outs
    are such), RuntimeError or ValueError, and ends all that it began.
    """

    run: Callable[..., Coroutine[Any, Any, dict[str, float]]]
    sizes: tuple[int, ...]
    largest: int


EXPERIMENTS = {
    "gateways": Experiment(gateways.run, gateways.SIZES, 1_000),
    "hosts": Experiment(hosts.run, hosts.SIZES, 75_000),
    "latency": Experiment(latency.run, latency.SIZES, 75_000),
    "settings": Experiment(settings.run, settings.SIZES, 500_000),
}
