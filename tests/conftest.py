"""Configuration of the test suite: deterministic Hypothesis runs, time limits and known failures.

KNOWN-RED.txt in the project root lists tests that fail because of an unfixed defect, one per line: test id,
cause and issue, separated by `|`.  Listed tests run, are reported at the end and do not fail the suite.  A
listed test that passes fails the suite, so that the commit with its fix removes it from the list.
"""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop
from _pytest.terminal import TerminalReporter
from hypothesis import settings

from tests.support.loopback import TEST_TIMEOUT_S
from tests.support.processes import kill_started_gateways

KNOWN_FAILURES_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3

# The same examples in every run and no deadline per example make the result deterministic.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


def _read_known_failures() -> dict[str, str]:
    """Return the cause and issue of each known failure by test id."""
    if not KNOWN_FAILURES_PATH.exists():
        return {}
    known_failures = {}
    for line in KNOWN_FAILURES_PATH.read_text().splitlines():
        if line.strip():
            test, reason = line.split("|", 1)
            known_failures[test.strip()] = reason.strip()
    return known_failures


@pytest.fixture(scope="session")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """Run asynchronous tests on uvloop, as the gateway does."""
    return uvloop.EventLoopPolicy()


@pytest.fixture(autouse=True)
def _kill_started_gateways() -> Iterator[None]:
    """Kill the gateway processes that a test started, even if the test failed."""
    yield
    kill_started_gateways()


def _with_time_limit(test: Callable[..., Awaitable[None]]) -> Callable[..., Awaitable[None]]:
    """Wrap a test so that it fails once it exceeds the time limit."""

    @functools.wraps(test)
    async def run(*args: Any, **fixtures: Any) -> None:
        await asyncio.wait_for(test(*args, **fixtures), TEST_TIMEOUT_S)

    return run


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Apply the time limit to asynchronous tests and mark known failures as expected.

    A KNOWN-RED.txt with too many lines is an error, and so is an unknown test id in a run of the full suite.
    """
    known_failures = _read_known_failures()
    if len(known_failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists {len(known_failures)} tests; the maximum is {MAX_KNOWN_FAILURES}"
        )
    selected_paths = {Path(argument).resolve() for argument in config.args}
    is_full_suite = selected_paths <= {KNOWN_FAILURES_PATH.parent, Path(__file__).parent}
    missing = known_failures.keys() - {item.nodeid for item in items}
    if missing and is_full_suite:
        raise pytest.UsageError(f"KNOWN-RED.txt lists unknown tests: {', '.join(sorted(missing))}")
    for item in items:
        if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
            item.obj = _with_time_limit(item.obj)
        if reason := known_failures.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the known failures at the end of the run."""
    for test, reason in _read_known_failures().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
