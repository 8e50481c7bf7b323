#!/bin/sh
# Checks the stand-ins of review/6 to review/10. They are Python that needs the
# standard library only, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo 'run the build of the deploy file first' >&2; exit 1; }
for source in standins-2/world.py [6-9]/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
