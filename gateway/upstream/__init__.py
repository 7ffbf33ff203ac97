"""Upstream side of the gateway: connections to endpoints, attempts and their outcomes."""

from .attempt import Attempt
from .upstream import Upstream

__all__ = ["Attempt", "Upstream"]
