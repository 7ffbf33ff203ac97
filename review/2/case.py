"""Many requests at once on one connection: the gateway reads all of them and answers only the first nine."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from standins import (
    BROKEN,
    HELD,
    GatewayProcess,
    Message,
    Record,
    Stage,
    main,
    read_message,
    request,
    trouble,
)

HERE = Path(__file__).resolve().parent
CLIENTS = 70
"""Client connections at a time: under a third of the 256 descriptors, which is 85."""
AT_ONCE = 12
ROUNDS = 4
SILENCE_S = 3.0
"""Time after the last answer in which a further one is awaited: six times the time of a request."""


class Ending(NamedTuple):
    """How a connection of a client ended, as the client's socket shows it."""

    answers: list[Message]
    is_closed: bool
    """Whether the gateway has closed it, with FIN or with a reset."""
    was_reset: bool
    """Whether a reset came: a close over bytes that the gateway has not read causes one."""


async def connect(gateway: GatewayProcess) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(gateway.host, gateway.port)


async def send_at_once(gateway: GatewayProcess, record: Record, ids: list[str]) -> Ending:
    """Send all requests in one write on one connection, and read until the gateway ends it."""
    reader, writer = await connect(gateway)
    await asyncio.sleep(0.05)
    data = b"".join(request(item) for item in ids)
    writer.write(data)
    record.add(f"client sends {len(ids)} requests in one write of {len(data)} bytes: {ids[0]} to {ids[-1]}")
    answers: list[Message] = []
    is_closed = was_reset = False
    try:
        while len(answers) < len(ids):
            answers.append(await asyncio.wait_for(read_message(reader), SILENCE_S))
    except (TimeoutError, asyncio.IncompleteReadError):
        is_closed = reader.at_eof()
    except ConnectionResetError:
        is_closed = was_reset = True
    if is_closed and not was_reset:
        # The gateway closes its socket some time after its FIN; bytes unread until then cause a reset.
        await asyncio.sleep(2.0)
        sock = writer.get_extra_info("socket")
        was_reset = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    writer.close()
    return Ending(answers, is_closed, was_reset)


async def send_one_by_one(gateway: GatewayProcess, record: Record, ids: list[str]) -> Ending:
    """Send the same requests one at a time, on a new connection after each `Connection: close`."""
    answers: list[Message] = []
    reader, writer = await connect(gateway)
    for item in ids:
        record.add(f"client sends {item}")
        writer.write(request(item))
        answers.append(await asyncio.wait_for(read_message(reader), SILENCE_S))
        if answers[-1].headers.get("connection") == "close":
            writer.close()
            reader, writer = await connect(gateway)
    writer.close()
    return Ending(answers, False, False)


async def other_client(gateway: GatewayProcess, record: Record, item: str, delay_s: float) -> None:
    """Connect and send one request some time later; what becomes of it is recorded and not judged."""
    reader, writer = await connect(gateway)
    await asyncio.sleep(delay_s)
    writer.write(request(item))
    with suppress(TimeoutError, asyncio.IncompleteReadError, OSError):
        message = await asyncio.wait_for(read_message(reader), SILENCE_S)
        record.add(f"answer to {item}: {message.status}")
        writer.close()
        return
    record.add(f"no answer to {item}")


async def play(stage: Stage) -> int:
    record = stage.record
    hosts = await stage.hosts(6)
    discovery = await stage.discovery(hosts)
    gateway = await stage.gateway(hosts, discovery)
    await asyncio.sleep(1.5)
    lost = 0
    for number in range(ROUNDS):
        others = [
            asyncio.create_task(other_client(gateway, record, f"c{number}-{index}", 0.3 + index / CLIENTS))
            for index in range(CLIENTS - 1)
        ]
        await asyncio.sleep(0.1)
        ids = [f"p{number}-{index}" for index in range(AT_ONCE)]
        send = send_at_once if trouble() else send_one_by_one
        ending = await send(gateway, record, ids)
        for item, answer in zip(ids, ending.answers, strict=False):
            record.add(f"answer to {item}: {answer.status} connection={answer.headers.get('connection')}")
        missing = ids[len(ending.answers) :]
        ran = {arrival.request_id for host in hosts for arrival in host.arrivals}
        if missing:
            record.add(
                f"no answer to {', '.join(missing)}; closed={ending.is_closed} reset={ending.was_reset} "
                f"run by a host: {sorted(ran & set(missing))}"
            )
        if not ending.was_reset:  # after a reset the requests may be unread, and the client sends them again
            lost += len(missing)
        await asyncio.gather(*others)
    record.add(f"{lost} requests were read by the gateway and got no answer")
    return BROKEN if lost else HELD


main(HERE, play)
