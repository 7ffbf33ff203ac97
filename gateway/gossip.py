"""Gossip between gateways by UDP datagrams, if the settings enable it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from .configuration import Address

__all__ = ["GossipSocket"]

log = logging.getLogger("gateway.gossip")

MAX_MESSAGE_BYTES = 256
"""Maximum length of a gossip message, bytes; longer ones are dropped."""


class GossipSocket(asyncio.DatagramProtocol):
    """The gateway's UDP socket; datagrams from addresses that are not in `peers` are dropped."""

    def __init__(
        self,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        on_gossip: Callable[[int, bytes], None],
    ) -> None:
        """`on_gossip` is called with the sender's index in `peers` and the message."""
        self._peers = peers
        self._peer_indexes = {address: index for index, address in enumerate(peers)}
        self._broadcast_address = broadcast_address
        self._on_gossip = on_gossip
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)  # not a subclass in uvloop

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Handle a datagram; IPv6 addresses have further elements after host and port."""
        peer = self._peer_indexes.get(cast(Address, addr[:2]))
        if peer is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._on_gossip(peer, data)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that could not be delivered."""
        log.info("gossip datagram could not be delivered: %s", exc)

    def send(self, peer: int | None, content: bytes) -> None:
        """Send a message to one peer, or to all for None.

        A message that is too long or has no destination is logged and dropped, as is one sent before the
        socket is open.
        """
        destination = self._destination(peer)
        if self._transport is None or destination is None or len(content) > MAX_MESSAGE_BYTES:
            log.error("gossip message to peer %s cannot be sent", peer)
        else:
            self._transport.sendto(content, destination)

    def _destination(self, peer: int | None) -> Address | None:
        if peer is None:
            return self._broadcast_address
        return self._peers[peer] if 0 <= peer < len(self._peers) else None

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
