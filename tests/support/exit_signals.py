"""`python -m tests.support.exit_signals MOMENT`: a gateway that gets signals while its process ends.

The moment is `exit`, when the event loop is closed and the interpreter begins to end; or `teardown`, when the
interpreter has given the signals their default actions back and deletes its modules.
"""

from __future__ import annotations

import atexit
import builtins
import os
import signal
import sys
from functools import partial

from gateway.__main__ import main

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class SignalSender:
    """Sends all signals to this process, and reports each on standard error; also when it is deleted."""

    def __init__(self) -> None:
        # Bound here, as the names of modules may be gone when the object is deleted.
        self._steps = [
            step
            for number in SIGNALS
            for step in (
                partial(os.write, 2, f"sent {number.name}\n".encode()),
                partial(os.kill, os.getpid(), number),
            )
        ]

    def send(self) -> None:
        """Send the signals, once."""
        while self._steps:
            self._steps.pop(0)()

    def __del__(self) -> None:
        self.send()


if __name__ == "__main__":
    if sys.argv[1] == "exit":
        atexit.register(SignalSender().send)
    else:
        builtins.__dict__["sender"] = SignalSender()  # in the last module that is torn down, but for `sys`
    sys.exit(main())
