#!/usr/bin/env bash
# Runs this case; TROUBLE=0 leaves the disruption out. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 -c "import tomllib" || exit 2 # Python 3.11 or later
exec python3 review/2/run.py
