"""Starts the gateway as a separate process."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path

import psutil

from . import ROOT

__all__ = ["MODULE_COMMAND", "GatewayProcess", "deployed_command"]

MODULE_COMMAND = (sys.executable, "-m", "gateway")
"""Command that starts the gateway as a module, with Python's default bytecode cache."""

START_TIMEOUT_S = 60.0
"""Maximum time from the start until the gateway listens, seconds."""
LISTENING_TEXT = "listening on"
"""Text that precedes the address at the end of a log line."""
READ_SIZE_BYTES = 65_536


def deployed_command() -> tuple[str, ...]:
    """Return the `run` command of deploy/balancer.toml, with the current Python interpreter."""
    run: str = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    return "/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))


class GatewayProcess:
    """A gateway process with its configuration in a file; it may be restarted after it has ended."""

    def __init__(self, command: Sequence[str], configuration: Path) -> None:
        self._command = command
        self._configuration = configuration
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self.address = ("", 0)
        """Host and port at which the gateway listens, once it is started."""

    async def start(self) -> None:
        """Start the process and wait until it listens.  Raises RuntimeError if it ends before that."""
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env={**environ, "EDGE_CONFIG": str(self._configuration)},
        )
        assert self._process.stderr is not None
        self.address = await asyncio.wait_for(_read_address(self._process.stderr), START_TIMEOUT_S)
        self._log_reader = asyncio.create_task(_discard_log(self._process.stderr))

    @property
    def returncode(self) -> int | None:
        """Exit code of the process; None while it runs."""
        assert self._process is not None
        return self._process.returncode

    @property
    def psutil_process(self) -> psutil.Process:
        """Process handle of psutil, for CPU time and memory."""
        assert self._process is not None
        return psutil.Process(self._process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it is running, and wait until its log is read."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        if self._log_reader is not None:
            await self._log_reader


async def _read_address(log: asyncio.StreamReader) -> tuple[str, int]:
    """Read host and port of the gateway from its log.  Raises RuntimeError if the log ends without them."""
    lines = []
    async for line in log:
        lines.append(line.decode())
        if LISTENING_TEXT in lines[-1]:
            host, _, port = lines[-1].split()[-1].rpartition(":")
            return host, int(port)
    raise RuntimeError(f"the gateway ended before it listened: {''.join(lines)}")


async def _discard_log(log: asyncio.StreamReader) -> None:
    """Read and discard the log to its end, as the gateway would block on a full pipe."""
    while await log.read(READ_SIZE_BYTES):
        pass
