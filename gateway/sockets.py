"""System calls on a transport's socket, where the event loop has no function for them or acts too late."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Generator
from contextlib import contextmanager, suppress
from typing import NamedTuple

LAST_DATA_RECV_OFFSET = 52
"""Offset of `tcpi_last_data_recv` in Linux's `struct tcp_info` (linux/tcp.h): ms since data last arrived."""


class SocketState(NamedTuple):
    """What a socket has received that the event loop has not read yet."""

    readable: bool
    """Whether bytes, the end of the stream or an error can be read."""
    ended: bool
    """Whether the peer has closed its sending side or the connection is broken, even with bytes unread."""


_CLOSED_STATE = SocketState(readable=True, ended=True)


def poll_socket(transport: asyncio.Transport | None) -> SocketState:
    """Query the current state of a transport's socket, with one or two system calls.

    A transport that is missing or closing is treated as ended.
    """
    transport_socket = transport.get_extra_info("socket") if transport is not None else None
    if transport_socket is None or transport is None or transport.is_closing():
        return _CLOSED_STATE
    poll = select.poll()
    poll.register(transport_socket.fileno(), select.POLLIN | select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return SocketState(readable=False, ended=False)
    return SocketState(readable=True, ended=events[0][1] != select.POLLIN or _at_eof(transport_socket))


def has_unread_data(transport: asyncio.Transport | None) -> bool:
    """Whether a transport's socket holds bytes that the event loop has not read yet."""
    transport_socket = transport.get_extra_info("socket") if transport is not None else None
    if transport_socket is None or transport is None or transport.is_closing():
        return False
    with _raw_socket(transport_socket) as sock:
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


def unread_bytes(transport: asyncio.Transport | None) -> int:
    """Return the number of bytes that the event loop has not read yet, with one system call; 0 if unknown."""
    transport_socket = transport.get_extra_info("socket") if transport is not None else None
    if transport_socket is None or transport_socket.fileno() < 0:
        return 0
    try:
        size = fcntl.ioctl(transport_socket.fileno(), termios.FIONREAD, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(size, sys.byteorder)


def unread_age_ms(transport_socket: socket.socket) -> int:
    """Return the time since data last arrived in a TCP socket, in ms; 0 if the system does not report it."""
    try:
        info = transport_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
        age_ms: int = struct.unpack_from("I", info, LAST_DATA_RECV_OFFSET)[0]
    except (OSError, struct.error):
        return 0  # no TCP socket, or a system without this field
    return age_ms


def shut_down(transport: asyncio.Transport | None) -> None:
    """Shut the connection down now; the transport closes its socket only in the next event loop iteration."""
    transport_socket = transport.get_extra_info("socket") if transport is not None else None
    if transport_socket is None or transport_socket.fileno() < 0:
        return
    with _raw_socket(transport_socket) as sock, suppress(OSError):  # the peer may have closed already
        sock.shutdown(socket.SHUT_RDWR)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Let the close of a transport reset the connection, as if some received bytes were unread."""
    transport_socket = transport.get_extra_info("socket")
    if transport_socket is None or transport_socket.fileno() < 0:
        return
    with _raw_socket(transport_socket) as sock, suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _at_eof(transport_socket: socket.socket) -> bool:
    """Whether the stream ends without further bytes; used where the system does not report POLLRDHUP."""
    with _raw_socket(transport_socket) as sock:
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError as error:
            return not isinstance(error, BlockingIOError)


@contextmanager
def _raw_socket(transport_socket: socket.socket) -> Generator[socket.socket, None, None]:
    """Yield a socket object for a transport's descriptor, which stays open afterwards.

    The object that the event loop provides lacks the methods needed here.
    """
    sock = socket.socket(
        transport_socket.family, transport_socket.type, transport_socket.proto, transport_socket.fileno()
    )
    try:
        yield sock
    finally:
        sock.detach()
