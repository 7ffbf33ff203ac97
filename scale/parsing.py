"""`python -m scale.parsing FILE`: prints the CPU time and memory that reading a configuration takes.

It prints one line of JSON.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from time import process_time_ns
from typing import TypeVar, cast

import psutil

from balancer import MS, Actions, Balancer
from gateway.configuration import Configuration, TenantTable

__all__ = ["measure"]

Result = TypeVar("Result")
MIB = 2**20


def measure(path: Path) -> dict[str, float]:
    """Load a configuration as the gateway does: the file, the tenant table, and a balancer with the settings.

    Times are CPU time of the process in ms; `taken_mb` is the growth of its resident memory in MiB, with all
    of these objects still referenced.
    """
    process, config_bytes = psutil.Process(), path.stat().st_size
    start_rss = process.memory_info().rss
    read_ms, configuration = _timed(lambda: Configuration.read({"EDGE_CONFIG": str(path)}))
    tenants_ms, tenants = _timed(
        lambda: TenantTable(configuration.tenant_rows, configuration.settings.tenants)
    )
    tenants_bytes = sum(len(bytes(row)) for row in configuration.tenant_rows)
    configuration.tenant_rows = []  # the gateway frees the rows here too
    balancer_ms, balancer = _timed(lambda: Balancer(configuration.settings, 1, cast(Actions, None)))
    end_rss = process.memory_info().rss
    del balancer, tenants  # referenced until the memory is measured
    return {
        "config_bytes": config_bytes,
        "tenants_bytes": tenants_bytes,
        "read_ms": read_ms,
        "tenants_ms": tenants_ms,
        "balancer_ms": balancer_ms,
        "taken_mb": (end_rss - start_rss) / MIB,
        "rss_mb": end_rss / MIB,
    }


def _timed(call: Callable[[], Result]) -> tuple[float, Result]:
    """Call a function; return its CPU time in ms and its result."""
    started_ns = process_time_ns()
    result = call()
    return (process_time_ns() - started_ns) / MS, result


if __name__ == "__main__":
    print(json.dumps(measure(Path(sys.argv[1]))))
