"""Peers that send much at once and are no proper clients, in a process of their own.

Arguments: host, port, kind (`trailer` or `requests`), number of peers, number of them that are connected at a
time, bytes for each to send.  A group of peers starts together, and the next one when all of them have gone.
A peer reads what it is sent, and goes once the gateway has ended the connection or, at the latest, 6 s after
the connect.  One line for each is printed.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from collections.abc import Iterator

BLOCK_BYTES = 64 * 1024
STAY_S = 6.0
TRAILER_HEAD = (
    b"POST /licence-request/item HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: peer-%d\r\n"
    b"X-Priority-Class: licence-request\r\nX-Tenant-Id: marimba\r\nX-Timeout-Ms: 1000\r\n"
    b"Idempotency-Key: peer-%d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Note: "
)
SHORT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def blocks(kind: str, number: int, size: int) -> Iterator[bytes]:
    """Yield what a peer sends: one endless trailer field, or many short requests for an unknown path."""
    if kind == "trailer":
        yield TRAILER_HEAD % (number, number)
        for _ in range(size // BLOCK_BYTES):
            yield b"a" * BLOCK_BYTES
    else:
        yield SHORT_REQUEST * (size // len(SHORT_REQUEST))


def answer_of(sock: socket.socket, until: float) -> str:
    """Read until the gateway ends the connection or the time is over; return the first line that came."""
    first = b""
    sock.settimeout(max(0.001, until - time.monotonic()))
    while data := sock.recv(1 << 16):
        first = first or data.split(b"\r\n", 1)[0]
        if time.monotonic() > until:
            break
    return first.decode(errors="replace") or "a close"


def play(address: tuple[str, int], kind: str, number: int, size: int) -> None:
    started = time.monotonic()
    sent = 0
    with socket.create_connection(address) as sock:
        sock.settimeout(STAY_S)
        try:
            for block in blocks(kind, number, size):
                sock.sendall(block)
                sent += len(block)
            what = answer_of(sock, started + STAY_S)
        except OSError as error:
            what = repr(error)
    sys.stdout.write(
        f"peer {number} sent {sent} bytes, gone after {time.monotonic() - started:.3f} s: {what}\n"
    )  # in one call, as the peers write side by side


def main() -> None:
    host, port, kind, count, together, size = sys.argv[1:]
    for first in range(0, int(count), int(together)):
        threads = [
            threading.Thread(target=play, args=((host, int(port)), kind, number, int(size)))
            for number in range(first, min(int(count), first + int(together)))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


main()
