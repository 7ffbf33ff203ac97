"""Tests of the gateway as a process: invalid configuration, signals, exhaustion of descriptors."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.loopback import CLOSING_RESPONSE, FakeDiscovery, FakeEndpoint, request
from tests.support.processes import COMMAND, ROOT, connect, start_gateway, write_config

HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{",
        "[]",
        "{}",
        '{"listen": "x", "discovery": "127.0.0.1:1"}',
        '{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": 7}',
        '{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": {"sockets": 1e999}}',
    ],
)
def test_a_bad_configuration_is_reported_on_one_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = subprocess.run(
        COMMAND,
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        capture_output=True,
        timeout=20,
        text=True,
        check=False,
    )
    assert (process.returncode, process.stdout, process.stderr.count("\n")) == (2, "", 1)
    assert process.stderr.startswith("gateway: EDGE_CONFIG: ")


async def test_after_sigterm_open_and_new_requests_are_served(tmp_path: Path) -> None:
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    idle, busy = await connect(address), await connect(address)
    assert (await idle.exchange(HEALTH_CHECK))[0] == 200
    busy.send(request())
    received = await endpoint.received.get()
    process.send_signal(signal.SIGTERM)
    assert await idle.reader.read() == b""  # closed, as it carried only health checks
    late = await connect(address)  # new connections are still accepted for a while
    status, headers, _ = await late.exchange(HEALTH_CHECK)
    assert (status, headers["connection"]) == (503, "close")
    received.reply(CLOSING_RESPONSE)
    assert (await busy.read_response())[0] == 200
    busy.send(request(request_id="r2"))  # open connections are still served
    (await endpoint.received.get()).reply()
    assert (await busy.read_response())[0] == 200
    assert await busy.reader.read() == b""  # and finally closed
    late.writer.close()
    assert await process.wait() == 0


async def test_sigterm_during_sighup_leaves_each_request_exactly_one_response(
    tmp_path: Path,
) -> None:
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    config = write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    sent, waiting, later = [await connect(address) for _ in range(3)]
    sent.send(request(request_id="sent"))
    received = await endpoint.received.get()
    waiting.send(request(request_id="waiting"))  # the one endpoint is busy
    assert (await later.exchange(HEALTH_CHECK))[0] == 200
    (tmp_path / "c").write_text(json.dumps({**config, "limits": {"sockets": 1e999}}))
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)  # an invalid file both before and after SIGTERM
    process.send_signal(signal.SIGTERM)
    while (await (await connect(address)).exchange(HEALTH_CHECK))[
        0
    ] != 503:  # the signals are handled asynchronously
        pass
    sent.writer.write(request(request_id="next"))  # pipelined, before the first response
    received.reply(CLOSING_RESPONSE)
    assert (await sent.read_response())[::2] == (200, b"done")
    forwarded = []
    for _ in range(2):
        received = await endpoint.received.get()
        forwarded.append(received.headers["x-request-id"])
        received.reply(CLOSING_RESPONSE)
    assert sorted(forwarded) == ["next", "waiting"]
    assert (await waiting.read_response())[::2] == (200, b"done")
    assert (await sent.read_response())[::2] == (200, b"done")
    assert await waiting.reader.read() == await sent.reader.read() == b""  # one response each
    assert await process.wait() == 0
    assert endpoint.received.empty()


async def test_the_last_response_in_a_shutdown_closes_its_connection(tmp_path: Path) -> None:
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    first, second = await connect(address), await connect(address)
    process.send_signal(signal.SIGTERM)
    while (await (await connect(address)).exchange(HEALTH_CHECK))[
        0
    ] != 503:  # the signal is handled asynchronously
        pass
    first.send(request())
    (await endpoint.received.get()).reply(CLOSING_RESPONSE)
    assert (await first.read_response())[0] == 200
    second.send(request(request_id="r2"))
    received = await endpoint.received.get()
    assert await first.reader.read() == b""  # the draining phase has begun
    received.reply()
    status, headers, _ = await second.read_response()
    assert (status, headers["connection"]) == (200, "close")
    second.writer.close()
    assert await process.wait() == 0


@pytest.mark.parametrize("moment", ["exit", "teardown"])
async def test_a_signal_to_a_process_that_is_ending_does_not_change_its_status(
    moment: str, tmp_path: Path
) -> None:
    """Issue 38: a gateway that had ended after SIGTERM was killed by a SIGHUP in its last milliseconds."""
    discovery = await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery)
    command = [sys.executable, "-B", "-m", "tests.support.exit_signals", moment]
    process, _ = await start_gateway(tmp_path / "c", command=command)
    process.send_signal(signal.SIGTERM)
    assert process.stderr is not None
    log = (await process.stderr.read()).decode()
    assert await process.wait() == 0
    assert {"SIGHUP", "SIGTERM", "SIGINT"} == {
        line.split()[1] for line in log.splitlines() if line.startswith("sent ")
    }


async def test_sighup_changes_the_discovery_address_and_an_invalid_file_changes_nothing(
    tmp_path: Path,
) -> None:
    endpoint = await FakeEndpoint(reply=None).start()
    first, second, third = [await FakeDiscovery().start() for _ in range(3)]
    config = write_config(tmp_path / "c", first, endpoint)
    process, address = await start_gateway(tmp_path / "c", EDGE_DISCOVERY=first.address)
    await first.calls.get()
    (tmp_path / "c").write_text("{")
    process.send_signal(signal.SIGHUP)
    assert process.stderr is not None
    while b"keeping the current configuration" not in (line := await process.stderr.readline()):
        assert line, "the process has ended"
    (tmp_path / "c").write_text(json.dumps({**config, "discovery": second.address}))
    process.send_signal(signal.SIGHUP)  # on a reload the file takes precedence over EDGE_DISCOVERY
    await second.calls.get()
    client = await connect(address)
    client.send(request())
    received = await endpoint.received.get()
    process.send_signal(signal.SIGTERM)
    (tmp_path / "c").write_text(json.dumps({**config, "discovery": third.address}))
    process.send_signal(signal.SIGHUP)  # also during a shutdown
    await third.calls.get()
    received.reply()
    assert (await client.read_response())[0] == 200
    assert await process.wait() == 0


async def test_a_restarted_gateway_can_listen_at_once(tmp_path: Path) -> None:
    endpoint, discovery = await FakeEndpoint(reply=None).start(), await FakeDiscovery().start()
    config = write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c")
    busy = await connect(address)
    busy.send(request())
    await endpoint.received.get()
    process.kill()
    await process.wait()
    (tmp_path / "c").write_text(json.dumps({**config, "listen": f"{address[0]}:{address[1]}"}))
    process, new_address = await start_gateway(tmp_path / "c")
    assert new_address == address
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_a_gateway_without_descriptors_serves_again_later(tmp_path: Path) -> None:
    endpoint, discovery = await FakeEndpoint().start(), await FakeDiscovery().start()
    write_config(tmp_path / "c", discovery, endpoint)
    process, address = await start_gateway(tmp_path / "c", max_descriptors=40)
    clients = [await connect(address) for _ in range(80)]
    for client in clients:
        client.writer.close()
    while True:  # until the gateway has detected the closed connections
        client = await connect(address)
        try:
            if (await client.exchange(request()))[0] == 200:
                break
        except (OSError, asyncio.IncompleteReadError):
            pass  # closed because no descriptor was free
        client.writer.close()
    assert process.returncode is None
    process.send_signal(signal.SIGTERM)
    client.writer.close()
    assert await process.wait() == 0


@pytest.mark.parametrize("data", [b"", HEALTH_CHECK, request()[:-2]], ids=["silent", "health", "half"])
async def test_idle_clients_leave_descriptors_for_discovery_and_endpoints(
    data: bytes, tmp_path: Path
) -> None:
    """Clients use all their descriptors while discovery is down, and keep them once it is back."""

    async def reconnect(address: tuple[str, int], closed: asyncio.Event) -> None:
        while True:  # reconnects whenever the gateway closes the connection
            try:
                client = await connect(address)
                client.send(data)
                await client.reader.read()
                client.writer.close()
                closed.set()
            except OSError:
                pass
            await asyncio.sleep(0.1)

    endpoint, discovery = await FakeEndpoint().start(), FakeDiscovery()
    discovery_socket = socket.socket()
    discovery_socket.bind(("127.0.0.1", 0))  # bound, but not listening yet
    discovery.address = f"127.0.0.1:{discovery_socket.getsockname()[1]}"
    config = write_config(tmp_path / "c", discovery)
    (tmp_path / "c").write_text(json.dumps({**config, "limits": {"sockets": 96}}))
    process, address = await start_gateway(tmp_path / "c", max_descriptors=96)
    closed = asyncio.Event()
    clients = [asyncio.create_task(reconnect(address, closed)) for _ in range(100)]
    await closed.wait()
    assert process.stderr is not None
    failures = 0
    while failures < 12:  # discovery cannot be reached; descriptors do not run out
        line = (await process.stderr.readline()).decode()
        if " gateway.stats " in line:  # the summary line, once per second
            continue
        failures += 1
        assert "discovery call failed: connection failed" in line
        assert f"Errno {errno.ECONNREFUSED}" in line
    await discovery.start(discovery_socket)
    _, writer = await discovery.calls.get()
    discovery.start_watch_response(writer)
    discovery.write_watch_event(writer, 42, [endpoint.make_entry()])
    for complete_request in (HEALTH_CHECK, request()):
        while True:
            client = await connect(address)
            try:
                if (await client.exchange(complete_request))[0] == 200:
                    break
            except (OSError, asyncio.IncompleteReadError):
                pass  # the gateway may close new connections
            client.writer.close()
        client.writer.close()
    assert not any(task.done() for task in clients)
    process.kill()
    await process.wait()


async def test_thirty_gateways_that_start_together_are_ready_at_the_first_health_check(
    tmp_path: Path,
) -> None:
    """Each has a cached endpoint list, with which it is ready even though discovery cannot be reached."""
    endpoint, discovery = await FakeEndpoint().start(), FakeDiscovery()
    discovery_socket = socket.socket()
    discovery_socket.bind(("127.0.0.1", 0))  # bound, but not listening
    discovery.address = f"127.0.0.1:{discovery_socket.getsockname()[1]}"
    write_config(tmp_path / "c", discovery, endpoint)
    for process, address in await asyncio.gather(*(start_gateway(tmp_path / "c") for _ in range(30))):
        assert (await (await connect(address)).exchange(HEALTH_CHECK))[0] == 200
        process.kill()
        await process.wait()
    discovery_socket.close()
