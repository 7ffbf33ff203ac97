"""Command `python -m scale`: arguments, records and exit codes."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import pytest

from scale.__main__ import main
from scale.experiments import EXPERIMENTS, Experiment


def run_command(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["scale", *arguments])
    return main()


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["odd"],
        ["hosts", "--size", "x"],
        ["hosts", "--size", "0"],
        ["hosts", "--size", "75001", "--plays", "1", "--limit-s", "1"],
        ["hosts", "--plays", "0"],
        ["hosts", "--seed", "-1"],
        ["hosts", "--set", "odd=1"],
        ["hosts", "--set", "zones=many"],
        ["hosts", "--out", "/dev/null/x"],
        ["hosts", "--odd"],
        ["hosts", "--limit-s", "0"],
    ],
)
def test_invalid_arguments_print_one_line_and_exit_2(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(monkeypatch, *arguments) == 2
    out, err = capsys.readouterr()
    assert (out, err.count("\n")) == ("", 1)
    assert err.startswith("scale: ")


def test_failed_and_timed_out_runs_are_recorded_and_later_runs_continue(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run(size: int, seed: int) -> dict[str, float]:
        if size == 1:
            raise OSError("no memory")
        if size == 2:
            await asyncio.Event().wait()
        return {"cost_ms": float(seed)}

    monkeypatch.setitem(EXPERIMENTS, "hosts", Experiment(run, (1, 2, 3), 9))
    arguments = ["hosts", "--plays", "1", "--seed", "7", "--limit-s", "1", "--out", str(tmp_path / "r")]
    assert run_command(monkeypatch, *arguments) == 1
    records = [json.loads(line) for line in (tmp_path / "r").read_text().splitlines()]
    assert [record["failed"] for record in records] == ["OSError: no memory", "TimeoutError: ", ""]
    assert (records[2]["figures"], records[2]["command"]) == ({"cost_ms": 7.0}, arguments)
    assert "cost_ms" in capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [["latency", "--size", "0"], ["latency", "--set", "unknown=1"], ["latency", "--set", "rate=much"]],
)
def test_invalid_options_of_the_latency_experiment_exit_2(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sys.argv", ["scale", *arguments])
    assert main() == 2
