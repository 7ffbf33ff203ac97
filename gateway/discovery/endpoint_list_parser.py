"""Parses the JSON objects of discovery into entries of the endpoint list."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from balancer import MS, EndpointEntry, EndpointState
from balancer.start_times import StartTimes

from .endpoint_capacity import EndpointCapacity
from .errors import EndpointListError
from .update_decoder import decode_entry

__all__ = ["EndpointListParser", "EndpointListUpdate", "ListedEndpoint"]

log = logging.getLogger("gateway.discovery")

MAX_PORT = 65535
MAX_NAME_LENGTH = 256
"""Maximum length of an instanceId or of the host in a hostPort; a DNS name has at most 253 characters."""
MAX_INTEGER = 2**63 - 1
"""Maximum of a number: larger ones would take memory by their digits."""
STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
"""Endpoint states by the lifecycle names of discovery."""
_INVALID_FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""Exceptions raised when a JSON field is missing, of the wrong type or out of range."""


class ListedEndpoint(NamedTuple):
    """An entry of the endpoint list, as the balancer uses it, and the address of the endpoint."""

    entry: EndpointEntry
    address: tuple[str, int]
    """IP address or host name, and port."""

    def with_start_time(self, started_ns: int) -> ListedEndpoint:
        """Return a copy with this start time, monotonic ns; 0 means that the start was long ago."""
        if not started_ns:
            return self
        return ListedEndpoint(self.entry._replace(started_ns=started_ns), self.address)


_ParsedInstance = tuple[ListedEndpoint, int]
"""An endpoint without its start time, and the start time as Unix time in ms; 0 if there is none."""


class EndpointListUpdate(NamedTuple):
    """The content of one JSON object of discovery."""

    generation: int
    is_snapshot: bool
    """Whether `endpoints` is the complete list; otherwise it holds only the changed entries."""
    endpoints: list[ListedEndpoint]


class EndpointListParser:
    """Parses JSON objects of discovery; maps zones and machine types to their indexes in the settings."""

    def __init__(
        self, zones: Sequence[str], machine_types: Sequence[str], capacity: EndpointCapacity
    ) -> None:
        self._capacity = capacity
        self._zones = {name: index for index, name in enumerate(zones)}
        self._machine_types = {name: index for index, name in enumerate(machine_types)}
        self.start_times = StartTimes()

    def parse(self, document: Any, now_ns: int, is_fetched: bool = False) -> EndpointListUpdate:
        """Parse one decoded JSON object received at `now_ns`, monotonic time; a fetched one is a snapshot.

        Invalid entries are logged and dropped, as are new endpoints for which the memory budget has no
        capacity.  Raises EndpointListError if the object itself is invalid.
        """
        try:
            generation, instances = int(document["generation"]), document["instances"]
            is_snapshot = document.get("reset", False)
        except _INVALID_FIELD_ERRORS as error:
            raise EndpointListError(repr(error)) from None
        if not isinstance(instances, list) or not isinstance(is_snapshot, bool):
            raise EndpointListError("the field instances or reset is of the wrong type")
        is_snapshot = is_snapshot or is_fetched
        parsed = self._admitted(self._parse_instances(instances), is_snapshot)
        return EndpointListUpdate(generation, is_snapshot, self._with_start_times(parsed, now_ns))

    def _parse_instances(self, instances: list[Any]) -> list[_ParsedInstance]:
        parsed: list[_ParsedInstance] = []
        for raw_instance in instances:
            try:
                instance = decode_entry(raw_instance)
            except (ValueError, RecursionError) as error:
                raise EndpointListError(repr(error)) from None
            try:
                parsed.append(self._parse_instance(instance))
            except _INVALID_FIELD_ERRORS as error:
                log.warning("invalid endpoint list entry dropped: %r: %.200r", error, instance)
        return parsed

    def _admitted(self, parsed: list[_ParsedInstance], is_snapshot: bool) -> list[_ParsedInstance]:
        """Return the entries without the new endpoints for which there is no memory."""
        if is_snapshot:
            self._capacity.retain({endpoint.entry.endpoint_id for endpoint, _ in parsed})
        admitted = [
            (endpoint, start_time_ms)
            for endpoint, start_time_ms in parsed
            if self._capacity.admit(endpoint.entry.endpoint_id, endpoint.address[0], endpoint.entry.state)
        ]
        if len(admitted) < len(parsed):
            log.warning("no memory for %d new endpoints, which are dropped", len(parsed) - len(admitted))
        return admitted

    def _with_start_times(self, parsed: list[_ParsedInstance], now_ns: int) -> list[ListedEndpoint]:
        start_times_ms = [
            (endpoint.entry.endpoint_id, start_time_ms)
            for endpoint, start_time_ms in parsed
            if start_time_ms and endpoint.entry.state is not EndpointState.GONE
        ]
        # All start times of an update are converted together: the latest one is the reference for the others.
        start_times_ns = self.start_times.to_monotonic(start_times_ms, now_ns)
        self._capacity.charge_starts(len(self.start_times))
        started_ns = {
            endpoint_id: start_time_ns
            for (endpoint_id, _), start_time_ns in zip(start_times_ms, start_times_ns, strict=True)
        }
        return [
            endpoint.with_start_time(started_ns.get(endpoint.entry.endpoint_id, 0)) for endpoint, _ in parsed
        ]

    def _parse_instance(self, instance: dict[str, Any]) -> _ParsedInstance:
        """Return the endpoint without its start time, and the start time as Unix time in ms, 0 if none.

        Raises one of `_INVALID_FIELD_ERRORS`.
        """
        address, _, port = instance["hostPort"].rpartition(":")
        start_time_ms = min(int(instance.get("startedAtMs") or 0), MAX_INTEGER // MS)
        cell, weight = int(instance.get("cell", 0)), float(instance.get("weight", 1.0))
        if not address or not 0 < int(port) <= MAX_PORT or not math.isfinite(weight) or start_time_ms < 0:
            raise ValueError("hostPort, weight or startedAtMs is out of range")
        if abs(cell) > MAX_INTEGER:
            raise ValueError("cell is out of range")
        endpoint_id = instance["instanceId"]
        if not isinstance(endpoint_id, str) or not endpoint_id:
            raise ValueError("instanceId is empty or not a string")
        if len(endpoint_id) > MAX_NAME_LENGTH or len(address) > MAX_NAME_LENGTH:
            raise ValueError("instanceId or hostPort is too long")
        entry = EndpointEntry(
            endpoint_id,
            self._zones[instance["zone"]],
            self._machine_types.get(instance.get("machineType", ""), 0),
            cell,
            STATES[instance["lifecycle"]],
            weight,
        )
        return ListedEndpoint(entry, (address.strip("[]"), int(port))), start_time_ms
