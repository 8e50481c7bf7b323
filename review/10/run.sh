#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH=review/standins-2 PYTHONDONTWRITEBYTECODE=1 exec python3 review/10/case.py
