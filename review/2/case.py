"""Peers send many short requests at once, twenty peers at a time: the gateway answers nobody meanwhile."""

from pathlib import Path

from peers_case import play_peers
from standins import Stage, main

PEERS, TOGETHER = 60, 20
BYTES_EACH = 256 * 1024


async def play(stage: Stage) -> int:
    return await play_peers(stage, "requests", PEERS, TOGETHER, BYTES_EACH)


main(Path(__file__).resolve().parent, play)
