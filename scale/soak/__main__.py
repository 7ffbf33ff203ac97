"""`python -m scale.soak FIRST LAST`: play these seeds of the soak, and print a line for each."""

from __future__ import annotations

import sys

import click
import uvloop

from .play import play
from .scenario import make_scenario


@click.command()
@click.argument("first", type=int)
@click.argument("last", type=int)
def main(first: int, last: int) -> None:
    """Play the seeds FIRST to LAST; exit with status 1 if a rule was broken."""
    has_failed = False
    for seed in range(first, last + 1):
        scenario = make_scenario(seed)
        report = uvloop.run(play(scenario))
        click.echo(f"{report}; {scenario.longest_timeout_s} s, crowd {scenario.crowd}")
        for violation in report.violations:
            click.echo(f"    {violation}")
        has_failed = has_failed or bool(report.violations)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
