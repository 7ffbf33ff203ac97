"""`python -m scale EXPERIMENT`: runs an experiment for each size, records each run, prints table and fits."""

from __future__ import annotations

import asyncio
import inspect
import sys
from pathlib import Path

import click
import uvloop

from .experiments import EXPERIMENTS, Experiment
from .records import append_record, format_fits, format_table


def _parse_options(experiment: Experiment, assignments: tuple[str, ...]) -> dict[str, float]:
    """Parse NAME=NUMBER texts into options of the experiment.  Raises click.BadParameter."""
    known = list(inspect.signature(experiment.run).parameters)[2:]
    options: dict[str, float] = {}
    for text in assignments:
        name, _, value = text.partition("=")
        if name not in known:
            raise click.BadParameter(
                f"{name!r} is not an option of this experiment; its options are {', '.join(known)}"
            )
        try:
            options[name] = float(value) if "." in value else int(value)
        except ValueError:
            raise click.BadParameter(f"{text!r} is not of the form NAME=NUMBER") from None
    return options


@click.command(help=f"Run an experiment ({', '.join(sorted(EXPERIMENTS))}) over sizes, several times each.")
@click.argument("experiment", metavar="EXPERIMENT", type=click.Choice(sorted(EXPERIMENTS)))
@click.option("--size", "sizes", type=click.IntRange(min=1), multiple=True, help="One size; may be repeated.")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option(
    "--plays", "runs", type=click.IntRange(1, 100), default=3, show_default=True, help="Runs of each size."
)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("logs/scale.jsonl"),
    show_default=True,
    help="File to which records are appended.",
)
@click.option(
    "--set", "assignments", metavar="NAME=NUMBER", multiple=True, help="An option of the experiment."
)
@click.option(
    "--limit-s",
    type=click.FloatRange(min=1),
    default=120.0,
    show_default=True,
    help="Time limit of a run in seconds; a run that takes longer fails.",
)
def command(
    experiment: str,
    sizes: tuple[int, ...],
    seed: int,
    runs: int,
    out: Path,
    assignments: tuple[str, ...],
    limit_s: float,
) -> int:
    """Run the experiment; return 0 if all runs succeeded, else 1."""
    chosen = EXPERIMENTS[experiment]
    options = _parse_options(chosen, assignments)
    if max(sizes, default=0) > chosen.max_size:
        raise click.BadParameter(f"the maximum size of {experiment} is {chosen.max_size}")
    try:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.open("a").close()
    except OSError as error:
        raise click.BadParameter(f"{out}: {error.strerror}") from None
    records = []
    for run in range(runs):
        for size in sizes or chosen.sizes:
            figures, failed = _run(chosen, size, seed + run, options, limit_s)
            records.append(
                append_record(out, experiment, size, seed + run, run, sys.argv[1:], figures, failed)
            )
            print(f"{experiment} {size} run {run}: {failed or 'done'}", file=sys.stderr, flush=True)
    print(format_table(records))
    print()
    print(format_fits(records))
    return int(any(record["failed"] for record in records))


def _run(
    experiment: Experiment, size: int, seed: int, options: dict[str, float], limit_s: float
) -> tuple[dict[str, float], str]:
    """Return the figures of one run, and the reason if it failed (else an empty text)."""

    async def run_with_timeout() -> dict[str, float]:
        return await asyncio.wait_for(experiment.run(size, seed, **options), limit_s)

    try:
        return uvloop.run(run_with_timeout()), ""
    except (OSError, RuntimeError, ValueError) as error:  # TimeoutError is an OSError
        return {}, f"{type(error).__name__}: {error}"


def main() -> int:
    """Run the command line; return 0 if all runs succeeded, 1 if one failed, 2 for invalid arguments."""
    try:
        return int(command.main(standalone_mode=False, prog_name="scale") or 0)
    except click.ClickException as error:
        print(f"scale: {' '.join(error.format_message().split())}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
