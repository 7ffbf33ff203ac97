#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0 omits the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=review/lib exec .venv/bin/python -B review/3/case.py
