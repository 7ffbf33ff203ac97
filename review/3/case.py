"""Some answers of the hosts have a trailer that never ends: the gateways answer nobody for a while."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

from standins import BROKEN, HELD, SETTINGS, CannotRunError, Host, Stage, main, trouble
from traffic import Traffic

HERE = Path(__file__).resolve().parent
HOSTS = 6
EVERY = 5
"""Each answer of this number, counted over all hosts, is spoilt."""
SOCKETS, MEMORY_MB = 384, 80
"""Limits of a gateway, those of the reports in REPORTS-cedarferry.md."""
CLIENTS = 25
"""Clients of each gateway; with the pauses between their requests they send about 90 requests a second."""
CALM_S, PLAY_S = 3.0, 12.0


async def start_hosts() -> tuple[asyncio.subprocess.Process, list[str]]:
    """Start the hosts in a process of their own, and return it with their addresses."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        str(HERE.parent / "lib" / "spoilt_hosts.py"),
        *(str(HOSTS), str(EVERY)),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        addresses = (await asyncio.wait_for(process.stdout.readline(), 10)).decode().split()
        if len(addresses) == HOSTS:
            return process, addresses
    except TimeoutError:
        process.kill()
    await process.wait()
    raise CannotRunError("the hosts did not start")


async def play(stage: Stage) -> int:
    record = stage.record
    process, addresses = await start_hosts()
    try:
        hosts = []
        for number, address in enumerate(addresses):
            host = Host(record, f"s-{number}", SETTINGS["zones"][number % 2])
            host.address = address
            hosts.append(host)
        discovery = await stage.discovery(hosts)
        gateways = [await stage.gateway(hosts, discovery, SOCKETS, memory_mb=MEMORY_MB) for _ in range(2)]
        traffic = Traffic(record)
        traffic.start(gateways, CLIENTS)
        await asyncio.sleep(CALM_S)
        if trouble():
            record.add(f"from now on, each {EVERY}th answer of the hosts is spoilt")
            process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(PLAY_S)
        await traffic.end()
    finally:
        with suppress(ProcessLookupError):  # they have ended by themselves
            process.terminate()
        output, _ = await process.communicate()
        record.add("hosts: " + output.decode().strip())
    if process.returncode:
        raise CannotRunError("the hosts failed")
    lost = traffic.lost()
    return BROKEN if stage.exceeds_memory() or lost else HELD


main(HERE, play)
