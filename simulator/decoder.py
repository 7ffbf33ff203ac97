"""Decodes the simulator's batches into typed records.

Malformed input raises `WireError`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from math import isfinite, isnan
from typing import Any

from balancer import EndpointEntry, EndpointState, Outcome, UpdateKind

from .records import (
    AttemptEnded,
    ClientGone,
    EndpointListPage,
    EndpointListUpdated,
    GossipReceived,
    HealthChecked,
    InstanceStarted,
    InstanceStopped,
    Record,
    RecordCode,
    RequestArrived,
    ResponseStarted,
    TimerExpired,
    WireError,
)

__all__ = ["BATCH_HEADER", "MAX_FRAME_BYTES", "decode_batch", "outcome_of", "update_kind_of"]

BATCH_HEADER = struct.Struct(">IIQ")
"""Header of a batch: record count, frame length in bytes including this header, and time in ns."""
MAX_FRAME_BYTES = 1 << 30
"""Maximum length of a frame; batches take megabytes, so a greater length indicates malformed input."""

_Decoder = Callable[[bytes, int], tuple[Record, int]]
"""Decodes the record whose fields start at an offset; returns it and the offset of the next record."""

_INSTANCE_STARTED = struct.Struct(">HQI")
_INSTANCE_STOPPED = struct.Struct(">H")
_ENDPOINT_LIST_PAGE = struct.Struct(">HI")
_ENDPOINT_ENTRY = struct.Struct(">6sBHHBfQ")
_ENDPOINT_LIST_UPDATED = struct.Struct(">HBQH")
_REQUEST_ARRIVED = struct.Struct(">HIHHQQQB")
_RESPONSE_STARTED = struct.Struct(">HIH6sQ")
_ATTEMPT_ENDED = struct.Struct(">HIH6sHQBB")
_CLIENT_GONE = struct.Struct(">HI")
_TIMER_EXPIRED = struct.Struct(">HI")
_HEALTH_CHECKED = struct.Struct(">H6sHQB")
_GOSSIP_RECEIVED = struct.Struct(">HHH")
_LOAD_REPORT_LAYOUTS = tuple(struct.Struct(f">{value_count}f") for value_count in range(256))

_OUTCOMES = {
    200: Outcome.OK,
    500: Outcome.ERROR,
    503: Outcome.OVERLOADED,
    504: Outcome.TIMEOUT,
    502: Outcome.CONNECT_FAILED,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.NOT_SENT,
}


def outcome_of(code: int) -> Outcome:
    """Return the outcome for an outcome code on the wire."""
    try:
        return _OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def update_kind_of(code: int) -> UpdateKind:
    """Return the endpoint list update kind for a code on the wire."""
    try:
        return UpdateKind(code)
    except ValueError:
        raise WireError(f"unknown endpoint list update kind {code}") from None


def decode_batch(body: bytes, count: int) -> Iterator[Record]:
    """Yield the `count` records of a batch, given its `body` without the header.

    Records before a malformed one are yielded before the error is raised.
    """
    offset = 0
    try:
        for _ in range(count):
            code = body[offset]
            decode = _DECODERS.get(code)
            if decode is None:
                raise WireError(f"unknown record code {code}")
            record, offset = decode(body, offset + 1)
            yield record
    except (struct.error, IndexError):
        raise WireError("record extends past its frame") from None
    if offset != len(body):
        raise WireError(f"{len(body) - offset} trailing bytes after the last record")


def _read_bytes(body: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(body):
        raise WireError("length field extends past its frame")
    return body[offset : offset + size]


def _decode_load_report(body: bytes, offset: int, value_count: int) -> tuple[tuple[float, ...], int]:
    if not value_count:
        return (), offset
    layout = _LOAD_REPORT_LAYOUTS[value_count]
    values = layout.unpack_from(body, offset)
    if any(map(isnan, values)):
        raise WireError(f"load report contains NaN: {values}")
    return values, offset + layout.size


def _fixed_decoder(layout: struct.Struct, make_record: Callable[[Any], Record]) -> _Decoder:
    """Return a decoder for records of fixed length whose fields are those of the layout."""
    size = layout.size
    unpack_from = layout.unpack_from

    def decode(body: bytes, offset: int) -> tuple[Record, int]:
        return make_record(unpack_from(body, offset)), offset + size

    return decode


def _decode_instance_started(body: bytes, offset: int) -> tuple[Record, int]:
    instance, seed, size = _INSTANCE_STARTED.unpack_from(body, offset)
    offset += _INSTANCE_STARTED.size
    return InstanceStarted(instance, seed, _read_bytes(body, offset, size)), offset + size


def _decode_endpoint_list_page(body: bytes, offset: int) -> tuple[Record, int]:
    page, count = _ENDPOINT_LIST_PAGE.unpack_from(body, offset)
    offset += _ENDPOINT_LIST_PAGE.size
    data = _read_bytes(body, offset, count * _ENDPOINT_ENTRY.size)
    return EndpointListPage(page, _decode_endpoint_entries(data)), offset + len(data)


def _decode_endpoint_entries(data: bytes) -> list[EndpointEntry]:
    entries = []
    for endpoint_id, zone, machine_type, cell, state, weight, started_ns in _ENDPOINT_ENTRY.iter_unpack(data):
        if state > EndpointState.DRAINING:
            raise WireError(f"unknown endpoint state {state}")
        if not isfinite(weight):
            raise WireError(f"endpoint weight must be finite, not {weight}")
        entries.append(
            EndpointEntry(endpoint_id, zone, machine_type, cell, EndpointState(state), weight, started_ns)
        )
    return entries


def _decode_response_started(body: bytes, offset: int) -> tuple[Record, int]:
    instance, request_id, attempt, _endpoint_id, _elapsed_ns = _RESPONSE_STARTED.unpack_from(body, offset)
    return ResponseStarted(instance, request_id, attempt), offset + _RESPONSE_STARTED.size


def _decode_attempt_ended(body: bytes, offset: int) -> tuple[Record, int]:
    instance, request_id, attempt, endpoint_id, outcome_code, elapsed_ns, is_final, value_count = (
        _ATTEMPT_ENDED.unpack_from(body, offset)
    )
    load_report, end = _decode_load_report(body, offset + _ATTEMPT_ENDED.size, value_count)
    record = AttemptEnded(
        instance, request_id, attempt, endpoint_id, outcome_code, elapsed_ns, is_final, load_report
    )
    return record, end


def _decode_health_checked(body: bytes, offset: int) -> tuple[Record, int]:
    instance, endpoint_id, outcome_code, elapsed_ns, value_count = _HEALTH_CHECKED.unpack_from(body, offset)
    load_report, end = _decode_load_report(body, offset + _HEALTH_CHECKED.size, value_count)
    return HealthChecked(instance, endpoint_id, outcome_code, elapsed_ns, load_report), end


def _decode_gossip_received(body: bytes, offset: int) -> tuple[Record, int]:
    instance, peer, size = _GOSSIP_RECEIVED.unpack_from(body, offset)
    offset += _GOSSIP_RECEIVED.size
    return GossipReceived(instance, peer, _read_bytes(body, offset, size)), offset + size


_DECODERS: dict[int, _Decoder] = {
    RecordCode.INSTANCE_STARTED: _decode_instance_started,
    RecordCode.ENDPOINT_LIST_UPDATED: _fixed_decoder(_ENDPOINT_LIST_UPDATED, EndpointListUpdated._make),
    RecordCode.REQUEST_ARRIVED: _fixed_decoder(_REQUEST_ARRIVED, RequestArrived._make),
    RecordCode.RESPONSE_STARTED: _decode_response_started,
    RecordCode.ATTEMPT_ENDED: _decode_attempt_ended,
    RecordCode.CLIENT_GONE: _fixed_decoder(_CLIENT_GONE, ClientGone._make),
    RecordCode.TIMER_EXPIRED: _fixed_decoder(_TIMER_EXPIRED, TimerExpired._make),
    RecordCode.HEALTH_CHECKED: _decode_health_checked,
    RecordCode.GOSSIP_RECEIVED: _decode_gossip_received,
    RecordCode.INSTANCE_STOPPED: _fixed_decoder(_INSTANCE_STOPPED, InstanceStopped._make),
    RecordCode.ENDPOINT_LIST_PAGE: _decode_endpoint_list_page,
}
