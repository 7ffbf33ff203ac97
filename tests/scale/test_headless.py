"""Lifetime of the worker processes of headless gateways."""

from __future__ import annotations

from scale.fleet import make_configuration
from scale.headless_pool import WorkerPool

from .fleets import make_fleet


async def test_worker_exits_when_its_stdin_closes_even_while_it_awaits_a_generation() -> None:
    async with WorkerPool() as pool:
        await pool.launch(make_configuration(make_fleet(), 1), 1)
        [process] = pool.processes
        assert process.stdin is not None
        process.stdin.write(b'{"do": "await", "generation": 2}\n')  # this generation is never published
        process.stdin.close()
        assert await process.wait() == 0
