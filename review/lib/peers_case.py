"""What cases 1 and 2 share: two gateways with ordinary clients, and peers that send much at one gateway."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import BROKEN, HELD, CannotRunError, Stage, trouble
from traffic import Traffic

HOSTS = 6
SOCKETS, MEMORY_MB = 384, 80
"""Limits of a gateway, those of the reports in REPORTS-cedarferry.md."""
CLIENTS = 25
"""Clients of each gateway; with the pauses between their requests they send about 90 requests a second."""
CALM_S, PLAY_S = 3.0, 8.0
PEERS_S = 18.0
"""Time that stands for that of the peers when there are none."""


async def play_peers(stage: Stage, kind: str, peers: int, together: int, bytes_each: int) -> int:
    """Play the case; the peers connect to gateway n0 only, `together` of them at a time."""
    record = stage.record
    hosts = await stage.hosts(HOSTS)
    discovery = await stage.discovery(hosts)
    gateways = [await stage.gateway(hosts, discovery, SOCKETS, memory_mb=MEMORY_MB) for _ in range(2)]
    traffic = Traffic(record)
    traffic.start(gateways, CLIENTS)
    await asyncio.sleep(CALM_S)
    if trouble():
        record.add(
            f"{peers} peers begin to connect to n0, {together} at a time, to send {bytes_each} bytes each"
        )
        await _run_peers(stage, peers, gateways[0].host, gateways[0].port, kind, peers, together, bytes_each)
    else:
        await asyncio.sleep(PEERS_S)
    await asyncio.sleep(PLAY_S)
    await traffic.end()
    lost = traffic.lost()
    return BROKEN if stage.exceeds_memory() or lost else HELD


async def _run_peers(stage: Stage, peers: int, *arguments: object) -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        str(Path(__file__).resolve().parent / "peers.py"),
        *map(str, arguments),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await asyncio.wait_for(process.communicate(), 45)
    except TimeoutError:
        raise CannotRunError("the peers did not end") from None
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    lines = output.decode().splitlines()
    if process.returncode or len(lines) != peers:
        raise CannotRunError("the peers failed")
    for line in lines:
        stage.record.add(line)
