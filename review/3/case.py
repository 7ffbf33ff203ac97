"""Discovery writes its indented list with a pause of 1 s: the gateway never learns that hosts drain."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    CannotRunError,
    GatewayProcess,
    Record,
    Stage,
    chunk,
    main,
    read_message,
    request,
    trouble,
)

HERE = Path(__file__).resolve().parent
PAUSE_S = 1.0
"""Pause within each first object of a watch: half of the time between two heartbeats."""
COUNTED_AS_NOTIFIED_S = 6.0
DRAIN_GRACE_S = 2.5
SOCKET_SLACK_S = 0.05
HOLD_S = 0.15
"""Allowance for a gateway that is held up, although this case does not hold it up."""
WATCHED_S = 16.0
"""Time after the change for which clients send."""


async def write_in_two_pieces(writer: asyncio.StreamWriter, text: bytes) -> None:
    """Write one object of a watch in two pieces, cut at a line end, with a pause in the middle."""
    cut = text.index(b"\n", len(text) // 2) + 1
    writer.write(chunk(text[:cut]))
    await writer.drain()
    if trouble():
        await asyncio.sleep(PAUSE_S)
    writer.write(chunk(text[cut:]))
    await writer.drain()


async def send_one(gateway: GatewayProcess, record: Record, item: str) -> None:
    reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
    with suppress(TimeoutError, asyncio.IncompleteReadError, OSError):
        writer.write(request(item))
        message = await asyncio.wait_for(read_message(reader), 2.0)
        record.add(f"answer to {item}: {message.status}")
    writer.close()


async def play(stage: Stage) -> int:
    record = stage.record
    hosts = await stage.hosts(6)
    discovery = await stage.discovery(hosts)
    discovery.indent, discovery.history = 2, False
    discovery.first_answer = write_in_two_pieces
    gateway = await stage.gateway(hosts, discovery)
    clients: set[asyncio.Task[None]] = set()
    drained = [hosts[0], hosts[2]]  # two of the three in the gateway's zone
    names, changed_at, number = {host.name for host in drained}, 0.0, 0
    while not changed_at or record.now() < changed_at + WATCHED_S:
        if not changed_at and record.now() > 5.0:
            for host in drained:
                host.lifecycle = "terminating"
            discovery.publish(*(host.entry() for host in drained))
            changed_at = record.now()
        number += 1
        clients.add(asyncio.create_task(send_one(gateway, record, f"c{number}")))
        await asyncio.sleep(0.03)
    await asyncio.gather(*clients)
    arrivals = [arrival for host in hosts for arrival in host.arrivals if host.name in names]
    if not any(arrival.at < changed_at for arrival in arrivals):
        raise CannotRunError("the hosts got no request before they began to drain")
    latest = changed_at + COUNTED_AS_NOTIFIED_S + DRAIN_GRACE_S + SOCKET_SLACK_S + HOLD_S
    late = sorted(arrival for arrival in arrivals if arrival.at > latest)
    record.add(f"calls of discovery: {discovery.calls}; the change was made at {changed_at:.3f}")
    for arrival in late:
        record.add(
            f"{arrival.host} got {arrival.request_id} {arrival.at - changed_at:.3f} s after the change"
        )
    record.add(f"{len(late)} requests went to draining hosts after {latest - changed_at:.2f} s")
    return BROKEN if late else HELD


main(HERE, play)
