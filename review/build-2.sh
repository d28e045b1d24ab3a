#!/bin/sh
# Prepares the stand-ins of the second review's scripts (cases 6 to 8). They are
# Python 3.11 with its standard library, so that they only have to be readable.
set -e
cd "$(dirname "$0")"
for f in standin-2/fleet2.py [6-8]/case.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
python3 -B -c 'import tomllib'
test -x ../target/hsdirect || echo "build hsdirect with the command of deploy/system.toml first"
