#!/bin/sh
# The scripts' stand-ins need no build: they are Python, and use only its standard
# library. This checks that the interpreter can read them, and that the build of the
# deploy file has been run.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -d ../target/deps/marigold
