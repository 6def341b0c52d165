#!/bin/sh
# All stand-ins that the scripts start are Python programs, which need no build: review/standins.py and
# the store of scripts/platformbed.py. This checks that they can be loaded and that the program is there.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, pathlib, sys
for name in sys.argv[1:]: ast.parse(pathlib.Path(name).read_text())' \
    scripts/platformbed.py review/standins.py review/*/case.py
test -x target/monsoonledge || echo "note: target/monsoonledge is missing; build the deploy file first"
