"""Tests of the simulator adapter: decoder, replies and main loop, with valid and malformed input."""

from __future__ import annotations

import contextlib
import json
import os
import struct
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer import EndpointState, EndReason, Outcome
from simulator.decoder import BATCH_HEADER, decode_batch, outcome_of
from simulator.records import AttemptEnded, EndpointListPage, WireError
from simulator.reply import Reply, ReplyActions

SETTINGS: dict[str, Any] = {
    "az": 1,
    "zones": ["x", "y"],
    "replicas-of-me": 3,
    "round-ns": 5_000_000,
    "unheard-of": {"a": 1},
    "request-classes": [
        {
            "give-up-ns": 1_000_000_000,
            "effect": "idempotency_key",
            "group": "cell",
            "window-ns": 5_000_000_000,
        }
    ],
}
ENDPOINT_ID = bytes.fromhex("0a124a07138b")


def frame(*records: bytes, now_ns: int = 5) -> bytes:
    body = b"".join(records)
    return BATCH_HEADER.pack(len(records), 16 + len(body), now_ns) + body


def instance_started(settings: Any = None, instance: int = 3) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return struct.pack(">BHQI", 1, instance, 7, len(text)) + text


def endpoint_list_page() -> bytes:
    return struct.pack(">BHI", 11, 0, 1) + ENDPOINT_ID + struct.pack(">BHHBfQ", 1, 0, 0, 1, 1.0, 0)


ENDPOINT_LIST_UPDATED = struct.pack(">BHBQH", 2, 3, 2, 41, 0)
REQUEST_ARRIVED = bytes.fromhex("0300035d3a91c40000000091f03b7c55d20a64000000000e4e1c000000000000b71b0001")


def run_simulator(data: bytes) -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        [sys.executable, "-m", "simulator"], input=data, capture_output=True, env=env, check=False
    )


def test_an_empty_batch_gets_an_empty_reply() -> None:
    result = run_simulator(bytes.fromhex("000000000000001000000001f568bf90"))
    assert (result.returncode, result.stdout, result.stderr) == (
        0,
        bytes.fromhex("0000000800000000"),
        b"",
    )


def test_a_request_is_sent_to_the_listed_endpoint() -> None:
    result = run_simulator(
        frame(instance_started(), endpoint_list_page(), ENDPOINT_LIST_UPDATED, REQUEST_ARRIVED)
    )
    assert result.returncode == 0, result.stderr
    assert struct.pack(">BHI", 1, 3, 0x5D3A91C4) + ENDPOINT_ID in result.stdout


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\0\0", "inside a header"),
        (frame(instance_started())[:-3], "inside a frame"),
        (BATCH_HEADER.pack(0, 7, 1), "7 bytes"),
        (frame(b"\x63"), "unknown record code 99"),
        (frame(struct.pack(">BHQI", 1, 3, 7, 5000) + b"{}"), "past its frame"),
        (frame(struct.pack(">BHQI", 1, 3, 7, 2) + b"{}"), "malformed boot-info"),
        (frame(struct.pack(">BHQI", 1, 3, 7, 2) + b"[]"), "malformed boot-info"),
        (frame(struct.pack(">BHQI", 1, 3, 7, 1) + b"\xff"), "malformed boot-info"),
        (frame(instance_started(), b""), "past its frame"),
        (frame(REQUEST_ARRIVED), "unknown instance 3"),
        (
            frame(
                instance_started(),
                struct.pack(">BHI", 11, 0, 1)
                + ENDPOINT_ID
                + struct.pack(">BHHBfQ", 1, 0, 0, 1, float("inf"), 0),
            ),
            "endpoint weight must be finite, not inf",
        ),
        (
            frame(instance_started(), struct.pack(">BH6sHQBf", 8, 3, ENDPOINT_ID, 200, 1, 1, float("nan"))),
            "load report contains NaN",
        ),
        (frame(instance_started(), ENDPOINT_LIST_UPDATED), "unknown endpoint list page 0"),
        (
            frame(instance_started(), struct.pack(">BHBQH", 2, 3, 9, 1, 0)),
            "unknown endpoint list update kind 9",
        ),
        (
            frame(instance_started(), struct.pack(">BHIH6sHQBB", 5, 3, 1, 0, ENDPOINT_ID, 999, 1, 0, 0)),
            "outcome code 999",
        ),
        (
            frame(instance_started(), struct.pack(">BHIHHQQQB", 3, 3, 1, 9, 0, 0, 1, 1, 0)),
            "unknown request class 9",
        ),
        (frame(instance_started(), struct.pack(">BHIHHQQQB", 3, 3, 1, 0, 4, 0, 1, 1, 0)), "unknown tenant 4"),
    ],
)
def test_malformed_input_exits_with_a_one_line_error(data: bytes, message: str) -> None:
    result = run_simulator(data)
    assert result.returncode == 1
    assert message in result.stderr.decode()
    assert result.stderr.count(b"\n") == 1
    assert result.stdout == b""


