#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files of the standard library: this checks that they load.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/review/lib2" .venv/bin/python -B -c "import standins" || exit 2
