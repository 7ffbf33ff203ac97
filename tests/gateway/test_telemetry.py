"""Tests of the gateway's log: traces of requests that end abnormally, and the summary line."""

from __future__ import annotations

import re
import socket

import pytest

from balancer import MS, SECOND
from gateway.telemetry import TRACES_PER_SUMMARY, CounterName, Phase, Telemetry, Trace
from tests.support.loopback import FakeEndpoint, GatewayHarness, request, wait_until


def _fields(line: str) -> dict[str, str]:
    return dict(part.split("=") for part in line.split())


@pytest.fixture(autouse=True)
def _log_level(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")


def test_a_trace_names_the_request_and_each_step_with_its_time() -> None:
    trace = Trace(b"9b1f", 7, 100 * MS, SECOND, SECOND)
    trace.add_step(SECOND + 3 * MS, Phase.SENT, "h0")
    trace.add_step(SECOND + 120 * MS, Phase.CLIENT_GONE)
    assert trace.line() == (
        "request id=9b1f connection=7 timeout_ms=100 read@0.0 sent:h0@3.0 client_gone@120.0"
    )
    assert trace.is_overdue(SECOND + 101 * MS)
    assert not trace.is_overdue(SECOND + 99 * MS)


def test_a_flood_of_failures_writes_a_bounded_number_of_lines(caplog: pytest.LogCaptureFixture) -> None:
    telemetry = Telemetry()
    for _ in range(5 * TRACES_PER_SUMMARY):
        telemetry.finish_trace(Trace(b"r", 1, MS, 0, 0), is_abnormal=True)
    assert len(caplog.records) == TRACES_PER_SUMMARY
    telemetry.write_summary(SECOND)
    assert _fields(caplog.messages[-1])["traces_dropped"] == str(4 * TRACES_PER_SUMMARY)


def test_the_summary_has_counts_since_the_last_one(caplog: pytest.LogCaptureFixture) -> None:
    telemetry = Telemetry()
    telemetry.count(CounterName.REJECTED, "table_full")
    telemetry.count(CounterName.REJECTED, "table_full")
    telemetry.record_lag(12 * MS)
    telemetry.write_summary(SECOND, open_requests=3)
    telemetry.write_summary(SECOND + SECOND // 2)
    telemetry.write_summary(2 * SECOND)
    first, second = map(_fields, caplog.messages)
    assert (first["rejected.table_full"], first["lag_ms"], first["open_requests"]) == ("2", "12", "3")
    assert "rejected.table_full" not in second
    assert second["lag_ms"] == "0"


def test_the_age_of_unread_bytes_is_in_the_summary(caplog: pytest.LogCaptureFixture) -> None:
    telemetry = Telemetry()
    local, remote = socket.socketpair()
    telemetry.record_read_age(local)  # not a TCP socket, so it has no age
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as client,
    ):
        accepted, _ = listener.accept()
        client.send(b"x")
        age_ms = 0
        while age_ms < 40:  # the age grows until the data is read
            telemetry.record_read_age(accepted)
            telemetry.write_summary(0)
            age_ms = int(_fields(caplog.messages[-1])["unread_ms"])
            telemetry = Telemetry()
    for sock in (local, remote, accepted):
        sock.close()


async def test_a_request_whose_client_left_in_time_is_not_traced(caplog: pytest.LogCaptureFixture) -> None:
    """Nor may the previous request on its connection, ended before its deadline, cause a trace of it."""
    async with GatewayHarness() as harness:
        endpoint = FakeEndpoint(reply=None)
        await harness.start(endpoint)
        client = await harness.connect()
        client.send(request(request_id="timed-out", X_Timeout_Ms="60"))
        received = await endpoint.received.get()
        assert (await client.read_response())[0] in (502, 503)
        await received.wait_closed()
        client.send(request(request_id="abandoned"))
        await endpoint.received.get()
        client.writer.close()
        await wait_until(lambda: not harness.gateway.dispatcher.open_requests())
    assert not [line for line in caplog.messages if "abandoned" in line]


async def test_all_requests_are_traced_on_demand(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("EDGE_TRACE", "all")
    async with GatewayHarness() as harness:
        await harness.start(FakeEndpoint())
        client = await harness.connect()
        assert (await client.exchange(request(request_id="good-one")))[0] == 200
        assert (await client.exchange(request(request_id="bad-one", omit_header="X-Tenant-Id")))[0] == 400
        client.send(b"GET /half")
        client.writer.close()
        await wait_until(lambda: not harness.gateway.server.open_connections)
    invalid = "invalid_request id=bad-one connection=1 reason=the_tenant_is_missing_or_unknown"
    assert invalid in caplog.messages
    assert "closed connection=1 reason=by_client incomplete=1" in caplog.messages
    lines = [line for line in caplog.messages if "good-one" in line]
    assert len(lines) == 1
    assert re.fullmatch(
        r"request id=good-one connection=1 timeout_ms=6000 "
        r"read@\S+ sent:h0@\S+ attempt_ended:ok@\S+ response:served@\S+",
        lines[0],
    )
