"""Experiment `extra`: endpoints that send some responses twice, and what they cost.

One real gateway serves an open workload.  Each run has two phases: with endpoints that respond once, and with
one endpoint in `one_in` that sends a share of its responses again some time later, on the same connection.
Endpoints and clients are in this process, the gateway in its own.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from balancer import MS

from ..backend import ExtraResponses, FakeEndpoints
from ..fleet import Fleet, make_configuration
from ..gateway_process import GatewayProcess, deployed_command
from ..load import FOREIGN_BODY, LoadGenerator, arrival_times, histogram
from ..registry import FakeDiscoveryServer
from ..wait import wait_until

__all__ = ["SIZES", "run"]

SIZES = (8, 48)
LOAD_REPORT_COLUMNS = ("utilization", "outstanding")
WATCH_TIMEOUT_S = 30.0
"""Longest wait until the gateway has a watch open."""


async def run(
    size: int,
    seed: int,
    seconds: float = 20.0,
    rate: float = 300.0,
    one_in: int = 8,
    share: float = 0.05,
    after_ms: float = 12.0,
    mean_ms: float = 20.0,
) -> dict[str, float]:
    """Run both phases with `size` endpoints; the names of their figures begin with `clean_` and `mixed_`.

    One endpoint in `one_in` sends this share of its responses again `after_ms` later.  `rate` is that of the
    requests, per second; `mean_ms` is the mean service time.  Raises RuntimeError if the gateway ends.
    """
    extra = ExtraResponses(one_in, share, after_ms / 1e3)
    figures: dict[str, float] = {}
    for name, fake_endpoints in {
        "clean": FakeEndpoints(seed, mean_ms / 1e3, LOAD_REPORT_COLUMNS),
        "mixed": FakeEndpoints(seed, mean_ms / 1e3, LOAD_REPORT_COLUMNS, extra),
    }.items():
        phase = await _run_phase(fake_endpoints, size, seed, seconds, rate)
        figures |= {f"{name}_{key}": value for key, value in phase.items()}
    return figures


async def _run_phase(
    fake_endpoints: FakeEndpoints, size: int, seed: int, seconds: float, rate: float
) -> dict[str, float]:
    addresses = await fake_endpoints.start(size)
    fleet = Fleet(size, 1, seed, lambda number: addresses[number])
    discovery = await FakeDiscoveryServer(fleet.rows.values()).start()
    with tempfile.TemporaryDirectory() as directory:
        configuration = make_configuration(fleet, gateways=1, discovery=discovery.address)
        path = Path(directory) / "config.json"
        path.write_text(json.dumps(configuration))
        gateway = GatewayProcess(deployed_command(), path)
        try:
            await gateway.start()
            await wait_until(lambda: discovery.watch_count > 0, WATCH_TIMEOUT_S)
            settings = configuration["settings"]
            request_class, tenant = settings["request-classes"][0], settings["realms"][0]
            generator = LoadGenerator(
                gateway.address, request_class["name"], tenant["name"], request_class["give-up-ns"] // MS
            )
            return await _measure(gateway, fake_endpoints, generator, arrival_times(rate, seconds, seed))
        finally:
            await gateway.kill()
            await discovery.close()
            fake_endpoints.close()


async def _measure(
    gateway: GatewayProcess, fake_endpoints: FakeEndpoints, generator: LoadGenerator, times: list[float]
) -> dict[str, float]:
    """Send requests at these times and return the figures of a phase.  Raises RuntimeError."""
    process = gateway.psutil_process
    cpu_before = process.cpu_times()
    samples = await generator.run(times)
    cpu = process.cpu_times()
    descriptors = process.num_fds() - generator.connections_opened
    if gateway.returncode is not None:
        raise RuntimeError(f"the gateway has ended with exit code {gateway.returncode}")
    added = histogram(sample.added_latency_ns for sample in samples if sample.status == 200)
    cpu_s = cpu.user + cpu.system - cpu_before.user - cpu_before.system
    return {
        "requests": len(samples),
        "served": sum(sample.status == 200 for sample in samples),
        "foreign": sum(sample.status == FOREIGN_BODY for sample in samples),
        "extra_responses": fake_endpoints.extra_responses,
        "connections_per_request": fake_endpoints.connections / len(samples),
        "endpoint_descriptors": descriptors,
        "cpu_us_per_request": cpu_s * 1e6 / len(samples),
        "p50_ms": added.get_value_at_percentile(50) / 1e3,
        "p99_ms": added.get_value_at_percentile(99) / 1e3,
    }
