#!/bin/sh
# Checks that the stand-ins and the cases compile; they need Python 3.11 and
# its standard library only. The nodes need the build of the deploy file.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q standins [1-5]/*.py || exit 1
[ -d ../target/deps ] || echo 'target/deps is missing: build as the deploy file says' >&2
