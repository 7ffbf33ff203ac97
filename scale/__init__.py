"""Scale experiments: a synthetic fleet, fake discovery and endpoint servers, and headless gateways.

This package imports `gateway` and `balancer`, never the reverse; the measured code is the project's own.
"""

from pathlib import Path

ROOT = Path(__file__).parent.parent
"""Root directory of the project; the measured programs are started in it."""
