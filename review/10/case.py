"""Hosts spoil some answers with a transfer coding that nobody asked for: clients get it as the body."""

from __future__ import annotations

import asyncio
import gzip
from pathlib import Path

from standins import TROUBLE, Client, Gateway, HostConnection, Message, Stage, play, request_bytes, settings

HOSTS = 6
REQUESTS = 400
RATE = 50.0
SPOILT_EACH = 20
"""One answer in this many is spoilt."""


def body_of(request_id: str) -> bytes:
    return b"made for " + request_id.encode() + b" " + b"sound " * 40


async def play_client(stage: Stage, gateway: Gateway, request_id: str) -> list[str]:
    """Send one request; an error is an ordinary end of it, a 200 has to carry the host's body."""
    client = await Client.connect(gateway, stage.record)
    client.send(request_bytes("preview", request_id, 500), request_id)
    try:
        answer = await asyncio.wait_for(client.receive(request_id), 2.0)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
        stage.record.add(f"{request_id}: {type(error).__name__}")
        return []
    finally:
        client.close()
    if answer.status == 200 and answer.body != body_of(request_id):
        codings = {name: answer.headers.get(name) for name in ("transfer-encoding", "content-encoding")}
        return [f"{request_id}: 200 with the body {answer.body[:16]!r}..., {codings}"]
    return []


async def script(stage: Stage) -> list[str]:
    served = [0]

    async def serve(connection: HostConnection, message: Message) -> None:
        await asyncio.sleep(0.025)
        served[0] += 1
        body = body_of(message.request_id)
        if not TROUBLE or served[0] % SPOILT_EACH:
            connection.answer(message, 200, body)
            return
        coded = gzip.compress(body)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        connection.transport.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(coded), coded))
        stage.record.add(f"host {connection.host.name} spoils its answer to {message.request_id}")

    await stage.add_hosts(HOSTS, serve)
    discovery = await stage.add_discovery()
    gateway = stage.add_gateway()
    await gateway.start(settings(), discovery)
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(play_client(stage, gateway, f"{number:04x}")))
        await asyncio.sleep(1 / RATE)
    return [text for breaks in await asyncio.gather(*tasks) for text in breaks]


if __name__ == "__main__":
    play(Path(__file__).parent, script)
