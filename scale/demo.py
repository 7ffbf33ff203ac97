"""`python -m scale.demo`: sends one request through a real gateway process to a fake endpoint.

The fake discovery server and the only endpoint run in this process.  The gateway runs in a process of its
own, started by the `run` command of deploy/balancer.toml.  All of them listen on free loopback ports and end
with the demo.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from scale import ROOT
from scale.backend import FakeEndpoints
from scale.fleet import Fleet, make_configuration
from scale.gateway_process import deployed_command
from scale.registry import FakeDiscoveryServer

RESPONSE_TIMEOUT_S = 14.0
"""Maximum time until the response, seconds; including the shutdown the demo takes less than 20."""
SHUTDOWN_TIMEOUT_S = 5.0
"""Maximum duration of the gateway's graceful shutdown, seconds; after that the process is killed."""
POLL_INTERVAL_S = 0.05
"""Interval of the gateway's readiness checks, seconds."""
REQUEST_TIMEOUT_MS = 3000
"""Timeout of the request, milliseconds; long enough for a busy machine."""
REQUEST_ID = "demo-1"

REQUEST = (
    "GET /read/hello HTTP/1.1\r\n"
    "Host: demo\r\n"
    f"X-Request-ID: {REQUEST_ID}\r\n"
    "X-Priority-Class: read\r\n"
    "X-Tenant-Id: tenant-0\r\n"
    f"X-Timeout-Ms: {REQUEST_TIMEOUT_MS}\r\n"
    "Connection: close\r\n"
    "\r\n"
)
READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n"


class DemoError(Exception):
    """The request was not served with status 200, or the gateway ended early."""


def write_config(path: Path, discovery: FakeDiscoveryServer, fleet: Fleet) -> dict[str, str]:
    """Write the gateway's configuration file; return the gateway's environment variables."""
    configuration = make_configuration(fleet, gateways=1, discovery=discovery.address)
    for request_class in configuration["settings"]["request-classes"]:
        request_class["give-up-ns"] = REQUEST_TIMEOUT_MS * 1_000_000
    path.write_text(json.dumps(configuration))
    return {
        "EDGE_NAME": configuration["name"],
        "EDGE_LISTEN": configuration["listen"],
        "EDGE_DISCOVERY": configuration["discovery"],
        "EDGE_CONFIG": str(path),
        "EDGE_TRACE": "all",
    }


@asynccontextmanager
async def running_gateway(environment: dict[str, str]) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a gateway process with its log on a pipe; shut it down at the end of the block."""
    process = await asyncio.create_subprocess_exec(
        *deployed_command(),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, **environment},
    )
    try:
        yield process
    finally:
        await _shut_down(process)


async def _shut_down(process: asyncio.subprocess.Process) -> None:
    with suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), SHUTDOWN_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def read_log_until(log: asyncio.StreamReader, text: str) -> str:
    """Return the first log line that contains `text`.  Raises DemoError if the log ends without one."""
    line = ""
    async for data in log:
        line = data.decode().rstrip()
        if text in line:
            return line
    raise DemoError(f"the gateway has ended: {line or 'it has logged nothing'}")


async def exchange(address: str, request: str) -> str:
    """Send one request on a new connection; return the response as text."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request.encode())
        return (await reader.read()).decode()
    finally:
        writer.close()


async def wait_until_ready(address: str) -> str:
    """Check readiness until it succeeds; return the status line of that response."""
    while True:
        status_line = (await exchange(address, READINESS_REQUEST)).partition("\r\n")[0]
        if " 200 " in status_line:
            return status_line
        await asyncio.sleep(POLL_INTERVAL_S)


async def show_request(process: asyncio.subprocess.Process) -> None:
    """Send the request; print request, response and trace.  Raises DemoError if it is not served."""
    assert process.stderr is not None
    address = (await read_log_until(process.stderr, "listening on")).split()[-1]
    print(f"gateway: process {process.pid} listens on {address}")
    print(f"readiness: GET /health/ready -> {await wait_until_ready(address)}")
    print(f"\nrequest:\n{_indent(REQUEST)}")
    response = await exchange(address, REQUEST)
    print(f"\nresponse:\n{_indent(response)}")
    if not response.startswith("HTTP/1.1 200 "):
        raise DemoError(f"the response is {response.partition(chr(13))[0] or 'missing'}")
    print(f"\nlog:\n{_indent(await read_log_until(process.stderr, f'request id={REQUEST_ID}'))}")


def _indent(text: str) -> str:
    return "\n".join(f"    {line}" for line in text.strip().splitlines())


async def run_demo() -> None:
    """Start all servers, send and print one request, stop all servers.  Raises DemoError or OSError."""
    fake_endpoints = FakeEndpoints(seed=1, mean_s=0.01, columns=("utilization", "outstanding"))
    addresses = await fake_endpoints.start(1)
    try:
        fleet = Fleet(1, 1, 1, lambda number: addresses[number % len(addresses)])
        discovery = await FakeDiscoveryServer(fleet.rows.values()).start()
        try:
            with tempfile.TemporaryDirectory() as directory:
                environment = write_config(Path(directory) / "config.json", discovery, fleet)
                async with running_gateway(environment) as process, asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await show_request(process)
        finally:
            await discovery.close()
    finally:
        fake_endpoints.close()


def main() -> int:
    """Run the demo; return 0 if the request was served, else 1 with one line on standard error."""
    try:
        asyncio.run(run_demo())
    except TimeoutError:
        print(f"demo: no response within {RESPONSE_TIMEOUT_S:.0f} s", file=sys.stderr)
        return 1
    except (DemoError, OSError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
