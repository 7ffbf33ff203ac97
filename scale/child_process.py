"""Starts modules of this package as child processes."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from . import ROOT

__all__ = ["module_process", "read_json_line"]

MAX_LINE_BYTES = 1 << 26
"""Maximum length of a line that a child process writes."""


@asynccontextmanager
async def module_process(module: str, *arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run `python -m MODULE ARGUMENTS`, standard input and output piped; kill it at the end of the block."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def read_json_line(process: asyncio.subprocess.Process) -> Any:
    """Read and decode the next line of the standard output of a process.

    Raises RuntimeError if the output has ended.
    """
    assert process.stdout is not None
    line = await process.stdout.readline()
    if not line:
        raise RuntimeError("the standard output of a child process has ended")
    return json.loads(line)
