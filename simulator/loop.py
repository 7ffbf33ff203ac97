"""Main loop: reads batches from standard input and writes replies to standard output."""

from __future__ import annotations

import gc
import sys
from typing import BinaryIO

from balancer import Balancer

from .decoder import BATCH_HEADER, MAX_FRAME_BYTES
from .host import BalancerFactory, InstanceHost
from .records import WireError

__all__ = ["main", "serve"]


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise WireError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO, make_balancer: BalancerFactory = Balancer) -> None:
    """Write a reply to each batch until the input ends."""
    host = InstanceHost(make_balancer)
    while header := source.read(BATCH_HEADER.size):
        if len(header) != BATCH_HEADER.size:
            raise WireError("input ends inside a header")
        count, size, now_ns = BATCH_HEADER.unpack(header)
        if not BATCH_HEADER.size <= size <= MAX_FRAME_BYTES:
            raise WireError(f"invalid frame length of {size} bytes")
        body = _read_exactly(source, size - BATCH_HEADER.size)
        sink.write(host.handle_batch(now_ns, body, count))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit code: 0 at end of input, 1 if it is malformed."""
    gc.freeze()  # objects loaded so far live until exit, so the collector can skip them
    gc.set_threshold(50_000, 20, 50)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"simulator: malformed input: {error}", file=sys.stderr)
        return 1
    return 0
