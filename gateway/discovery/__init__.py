"""Client of the discovery service, which publishes the endpoint list."""

from .call import CallState, DiscoveryCall
from .discovery import Discovery
from .endpoint_capacity import EndpointCapacity
from .endpoint_list_parser import EndpointListParser, EndpointListUpdate, ListedEndpoint
from .errors import DiscoveryCallError, EndpointListError

__all__ = [
    "CallState",
    "Discovery",
    "DiscoveryCall",
    "DiscoveryCallError",
    "EndpointCapacity",
    "EndpointListError",
    "EndpointListParser",
    "EndpointListUpdate",
    "ListedEndpoint",
]
