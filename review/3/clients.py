"""Clients of one gateway: all connect and send one request at a moment, then leave early or stay.

Arguments: host, port, name, number of clients, start (monotonic clock), stay in seconds, length of a body.
Prints one line of JSON: when each client had closed its connection, on that clock, and its status.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from contextlib import suppress

from standins import request


def status_of(sock: socket.socket) -> int:
    """Return the status of the answer that a client has got, 0 if it has none."""
    with suppress(OSError, IndexError, ValueError):
        sock.setblocking(False)
        return int(sock.recv(65536).split()[1])
    return 0


def main(address: tuple[str, int], name: str, count: int, start: float, stay_s: float, size: int) -> None:
    ids = [f"{name}-{index}" for index in range(count)]
    requests = [request(item, "licence-request", 1000, body=b"x" * size) for item in ids]
    sockets = [socket.socket() for _ in ids]
    time.sleep(max(0.0, start - time.monotonic()))
    began = time.monotonic()
    for sock in sockets:
        sock.setblocking(False)
        with suppress(BlockingIOError):
            sock.connect(address)
    for sock, data in zip(sockets, requests, strict=True):
        sock.settimeout(5.0)
        sock.sendall(data)
    sent = time.monotonic()
    time.sleep(stay_s)
    closed, statuses = {}, {}
    for item, sock in zip(ids, sockets, strict=True):
        statuses[item] = status_of(sock)
        sock.close()
        closed[item] = time.monotonic()
    print(json.dumps({"began": began, "sent": sent, "closed": closed, "statuses": statuses}))


if __name__ == "__main__":
    arguments = sys.argv[1:]
    main(
        (arguments[0], int(arguments[1])),
        arguments[2],
        int(arguments[3]),
        float(arguments[4]),
        float(arguments[5]),
        int(arguments[6]),
    )
