"""Runs the example in README.md, so that it stays correct."""

import re
from pathlib import Path

import pytest

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code_block = re.search(r"```python\n(.*?)```", README, re.S)
    assert code_block is not None
    exec(compile(code_block.group(1), "README.md", "exec"), {"__name__": "readme"})
    output = capsys.readouterr().out
    assert output.startswith("send 1 ")
    assert "fail" not in output
    assert "reject" not in output
    assert output.endswith("served by the other endpoint: True\n")
