#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python files that need only
# the standard library, so building them means compiling them once as a check.
# The program under test is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standin/*.py [0-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins compile with $(python3 --version)"
