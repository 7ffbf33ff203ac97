"""Command `python -m scale.cold_start SEEDS [WORDS]`: runs scenarios and prints one line for each.

A line shows on how many of the seeds the observed endpoint was overloaded ("fell"), the load of the worst
window (maximum and mean over the seeds), the mean use of the endpoint's overload budget ("use") and the mean
share of requests that were served.
"""

from __future__ import annotations

from multiprocessing import Pool

import click

from .fleet import run_scenario
from .overload_check import OverloadResult
from .scenario import Scenario, scenarios

LARGE_SIZE = 3000
"""Gateways times endpoints above which only an eighth of the seeds is run (at least 4): runs take long."""


def _seed_count(scenario: Scenario, seeds: int) -> int:
    return max(4, seeds // 8) if scenario.gateways * scenario.endpoints > LARGE_SIZE else seeds


def _format_line(name: str, results: list[OverloadResult]) -> str:
    seeds = len(results)
    overloaded = sum(result.worst_window_share > 1 for result in results)
    return (
        f"{name:24} fell {overloaded:3}/{seeds}  worst {max(run.worst_window_share for run in results):.2f}  "
        f"mean worst {sum(run.worst_window_share for run in results) / seeds:.2f}  "
        f"use {sum(run.budget_used_share for run in results) / seeds:.2f}  "
        f"served {sum(run.served_share for run in results) / seeds:.3f}"
    )


@click.command()
@click.argument("seeds", type=click.IntRange(min=1))
@click.argument("words", metavar="[WORDS]...", nargs=-1)
def main(seeds: int, words: tuple[str, ...]) -> None:
    """Run each scenario, or those whose name contains one of WORDS, on SEEDS seeds."""
    with Pool() as pool:
        for name, scenario in scenarios():
            if words and not any(word in name for word in words):
                continue
            tasks = [(scenario, seed) for seed in range(_seed_count(scenario, seeds))]
            print(_format_line(name, pool.starmap(run_scenario, tasks, chunksize=1)), flush=True)


if __name__ == "__main__":
    main()
