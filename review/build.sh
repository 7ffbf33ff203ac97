#!/bin/sh
# Checks that the stand-ins and the cases can start: they are Python files that use only the standard library
# and run with the Python of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
for file in review/lib/*.py review/[0-9]*/*.py; do
    .venv/bin/python -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
