"""Division of a gateway's file descriptors and memory between their uses."""

from __future__ import annotations

import resource
from contextlib import suppress
from typing import NamedTuple

__all__ = ["ResourceBudget", "peer_memory_bytes", "private_memory_bytes"]

RESERVED_DESCRIPTORS = 48
"""Descriptors for everything except client and endpoint connections, such as the listening socket, calls to
discovery, and accepted connections that are not yet counted as open."""
MIN_DESCRIPTORS = 16
"""Lower bound of the descriptors for connections, used even if the limits leave fewer."""
CLIENT_SHARE = 0.55
"""Share of the connection descriptors that clients may use, so that any number of clients leaves the rest for
endpoint connections."""
RESERVED_MEMORY_SHARE = 5 / 32
"""Share of the memory for what is stored only within one callback, and for gaps between stored objects."""
MIN_PEER_MEMORY_SHARE = 0.125
"""Share of the memory that peers may use at least, even if the program itself leaves less."""
DEFAULT_PROGRAM_BYTES = 16 << 20
"""Private memory of the program at its start, where the system does not report it."""
PAGE_BYTES = resource.getpagesize()


class ResourceBudget(NamedTuple):
    """Limits on the connections and requests of one gateway."""

    client_connections: int
    endpoint_connections: int
    open_requests: int

    @classmethod
    def divide(cls, max_sockets: int) -> ResourceBudget:
        """Divide the configured descriptors, bounded by the descriptor limit of the process.

        The limit of the process is the soft limit of RLIMIT_NOFILE.
        """
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_descriptors = min(max_sockets, soft_limit if soft_limit > 0 else max_sockets)
        connections = max(MIN_DESCRIPTORS, max_descriptors - RESERVED_DESCRIPTORS)
        return cls(
            client_connections=int(connections * CLIENT_SHARE),
            endpoint_connections=int(connections * (1 - CLIENT_SHARE)),
            open_requests=connections,
        )


def peer_memory_bytes(max_memory_bytes: int, program_bytes: int) -> int:
    """Return the part of the memory limit that data stored for peers may use.

    `program_bytes` is the private memory of the process before it has any peers.
    """
    reserved_bytes = int(max_memory_bytes * RESERVED_MEMORY_SHARE)
    least_bytes = int(max_memory_bytes * MIN_PEER_MEMORY_SHARE)
    return max(least_bytes, max_memory_bytes - program_bytes - reserved_bytes)


def private_memory_bytes() -> int:
    """Return the private memory of this process: without the pages of files and libraries (proc(5))."""
    with suppress(OSError, ValueError):
        with open("/proc/self/statm", encoding="ascii") as file:
            _total, resident, shared, *_others = map(int, file.read().split())
        if resident > shared:
            return (resident - shared) * PAGE_BYTES
    return DEFAULT_PROGRAM_BYTES
