"""Sixteen peers send many short requests at once: the gateway answers nobody until it has read them all."""

from pathlib import Path

from peers_case import play_peers
from standins import Stage, main

PEERS = 16
BYTES_EACH = 256 * 1024


async def play(stage: Stage) -> int:
    return await play_peers(stage, "requests", PEERS, BYTES_EACH)


main(Path(__file__).resolve().parent, play)
