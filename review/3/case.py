"""Clients leave in a burst: hosts get requests long after their clients have closed."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from standins import BROKEN, HELD, CannotRunError, GatewayProcess, Stage, main, read_message, request, trouble

HERE = Path(__file__).resolve().parent
GATEWAYS = 3
SOCKETS = 1024
CLIENTS = 340
"""Clients of a gateway in a burst: under a third of its descriptors, which is 341."""
BODY_BYTES = 60_000
EARLY_S, PATIENT_S = 0.02, 1.2
"""Time from the last byte of the burst to the closes of its clients."""
BURSTS = 3
AFTER_CLOSE_S = 0.1
SOCKET_SLACK_S = 0.05
LAG_STEP_S = 0.005


class LagMonitor:
    """Measures how late this process, which plays the hosts, may read a request."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            due = time.monotonic() + LAG_STEP_S
            await asyncio.sleep(LAG_STEP_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due)

    def stop(self) -> None:
        self._task.cancel()


def share_one_core(gateways: list[GatewayProcess]) -> None:
    """Put all gateways on one core, and this process and the clients on the others, if there are any."""
    cores = sorted(os.sched_getaffinity(0))
    for gateway in gateways:
        assert gateway.process is not None
        os.sched_setaffinity(gateway.process.pid, {cores[-1]})
    if len(cores) > 1:
        os.sched_setaffinity(0, set(cores[:-1]))


async def warm_up(gateway: GatewayProcess, name: str) -> None:
    for number in range(20):
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(request(f"warm-{name}-{number}"))
        await asyncio.wait_for(read_message(reader), 3.0)
        writer.close()


async def send_burst(gateway: GatewayProcess, name: str, start: float) -> dict[str, Any]:
    """Run the clients of one gateway in a process of their own and return what they report."""
    stay_s = EARLY_S if trouble() else PATIENT_S
    arguments = [gateway.host, gateway.port, name, CLIENTS, start, stay_s, BODY_BYTES]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", str(HERE / "clients.py"), *map(str, arguments), stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise CannotRunError("the clients could not connect and send")
    report: dict[str, Any] = json.loads(output)
    return report


async def play(stage: Stage) -> int:
    record = stage.record
    hosts = await stage.hosts(8, 0.03)
    discovery = await stage.discovery(hosts)
    gateways = [await stage.gateway(hosts, discovery, SOCKETS) for _ in range(GATEWAYS)]
    share_one_core(gateways)
    await asyncio.sleep(1.5)
    for index, gateway in enumerate(gateways):
        await warm_up(gateway, str(index))
    late_count = 0
    for number in range(BURSTS):
        monitor = LagMonitor()
        start = time.monotonic() + 1.0
        reports = await asyncio.gather(
            *(send_burst(gateway, f"b{number}-g{index}", start) for index, gateway in enumerate(gateways))
        )
        await asyncio.sleep(2.5)
        monitor.stop()
        closed = {item: at - record.started for report in reports for item, at in report["closed"].items()}
        arrivals = [arrival for host in hosts for arrival in host.arrivals if arrival.request_id in closed]
        bound_s = AFTER_CLOSE_S + SOCKET_SLACK_S + monitor.longest_s
        late = sorted(
            (arrival.at - closed[arrival.request_id], arrival)
            for arrival in arrivals
            if arrival.at - closed[arrival.request_id] > bound_s
        )
        for index, report in enumerate(reports):
            times = [at - record.started for at in report["closed"].values()]
            statuses = Counter(report["statuses"].values())
            record.add(
                f"burst {number} of gateway {index}: {CLIENTS} requests were sent from "
                f"{report['began'] - record.started:.3f} to {report['sent'] - record.started:.3f}; "
                f"their clients closed from {min(times):.3f} to {max(times):.3f}; "
                f"statuses {dict(statuses)} (0: none yet)"
            )
        record.add(
            f"burst {number}: {len(arrivals)} of {len(closed)} requests at hosts; "
            f"the hosts read at most {monitor.longest_s * 1000:.0f} ms late"
        )
        for after_s, arrival in late:
            record.add(f"{arrival.host} got {arrival.request_id} {after_s:.3f} s after its client's close")
        late_count += len(late)
    record.add(f"{late_count} requests went to hosts too long after their clients had closed")
    return BROKEN if late_count else HELD


main(HERE, play)
