"""Hosts send some answers a second time, 12 ms later: clients get the bodies of other clients' requests."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    Arrival,
    CannotRunError,
    GatewayProcess,
    Host,
    Record,
    Stage,
    main,
    read_message,
    request,
    trouble,
)

HERE = Path(__file__).resolve().parent
SECOND_AFTER_S = 0.012
LATEST_SECOND_S = 0.014
"""A second answer is left out if this process could send it only later than this."""
SECOND_SHARE = 0.05
CLIENTS = 15
CLIENT_RATE = 10.0
"""Requests of one client per second of its rests."""
SECONDS = 25.0


class SecondAnswerHost(Host):
    """A host that sends one answer in twenty a second time, on the same connection."""

    seconds = 0

    async def answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s * random.uniform(0.5, 1.5))
        writer.write(self.served(arrival))
        if trouble() and random.random() < SECOND_SHARE:
            now = time.monotonic()
            asyncio.get_running_loop().call_later(SECOND_AFTER_S, self._send_again, arrival, writer, now)
        await writer.drain()

    def _send_again(self, arrival: Arrival, writer: asyncio.StreamWriter, first_at: float) -> None:
        after_s = time.monotonic() - first_at
        if after_s > LATEST_SECOND_S or writer.is_closing():
            return
        writer.write(self.served(arrival))
        SecondAnswerHost.seconds += 1
        self.record.add(
            f"host {self.name} sends its answer to {arrival.request_id} again after {after_s:.4f} s"
        )


class Tally:
    """What the clients have got."""

    def __init__(self) -> None:
        self.served = 0
        self.foreign = 0


async def client(gateway: GatewayProcess, record: Record, name: str, tally: Tally) -> None:
    """Send one request at a time, each with an id of its own, and compare the body of each answer."""
    ends_at, number = record.now() + SECONDS, 0
    while record.now() < ends_at:
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
            keeps_alive = True
            while keeps_alive and record.now() < ends_at:
                await asyncio.sleep(random.expovariate(CLIENT_RATE))
                item, number = f"{name}-{number}", number + 1
                writer.write(random.choice((request(item), request(item, "licence-request", 1000))))
                message = await asyncio.wait_for(read_message(reader), 2.0)
                keeps_alive = message.headers.get("connection") != "close"
                body = message.body.decode()
                if message.status == 200:
                    tally.served += 1
                    if body.split()[-1] != item:
                        tally.foreign += 1
                        record.add(f"FOREIGN: the answer to {item} is 200 with the body {body!r}")
                record.add(f"answer to {item}: {message.status} {body.strip()!r}")
            writer.close()


async def play(stage: Stage) -> int:
    record = stage.record
    hosts = await stage.hosts(6, 0.02, SecondAnswerHost)
    discovery = await stage.discovery(hosts)
    gateway = await stage.gateway(hosts, discovery)
    await asyncio.sleep(1.5)
    tally = Tally()
    await asyncio.gather(*(client(gateway, record, f"c{index}", tally) for index in range(CLIENTS)))
    if tally.served < 500 or (trouble() and SecondAnswerHost.seconds < 20):
        raise CannotRunError(f"only {tally.served} served, {SecondAnswerHost.seconds} second answers")
    record.add(f"{SecondAnswerHost.seconds} second answers; {tally.served} requests answered with 200")
    record.add(f"{tally.foreign} requests were served with the body of another request")
    return BROKEN if tally.foreign else HELD


main(HERE, play)
