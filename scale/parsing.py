"""`python -m scale.parsing FILE`: reads a configuration and prints what that took, as one line of JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from time import process_time_ns
from typing import TypeVar, cast

import psutil

from bridgesaddle import Balancer
from bridgesaddle.api import MS, Actions
from bridgesaddle.wire import parse_settings

Made = TypeVar("Made")


def measure(path: Path) -> dict[str, float]:
    """Read it as the gateway does: the whole file, its settings worded again, and the module made of them.

    Times in ms by the process's clock; `taken_mb` is the growth of its resident memory, in 2**20 bytes, with
    all of it held.
    """
    own, text = psutil.Process(), path.read_bytes()
    start = own.memory_info().rss
    config_ms, told = _timed(lambda: json.loads(text))
    raw = json.dumps(told["settings"]).encode()
    settings_ms, settings = _timed(lambda: parse_settings(raw))
    balancer_ms, balancer = _timed(lambda: Balancer(settings, 1, cast(Actions, None)))
    end = own.memory_info().rss
    del balancer   # held until here
    return {"config_bytes": len(text), "settings_bytes": len(raw), "json_ms": config_ms,
            "parse_settings_ms": settings_ms, "balancer_ms": balancer_ms,
            "taken_mb": (end - start) / 2 ** 20, "rss_mb": end / 2 ** 20}


def _timed(call: Callable[[], Made]) -> tuple[float, Made]:
    begun = process_time_ns()
    made = call()
    return (process_time_ns() - begun) / MS, made


if __name__ == "__main__":
    print(json.dumps(measure(Path(sys.argv[1]))))
