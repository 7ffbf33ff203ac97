"""Division of a gateway's file descriptors and memory between their uses."""

from __future__ import annotations

import resource
from typing import NamedTuple

__all__ = ["ResourceBudget"]

RESERVED_DESCRIPTORS = 48
"""Descriptors for everything except client and endpoint connections, such as the listening socket, calls to
discovery, and accepted connections that are not yet counted as open."""
MIN_DESCRIPTORS = 16
"""Lower bound of the descriptors for connections, used even if the limits leave fewer."""
CLIENT_SHARE = 0.55
"""Share of the connection descriptors that clients may use, so that any number of clients leaves the rest for
endpoint connections."""
PAYLOAD_SHARE = 0.25
"""Share of the memory that the payloads of open requests may use."""


class ResourceBudget(NamedTuple):
    """Limits on the connections, requests and payload bytes of one gateway."""

    client_connections: int
    endpoint_connections: int
    open_requests: int
    payload_bytes: int
    """Total for all open requests."""

    @classmethod
    def divide(cls, max_sockets: int, max_memory_bytes: int) -> ResourceBudget:
        """Divide the configured resources, bounded by the descriptor limit of the process.

        The limit of the process is the soft limit of RLIMIT_NOFILE.
        """
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_descriptors = min(max_sockets, soft_limit if soft_limit > 0 else max_sockets)
        connections = max(MIN_DESCRIPTORS, max_descriptors - RESERVED_DESCRIPTORS)
        return cls(
            client_connections=int(connections * CLIENT_SHARE),
            endpoint_connections=int(connections * (1 - CLIENT_SHARE)),
            open_requests=connections,
            payload_bytes=int(max_memory_bytes * PAYLOAD_SHARE),
        )
