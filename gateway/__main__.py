"""`python -m gateway`: run one gateway, configured by its environment and its configuration file."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from balancer import SECOND

from .configuration import Configuration, ConfigurationError
from .gateway import Gateway
from .timers import now_ns

log = logging.getLogger("gateway")

MAX_LOG_LINES_PER_S = 10
"""Limit on log lines per second, so that an attacker cannot make the gateway spend its time on logging."""
EXIT_BAD_CONFIGURATION = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class LogRateLimit(logging.Filter):
    """Drops log lines beyond `MAX_LOG_LINES_PER_S`, except those of loggers that limit their own rate."""

    EXEMPT_LOGGERS = ("gateway.stats", "gateway.trace")

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is written."""
        if record.name in self.EXEMPT_LOGGERS:
            return True
        second = now_ns() // SECOND  # monotonic: the wall clock may be set back
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return self._count <= MAX_LOG_LINES_PER_S


async def _run(configuration: Configuration) -> None:
    await Gateway(configuration, asyncio.get_running_loop()).run()
    # The interpreter restores their default actions some time before it has ended.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def main() -> int:
    """Run the gateway and return the exit code.

    It is 0 after a graceful shutdown (SIGTERM or SIGINT), 2 if the configuration is not valid.
    """
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], format="%(asctime)s %(name)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the handler is set: the default ends the process
    try:
        configuration = Configuration.read(os.environ)
    except ConfigurationError as error:
        print(f"gateway: EDGE_CONFIG: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    gc.freeze()  # objects loaded so far live until exit, so the collector can skip them
    gc.set_threshold(50_000, 20, 50)
    uvloop.run(_run(configuration))
    return 0


if __name__ == "__main__":
    sys.exit(main())
