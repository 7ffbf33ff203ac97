"""A retry of a keyed request whose connection comes up late reaches its host after the window for repeats."""

from __future__ import annotations

import asyncio
from pathlib import Path

from late_host import LateHost
from standins import (
    MS,
    TROUBLE,
    Client,
    Gateway,
    HostConnection,
    Message,
    Stage,
    licence_request,
    play,
    preview,
    request_bytes,
    settings,
)

HOSTS = 4
WINDOW_S = 1.0
SLACK_S = 0.05 + 0.15
"""Of each time limit on sockets, and for a gateway that is held up between its clock and writing."""
TIMEOUT_MS = 3_000
ROUNDS = 6
QUIET_REQUESTS = 4
"""Undisturbed requests for each disturbed one: of their six connections, one comes up late."""


async def send_one(stage: Stage, gateway: Gateway, request_id: str) -> None:
    client = await Client.connect(gateway, stage.record)
    data = request_bytes("licence-request", request_id, TIMEOUT_MS, key=f"key-{request_id}", body=b"licence")
    client.send(data, request_id)
    await asyncio.wait_for(client.receive(request_id), TIMEOUT_MS / 1000 + 1)
    client.close()


def breaks_of(stage: Stage) -> list[str]:
    """Judge the attempts of each request, as its hosts got them."""
    arrivals: dict[str, list[tuple[float, str]]] = {}
    for host in stage.hosts:
        for message in host.arrivals:
            arrivals.setdefault(message.request_id, []).append((message.at, host.name))
    breaks = []
    for request_id, attempts in arrivals.items():
        first, *later = sorted(attempts)
        breaks += [
            f"{request_id}: sent to {first[1]}, which ran it, and to {name} {(at - first[0]) * 1000:.0f} ms"
            f" later; the window is {WINDOW_S * 1000:.0f} ms"
            for at, name in later
            if at - first[0] > WINDOW_S + SLACK_S
        ]
    return breaks


async def script(stage: Stage) -> list[str]:
    failing: set[str] = set()
    seen: set[str] = set()
    hosts: list[LateHost] = []

    async def serve(connection: HostConnection, message: Message) -> None:
        await asyncio.sleep(0.03)
        if message.request_id in failing and message.request_id not in seen:
            seen.add(message.request_id)  # it has run, and its host reports an error
            connection.answer(message, 500, b"error", "Connection: close\r\n")
            if TROUBLE:
                for host in hosts:
                    host.hold()
                stage.record.add("new connections to the hosts come up late")
        else:
            connection.answer(
                message, 200, b"made for " + message.request_id.encode(), "Connection: close\r\n"
            )
        connection.transport.close()

    for index in range(HOSTS):
        host = LateHost(f"s-{index:04x}", "zona-uno", index, stage.record, serve)
        await host.start()
        hosts.append(host)
        stage.hosts.append(host)
    discovery = await stage.add_discovery()
    gateway = stage.add_gateway()
    licence = licence_request(
        **{
            "give-up-ns": TIMEOUT_MS * MS,
            "slo-ns": 800 * MS,
            "late-value": 0.5,
            "window-ns": int(WINDOW_S * 1000) * MS,
        }
    )
    values = settings(**{"request-classes": [preview(), licence]})
    values["caps"]["dial-timeout-ns"] = 1_500 * MS
    await gateway.start(values, discovery)
    for number in range(ROUNDS):
        for quiet in range(QUIET_REQUESTS):
            await send_one(stage, gateway, f"quiet-{number}-{quiet}")
        request_id = f"error-{number}"
        failing.add(request_id)
        disturbed = asyncio.create_task(send_one(stage, gateway, request_id))
        await asyncio.sleep(1.2)
        for host in hosts:
            host.release()
        await disturbed
        await asyncio.sleep(1.2)  # for the connections that still wait
        for host in hosts:
            host.drop_fillers()
    return breaks_of(stage)


if __name__ == "__main__":
    play(Path(__file__).parent, script)
