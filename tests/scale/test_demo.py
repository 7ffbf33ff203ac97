"""Demo of the README: it shows a served request and leaves no process running."""

from __future__ import annotations

import os
import re
import subprocess
import sys

import pytest

from scale import ROOT, demo

LIMIT_S = 20
"""Longest time in seconds that the demo may take."""


def test_demo_shows_a_served_request_and_stops_the_gateway() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "scale.demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert run.returncode == 0, run.stderr
    assert "GET /health/ready -> HTTP/1.1 200 OK" in run.stdout
    assert "GET /read/hello HTTP/1.1" in run.stdout
    assert run.stdout.count("HTTP/1.1 200 OK") == 2
    assert "served demo-1" in run.stdout
    assert "request id=demo-1" in run.stdout
    process = re.search(r"gateway: process (\d+)", run.stdout)
    assert process is not None
    with pytest.raises(ProcessLookupError):
        os.kill(int(process.group(1)), 0)


def test_gateway_that_exits_at_start_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(demo, "deployed_command", lambda: ("/bin/sh", "-c", "echo no such module >&2"))
    assert demo.main() == 1
    assert capsys.readouterr().err == "demo: the gateway has ended: no such module\n"


def test_gateway_that_never_listens_times_out(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(demo, "deployed_command", lambda: ("sleep", "60"))
    monkeypatch.setattr(demo, "RESPONSE_TIMEOUT_S", 0.3)
    assert demo.main() == 1
    assert capsys.readouterr().err == "demo: no response within 0 s\n"
