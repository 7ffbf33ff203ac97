"""Hosts in a process of their own: sound until SIGUSR1, then every n-th answer has a trailer that never ends.

Arguments: number of hosts, n.  Their addresses are the first line printed.  SIGTERM ends it, and it then
prints how many answers were sound and spoilt, and how many bytes of spoilt ones were written.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from standins import Arrival, Host, Record

SPOILT_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Note: "
FAULT = 3
BLOCK = b"a" * (256 * 1024)


class SpoiltHost(Host):
    """Answers like a `Host`; once `is_spoilt` is set, each n-th answer of all hosts does not end."""

    is_spoilt = False
    every = 1
    answers = spoilt_answers = spoilt_bytes = 0

    async def answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        hosts = SpoiltHost
        hosts.answers += 1
        if not hosts.is_spoilt or hosts.answers % hosts.every:
            await super().answer(arrival, writer)
            return
        hosts.spoilt_answers += 1
        await asyncio.sleep(self.delay_s)
        writer.write(SPOILT_HEAD)
        while True:  # until the gateway closes the connection
            writer.write(BLOCK)
            hosts.spoilt_bytes += len(BLOCK)
            await writer.drain()


def begin() -> None:
    SpoiltHost.is_spoilt = True


async def main() -> None:
    SpoiltHost.every = int(sys.argv[2])
    hosts = [SpoiltHost(Record(), f"s-{number}") for number in range(int(sys.argv[1]))]
    for host in hosts:
        await host.start()
    print(*(host.address for host in hosts), flush=True)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    # A fault in a handler ends the process, so that the case cannot run on without it.
    loop.set_exception_handler(lambda *_: os._exit(FAULT))
    loop.add_signal_handler(signal.SIGUSR1, begin)
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    loop.set_exception_handler(None)  # the connections that are still open are about to be cut
    spoilt = SpoiltHost.spoilt_answers
    print(f"{SpoiltHost.answers - spoilt} sound answers, {spoilt} spoilt, {SpoiltHost.spoilt_bytes} bytes")
    for host in hosts:
        await host.stop()


asyncio.run(main())
