"""Starts headless gateways in several worker processes and sends commands to all of them at once."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from . import ROOT
from .headless_worker import MAX_LINE_BYTES

__all__ = ["WorkerPool"]

RESPONSE_TIMEOUT_S = 90.0
"""Maximum wait for the responses to a command, seconds."""


class WorkerPool:
    """Worker processes of headless gateways; the context manager kills them on exit."""

    def __init__(self) -> None:
        self.processes: list[asyncio.subprocess.Process] = []
        self._directory = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> WorkerPool:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kill()
        self._directory.cleanup()

    async def launch(self, configuration: dict[str, Any], gateways: int, processes: int = 1) -> None:
        """Create `gateways` gateways in up to `processes` processes, and wait until all can be started."""
        path = Path(self._directory.name) / "config.json"
        path.write_text(json.dumps(configuration))
        for first in range(min(processes, gateways)):
            numbers = range(first, gateways, processes)
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "scale.headless_worker",
                    str(path),
                    ",".join(map(str, numbers)),
                    cwd=ROOT,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    limit=MAX_LINE_BYTES,
                )
            )
        await self._send_command("spent")

    async def start(self) -> int:
        """Start all gateways; return when (monotonic, ns) the first one was started."""
        started_ns: list[int] = [response["begun_ns"] for response in await self._send_command("start")]
        return min(started_ns)

    async def wait_until_applied(self, generation: int) -> list[int]:
        """Wait until every gateway has applied this generation; return when (monotonic, ns) each did."""
        responses = await self._send_command("await", generation=generation)
        return [at_ns for response in responses for at_ns in response["in_force_ns"]]

    async def read_and_reset_figures(self) -> dict[str, float]:
        """Return the figures since the last call, summed over processes; `hold_ms` is the longest stall."""
        responses = await self._send_command("spent")
        return {
            **{name: sum(response[name] for response in responses) for name in responses[0]},
            "hold_ms": max(response["hold_ms"] for response in responses),
        }

    async def kill(self) -> None:
        """Kill all processes (SIGKILL) and wait for them."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        self.processes.clear()

    async def _send_command(self, name: str, **arguments: Any) -> list[dict[str, Any]]:
        """Send a command to all processes; return the responses.  Raises RuntimeError if one has ended."""
        command = json.dumps({"do": name, **arguments}).encode() + b"\n"
        responses = asyncio.gather(*(self._exchange(process, command) for process in self.processes))
        return list(await asyncio.wait_for(responses, RESPONSE_TIMEOUT_S))

    @staticmethod
    async def _exchange(process: asyncio.subprocess.Process, command: bytes) -> dict[str, Any]:
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(command)
        line = await process.stdout.readline()
        if not line:
            raise RuntimeError("a worker process of headless gateways has ended")
        response: dict[str, Any] = json.loads(line)
        return response