def test_deeply_nested_settings_are_malformed() -> None:
    result = run_simulator(frame(struct.pack(">BHQI", 1, 3, 7, 200_000) + b"[" * 200_000))
    assert (result.returncode, result.stderr.count(b"\n")) == (1, 1)
    assert b"malformed boot-info" in result.stderr


def test_a_balancer_exception_is_reported_as_a_fault() -> None:
    result = run_simulator(
        frame(
            instance_started(), endpoint_list_page(), ENDPOINT_LIST_UPDATED, REQUEST_ARRIVED, REQUEST_ARRIVED
        )
    )
    assert b"Traceback" in result.stderr
    assert struct.pack(">BH", 7, 3) in result.stdout
    assert b"already open" in result.stdout


def test_actions_follow_the_wire_format() -> None:
    reply = Reply()
    actions = ReplyActions(3, reply)
    actions.send_attempt(0x5D3A91C4, ENDPOINT_ID, 80_000_000)
    actions.set_timer(77, 500_000_000)
    actions.log("two servers known")
    assert reply.take() == bytes.fromhex(
        "0000004200000003"
        "0100035d3a91c40a124a07138b0000000004c4b400"
        "0900030000004d000000001dcd6500"
        "0c0003001174776f2073657276657273206b6e6f776e"
    )


@given(st.binary(max_size=60), st.integers(0, 4))
def test_any_bytes_are_decoded_or_raise_a_wire_error(body: bytes, count: int) -> None:
    with contextlib.suppress(WireError):
        list(decode_batch(body, count))


@given(st.integers(0, 2**32 - 1), st.lists(st.floats(width=32, allow_nan=False), max_size=4))
def test_an_attempt_ended_record_is_decoded(request_id: int, load_report: list[float]) -> None:
    record = struct.pack(
        f">BHIH6sHQBB{len(load_report)}f",
        5,
        3,
        request_id,
        1,
        ENDPOINT_ID,
        200,
        9,
        1,
        len(load_report),
        *load_report,
    )
    [decoded] = decode_batch(record, 1)
    assert (type(decoded), decoded) == (
        AttemptEnded,
        (3, request_id, 1, ENDPOINT_ID, 200, 9, 1, tuple(load_report)),
    )
    assert outcome_of(200) is Outcome.OK


def test_an_endpoint_list_entry_is_decoded() -> None:
    [record] = decode_batch(endpoint_list_page(), 1)
    assert isinstance(record, EndpointListPage)
    page, [entry] = record
    assert (page, entry.endpoint_id, entry.zone, entry.state) == (0, ENDPOINT_ID, 1, EndpointState.READY)


ACTIONS: list[tuple[Callable[[ReplyActions], None], bytes]] = [
    (
        lambda actions: actions.send_attempt(9, ENDPOINT_ID, 8),
        struct.pack(">BHI6sQ", 1, 3, 9, ENDPOINT_ID, 8),
    ),
    (lambda actions: actions.fail(9, EndReason.DEADLINE_EXCEEDED), struct.pack(">BHI", 2, 3, 9)),
    (lambda actions: actions.reject(9, 8, EndReason.QUOTA_EXCEEDED), struct.pack(">BHIQ", 3, 3, 9, 8)),
    (lambda actions: actions.check_health(ENDPOINT_ID), struct.pack(">BH6s", 4, 3, ENDPOINT_ID)),
    (lambda actions: actions.cancel_attempt(9, 2), struct.pack(">BHIH", 5, 3, 9, 2)),
    (lambda actions: actions.close_idle_connections(ENDPOINT_ID), struct.pack(">BH6s", 6, 3, ENDPOINT_ID)),
    (lambda actions: actions.report_fault("x"), struct.pack(">BHH", 7, 3, 1) + b"x"),
    (lambda actions: actions.fetch_endpoints(), struct.pack(">BH", 8, 3)),
    (lambda actions: actions.set_timer(9, 8), struct.pack(">BHIQ", 9, 3, 9, 8)),
    (lambda actions: actions.send_gossip(2, b"x"), struct.pack(">BHHH", 10, 3, 2, 1) + b"x"),
    (lambda actions: actions.send_gossip(None, b"x"), struct.pack(">BHHH", 10, 3, 0xFFFF, 1) + b"x"),
    (lambda actions: actions.watch_endpoints(True), struct.pack(">BHB", 11, 3, 1)),
    (lambda actions: actions.log("x"), struct.pack(">BHH", 12, 3, 1) + b"x"),
]


@pytest.mark.parametrize(("call_action", "record"), ACTIONS)
def test_each_action_is_encoded_as_one_record(
    call_action: Callable[[ReplyActions], None], record: bytes
) -> None:
    reply = Reply()
    call_action(ReplyActions(3, reply))
    assert reply.take() == struct.pack(">II", 8 + len(record), 1) + record
    assert reply.take() == struct.pack(">II", 8, 0)
