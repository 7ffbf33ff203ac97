"""The client side of the gateway: accepted connections, their requests and the responses."""

from .listener import Listener
from .server import ClientServer

__all__ = ["ClientServer", "Listener"]
