"""A worker process of headless gateways: `python -m scale.headless_worker CONFIGURATION NUMBERS`.

It reads commands from standard input, one JSON object per line, and writes one line to standard output in
response to each.  It exits when its standard input ends.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import sys
from collections.abc import Sequence
from pathlib import Path
from time import monotonic_ns, process_time_ns
from typing import Any

import psutil
import uvloop

from balancer import MS
from balancer.settings_parser import parse_settings

from .headless import HeadlessGateway

__all__ = ["MAX_LINE_BYTES", "MIB", "Worker"]

MAX_LINE_BYTES = 64 << 20
"""Maximum length of a command or a response."""
MIB = 2**20


class Worker:
    """The headless gateways of one process; executes commands on them."""

    def __init__(self, configuration: dict[str, Any], numbers: Sequence[int]) -> None:
        self._list_applied = asyncio.Event()
        settings = configuration["settings"]
        host, _, port = configuration["discovery"].rpartition(":")
        self._gateways = [
            HeadlessGateway(
                parse_settings(
                    json.dumps(
                        {**settings, "my-number": number, "az": number % len(settings["zones"])}
                    ).encode()
                ),
                settings["zones"],
                settings["flavors"],
                number + 1,
                (host, int(port)),
                configuration["known"],
                self._list_applied,
            )
            for number in numbers
        ]
        self._cpu_ns = process_time_ns()

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute the command that the field `do` names.  Raises KeyError for an unknown command."""
        commands = {
            "start": self._start,
            "await": self._await_generation,
            "spent": self._read_and_reset_figures,
        }
        return await commands[command["do"]](command)

    async def _start(self, _: dict[str, Any]) -> dict[str, Any]:
        started_ns = monotonic_ns()
        for gateway in self._gateways:
            gateway.start()
        return {"begun_ns": started_ns}

    async def _await_generation(self, command: dict[str, Any]) -> dict[str, Any]:
        """Wait until every gateway has applied a generation; return when each did."""
        generation = command["generation"]
        while any(gateway.applied_at_ns(generation) is None for gateway in self._gateways):
            self._list_applied.clear()
            await self._list_applied.wait()
        return {"in_force_ns": [gateway.applied_at_ns(generation) for gateway in self._gateways]}

    async def _read_and_reset_figures(self, _: dict[str, Any]) -> dict[str, Any]:
        """Return the figures of all gateways since the last call, and the resident memory of the process."""
        cpu_ns, self._cpu_ns = process_time_ns() - self._cpu_ns, process_time_ns()
        figures = [gateway.times.read_and_reset() for gateway in self._gateways]
        failed_calls = sum(gateway.failed_calls for gateway in self._gateways)
        for gateway in self._gateways:
            gateway.failed_calls = 0
        return {
            **{name: sum(gateway_figures[name] for gateway_figures in figures) for name in figures[0]},
            "hold_ms": max(gateway_figures["hold_ms"] for gateway_figures in figures),
            "cpu_ms": cpu_ns / MS,
            "failed": failed_calls,
            "rss_mb": psutil.Process().memory_info().rss / MIB,
        }


async def _run(configuration: dict[str, Any], numbers: Sequence[int]) -> None:
    loop = asyncio.get_running_loop()
    worker = Worker(configuration, numbers)
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    commands: asyncio.Queue[bytes] = asyncio.Queue()

    async def read_commands() -> None:
        while line := await reader.readline():
            commands.put_nowait(line)

    async def execute_commands() -> None:
        while True:
            response = await worker.execute(json.loads(await commands.get()))
            print(json.dumps(response), flush=True)

    # Separate tasks, so that the process exits with its parent even while a command waits for a generation.
    done, _ = await asyncio.wait(
        [loop.create_task(read_commands()), loop.create_task(execute_commands())],
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in done:
        task.result()


def main(configuration_path: str, numbers: str) -> None:
    """Run the gateways with these numbers, separated by commas."""
    logging.basicConfig(level=logging.ERROR)
    gc.freeze()  # same settings of the garbage collector as in the gateway
    gc.set_threshold(50_000, 20, 50)
    configuration = json.loads(Path(configuration_path).read_bytes())
    uvloop.run(_run(configuration, [int(number) for number in numbers.split(",")]))


if __name__ == "__main__":
    main(*sys.argv[1:])
