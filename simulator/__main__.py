"""Entry point of `python -m simulator`: serves the simulator on standard input and output."""

import sys

from .loop import main

sys.exit(main())
