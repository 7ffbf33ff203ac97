"""Gateway processes for tests: configure them, start them, connect to them and kill them."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.support.loopback import SETTINGS, Client, FakeDiscovery, FakeEndpoint

ROOT = Path(__file__).parent.parent.parent
COMMAND = [sys.executable, "-B", "-m", "gateway"]

_started: list[asyncio.subprocess.Process] = []


def kill_started_gateways() -> None:
    """Kill the gateways that a test left running, as later tests may be given the same ports."""
    for process in _started:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
    _started.clear()


def write_config(path: Path, discovery: FakeDiscovery, *endpoints: FakeEndpoint) -> dict[str, Any]:
    """Write a configuration file with these endpoints in its cached list; return its content."""
    config = {
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "7",
        "settings": SETTINGS,
        "known": {
            "generation": 41,
            "reset": True,
            "instances": [endpoint.make_entry() for endpoint in endpoints],
        },
    }
    path.write_text(json.dumps(config))
    return config


async def start_gateway(
    path: Path, max_descriptors: int = 0, command: Sequence[str] = COMMAND, **environment: str
) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
    """Start a gateway; return its process and its address, which it logs once it listens.

    `max_descriptors` limits the file descriptors of the process; 0 leaves the limit as inherited.  `command`
    is the program and its arguments.
    """

    def limit_descriptors() -> None:
        if max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
        env={**os.environ, "EDGE_CONFIG": str(path), **environment},
    )
    _started.append(process)
    assert process.stderr is not None
    while True:
        line = (await process.stderr.readline()).decode()
        assert line, "the gateway exited before it listened"
        if "listening on" in line:
            host, _, port = line.split()[-1].rpartition(":")
            return process, (host, int(port))


async def connect(address: tuple[str, int]) -> Client:
    """Open a new connection to a gateway."""
    return Client(*await asyncio.open_connection(*address))
