"""Peers send a request whose trailer does not end: the gateway answers nobody and fills its memory."""

from pathlib import Path

from peers_case import play_peers
from standins import Stage, main

PEERS, TOGETHER = 5, 1
BYTES_EACH = 60_000_000
"""TERMS-cedarferry.md, "Improper peers": "within 6 s when 60 MB are to be sent"."""


async def play(stage: Stage) -> int:
    return await play_peers(stage, "trailer", PEERS, TOGETHER, BYTES_EACH)


main(Path(__file__).resolve().parent, play)
