"""A short soak with fixed seeds, and what its checks find."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from typing import Any

import pytest

from scale import ROOT
from scale.reserved_address import ReservedAddress
from scale.soak.checks import Kill, find_violations
from scale.soak.clients import CLOSED, NO_RESPONSE, Result
from scale.soak.scenario import make_scenario

SHORT_SOAKS = ((1, 4), (12, 15), (24, 27), (34, 37), (45, 48), (54, 57))
"""Ranges of seeds that are played at the same time; 16 of the 24 have a crowd."""
SOAK_TIMEOUT_S = 240


def result(**fields: Any) -> Result:
    values = {"request_id": "r", "class_name": "once", "gateway": "n0", "incarnation": 0, "sent_at": 10.0}
    return Result(
        **{"is_new_connection": False, "timeout_s": 1.0, "status": 200, "ended_at": 10.5, **values, **fields}
    )


@pytest.mark.parametrize(
    ("fields", "arrivals", "rule"),
    [
        ({}, [10.1], ""),
        ({"ended_at": 11.5}, [10.1], ""),
        ({"ended_at": 11.6}, [10.1], "a response after its time"),
        ({"status": NO_RESPONSE, "ended_at": 12.5}, [10.1], "no response"),
        ({"status": CLOSED}, [], ""),
        ({"status": CLOSED}, [10.1], "forwarded, then closed without a response"),
        ({"status": CLOSED, "is_new_connection": True}, [], "closed without a response on a new connection"),
        ({"status": CLOSED, "incarnation": 1}, [], "unanswered at SIGKILL"),
        ({"status": NO_RESPONSE, "left_at": 10.2}, [10.3], ""),
        ({"status": NO_RESPONSE, "left_at": 10.2}, [10.4], "an attempt began after its client had left"),
        ({}, [10.1, 10.2], "a request that must not be repeated ran twice"),
        ({"class_name": "read"}, [10.1, 10.2], ""),
    ],
)
def test_broken_rules_are_found(fields: dict[str, Any], arrivals: list[float], rule: str) -> None:
    violations = find_violations([result(**fields)], {"r": arrivals}, [Kill("n0", 1)], 0.0)
    assert [violation.rule for violation in violations] == ([rule] if rule else [])


def test_a_seed_always_gives_the_same_scenario() -> None:
    assert make_scenario(5) == make_scenario(5)
    scenarios = [make_scenario(seed) for seed in range(60)]
    assert {bool(scenario.crowd) for scenario in scenarios} == {False, True}
    assert {scenario.longest_timeout_s for scenario in scenarios} == {0.5, 0.8, 1.0, 1.5, 3.0}


def test_no_other_socket_takes_the_port_of_a_gateway_that_is_not_running() -> None:
    reserved = ReservedAddress()
    try:
        for _ in range(2):  # a gateway starts, ends and starts again
            with socket.socket() as other, pytest.raises(OSError, match="Address already in use"):
                other.bind(reserved.address)
            with socket.create_server(reserved.address):
                socket.create_connection(reserved.address, timeout=1).close()
    finally:
        reserved.release()


def test_a_short_soak_breaks_no_rule() -> None:
    """Report 168279; the long run is started by hand: `python -m scale.soak 1 60`."""
    soaks = [
        subprocess.Popen(
            [sys.executable, "-m", "scale.soak", *map(str, seeds)],
            cwd=ROOT,
            env=os.environ,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for seeds in SHORT_SOAKS
    ]
    outputs = [soak.communicate(timeout=SOAK_TIMEOUT_S)[0] for soak in soaks]
    assert [soak.returncode for soak in soaks] == [0] * len(soaks), "\n".join(outputs)
