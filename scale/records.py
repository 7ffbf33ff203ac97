"""Records of runs, one JSON line each; tables of their figures, and linear fits of figures over sizes."""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from pathlib import Path
from statistics import median
from typing import NamedTuple, TypedDict

import numpy as np
from tabulate import tabulate

from . import ROOT

__all__ = ["Fit", "Prediction", "RunRecord", "append_record", "fit", "format_fits", "format_table"]

EXTRAPOLATION_FACTOR = 10
"""Multiple of the largest size run at which fits are evaluated; the result is marked as extrapolated."""
MIN_POINTS = 3
"""Minimum number of points of a fit; they must have at least two sizes."""


class RunRecord(TypedDict):
    """The stored record of one run."""

    experiment: str
    size: int
    seed: int
    play: int
    """Number of the run among the runs of its size, from 0."""
    figures: dict[str, float]
    """Figures by name, with the unit at the end of the name; empty if the run failed."""
    failed: str
    """Reason if the run failed, else empty."""
    git: str
    """Version of the project, from `git describe`."""
    command: list[str]
    """Command-line arguments."""
    at: str
    """End of the run in UTC, ISO 8601."""


class Prediction(NamedTuple):
    """A value predicted by a fit, and whether its size is beyond the largest size that was run."""

    value: float
    extrapolated: bool


class Fit(NamedTuple):
    """A linear fit of a figure over sizes; `slope_standard_error` is the standard error of the slope."""

    slope: float
    slope_standard_error: float
    intercept: float
    largest_size: float

    def predict(self, size: float) -> Prediction:
        """Return the predicted value at a size."""
        return Prediction(self.intercept + self.slope * size, size > self.largest_size)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares.  Raises ValueError for fewer than three points or only one size."""
    if len(sizes) < MIN_POINTS or len(set(sizes)) < 2 or len(sizes) != len(values):
        raise ValueError("a fit needs three points at two sizes")
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    deviations = x - x.mean()
    slope = float(deviations @ y / (deviations @ deviations))
    intercept = float(y.mean() - slope * x.mean())
    residuals = y - intercept - slope * x
    standard_error = float(np.sqrt(residuals @ residuals / (len(x) - 2) / (deviations @ deviations)))
    return Fit(slope, standard_error, intercept, float(x.max()))


def append_record(
    path: Path,
    experiment: str,
    size: int,
    seed: int,
    run_number: int,
    command: Sequence[str],
    figures: dict[str, float],
    failed: str = "",
) -> RunRecord:
    """Append the record of a run to the file, with the version and the current time; return the record."""
    record: RunRecord = {
        "experiment": experiment,
        "size": size,
        "seed": seed,
        "play": run_number,
        "figures": figures,
        "failed": failed,
        "git": _version(),
        "command": list(command),
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
    }
    with path.open("a") as file:
        file.write(json.dumps(record) + "\n")
    return record


def _version() -> str:
    describe = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return describe.stdout.strip() or "unknown"


def _points_by_figure(records: Iterable[RunRecord]) -> dict[str, list[tuple[int, float]]]:
    points: dict[str, list[tuple[int, float]]] = {}
    for record in records:
        for name, value in record["figures"].items():
            points.setdefault(name, []).append((record["size"], value))
    return points


def format_table(records: Iterable[RunRecord]) -> str:
    """Format a row per figure and a column per size: the median, and the range if there are several runs."""
    points = _points_by_figure(records)
    sizes = sorted({size for pairs in points.values() for size, _ in pairs})
    rows = []
    for name, pairs in points.items():
        cells = []
        for size in sizes:
            values = [value for point_size, value in pairs if point_size == size]
            value_range = f" ({min(values):.4g}..{max(values):.4g})" if len(values) > 1 else ""
            cells.append(f"{median(values):.4g}{value_range}" if values else "")
        rows.append([name, *cells])
    return tabulate(rows, ["figure", *map(str, sizes)])


def format_fits(records: Iterable[RunRecord]) -> str:
    """Format a row per figure with enough points.

    It has the slope, its standard error, the intercept, and an extrapolated value.
    """
    rows = []
    for name, pairs in _points_by_figure(records).items():
        sizes, values = [size for size, _ in pairs], [value for _, value in pairs]
        if len(pairs) < MIN_POINTS or len(set(sizes)) < 2:
            continue
        fitted = fit(sizes, values)
        extrapolated = fitted.predict(EXTRAPOLATION_FACTOR * fitted.largest_size)
        rows.append(
            [
                name,
                f"{fitted.slope:.4g}",
                f"{fitted.slope_standard_error:.2g}",
                f"{fitted.intercept:.4g}",
                f"{extrapolated.value:.4g}{' (extrapolated)' if extrapolated.extrapolated else ''}",
            ]
        )
    if not rows:
        return "no fit: at least three runs at two sizes are needed"
    return tabulate(
        rows, ["figure", "per unit of size", "+-", "at 0", f"at {EXTRAPOLATION_FACTOR} x the largest"]
    )
