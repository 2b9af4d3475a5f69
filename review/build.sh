#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies, so that there is nothing to compile; this
# checks that the interpreter is recent enough and reads all of them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for program in common/harness.py [1-5]/play.py; do
    [ -e "$program" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
