"""Licence requests that offer an upgrade to HTTP/2 lose their bodies on the way to a host."""

from __future__ import annotations

import asyncio
from hashlib import sha256
from pathlib import Path

from standins import (
    TROUBLE,
    Client,
    Gateway,
    HostConnection,
    Message,
    NotRunError,
    Stage,
    play,
    request_bytes,
    settings,
)

HOSTS = 4
CLIENTS = 4
ROUNDS = 40
OFFERING_CLIENTS = 1
"""Clients that offer the upgrade, of all `CLIENTS`."""
TIMEOUT_MS = 1_000
OFFER_LINES = (
    b"Connection: Upgrade, HTTP2-Settings",
    b"Upgrade: h2c",
    b"HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAA",
)
"""What a client adds that would go on with HTTP/2 if the server did (RFC 7540, 3.2)."""


def made_for(request_id: str, body: bytes) -> bytes:
    """Return the answer that a host makes: it depends on the body that it got."""
    return f"made for {request_id} of {len(body)} bytes {sha256(body).hexdigest()[:16]}".encode()


def licence(request_id: str, body: bytes, offers: bool) -> bytes:
    data = request_bytes("licence-request", request_id, TIMEOUT_MS, key=f"key-{request_id}", body=body)
    if not offers:
        return data
    return data.replace(b"\r\n\r\n", b"".join(b"\r\n" + line for line in OFFER_LINES) + b"\r\n\r\n", 1)


async def play_request(
    stage: Stage, gateway: Gateway, request_id: str, offers: bool, served: list[str]
) -> list[str]:
    """Send a licence request on a new connection; return how a rule was broken.

    The ids of correctly served requests are appended to `served`.
    """
    body = f'{{"work":"son {request_id}","use":"broadcast","days":30}}'.encode()
    client = await Client.connect(gateway, stage.record)
    data = licence(request_id, body, offers)
    stage.record.add(f"client sends {data!r}")
    client.send(data, request_id)
    try:
        answer = await asyncio.wait_for(client.receive(request_id), TIMEOUT_MS / 1000 + 0.5)
        status, is_foreign = answer.status, answer.body != made_for(request_id, body)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
        # An error or a close is what a peer is owed whose request counts as improper; not judged here.
        stage.record.add(f"{request_id}: no answer ({type(error).__name__})")
        status, is_foreign = 0, False
    client.close()
    breaks = [
        f"{request_id}: sent {len(body)} bytes, {host.name} got {len(message.body)}, answered {status}"
        for host in stage.hosts
        for message in host.arrivals
        if message.request_id == request_id and message.body != body
    ]
    if status == 200 and is_foreign:
        breaks.append(f"{request_id}: answered 200 with what no host made for the request that was sent")
    if status == 200 and not breaks:
        served.append(request_id)
    return breaks


async def script(stage: Stage) -> list[str]:
    async def serve(connection: HostConnection, message: Message) -> None:
        stage.record.add(f"host {connection.host.name} runs {message.request_id}, body {message.body!r}")
        await asyncio.sleep(0.03)
        connection.answer(message, 200, made_for(message.request_id, message.body))

    await stage.add_hosts(HOSTS, serve)
    discovery = await stage.add_discovery()
    gateway = stage.add_gateway()
    await gateway.start(settings(), discovery)
    breaks = []
    served: list[str] = []
    for number in range(ROUNDS):
        requests = [
            play_request(
                stage,
                gateway,
                f"{number:02x}-{client:x}",
                offers=TROUBLE and client < OFFERING_CLIENTS,
                served=served,
            )
            for client in range(CLIENTS)
        ]
        breaks += [text for texts in await asyncio.gather(*requests) for text in texts]
    if len(served) < ROUNDS * (CLIENTS - OFFERING_CLIENTS) // 2:
        raise NotRunError(f"only {len(served)} requests were served")
    return breaks


if __name__ == "__main__":
    play(Path(__file__).parent, script)
