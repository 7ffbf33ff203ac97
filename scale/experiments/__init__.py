"""The experiments by name."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from . import gateways, hosts, settings


class Experiment(NamedTuple):
    """What runs it at one size, and the sizes by default.

    `run(size, seed, **options)` gives figures whose names end in their units; it may raise OSError (time-outs
    are such) or RuntimeError, and ends all that it began.
    """

    run: Callable[..., Coroutine[Any, Any, dict[str, float]]]
    sizes: tuple[int, ...]


EXPERIMENTS = {
    "gateways": Experiment(gateways.run, gateways.SIZES),
    "hosts": Experiment(hosts.run, hosts.SIZES),
    "settings": Experiment(settings.run, settings.SIZES),
}
