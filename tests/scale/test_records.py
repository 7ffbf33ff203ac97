"""Run records, their table and their linear fits."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from scale.records import append_record, fit, format_fits, format_table


def test_fit_has_slope_and_standard_error_and_marks_extrapolated_figures() -> None:
    exact = fit([1, 2, 3, 3], [5, 7, 9, 9])
    assert [exact.slope, exact.intercept, exact.slope_standard_error] == pytest.approx(
        [2.0, 3.0, 0.0], abs=1e-9
    )
    assert [exact.predict(3).value, exact.predict(30).value] == pytest.approx([9.0, 63.0])
    assert [exact.predict(3).extrapolated, exact.predict(30).extrapolated] == [False, True]
    noisy = fit([0, 1, 2], [0, 1, 1])
    assert [noisy.slope, noisy.slope_standard_error] == pytest.approx([0.5, 12**-0.5])
    for sizes in ([1, 2], [2, 2, 2]):
        with pytest.raises(ValueError, match="three points at two sizes"):
            fit(sizes, [1.0] * len(sizes))


def test_each_run_is_one_line_and_a_failed_run_has_no_figures(tmp_path: Path) -> None:
    out = tmp_path / "r"
    records = [append_record(out, "x", size, 1, 0, ["x"], {"cost_ms": 2.0 * size}) for size in (1, 2, 4)]
    records.append(append_record(out, "x", 8, 1, 0, ["x"], {}, "OSError: no"))
    assert [json.loads(line) for line in out.read_text().splitlines()] == records
    assert set(records[0]) == {
        "experiment",
        "size",
        "seed",
        "play",
        "figures",
        "failed",
        "git",
        "command",
        "at",
    }
    head, _, line = format_table(records).splitlines()
    assert (head.split(), line.split()) == (["figure", "1", "2", "4"], ["cost_ms", "2", "4", "8"])
    assert "80 (extrapolated)" in format_fits(records)
    assert "no fit" in format_fits(records[:2])
