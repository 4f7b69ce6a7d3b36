#!/usr/bin/env bash
# Prepares the scripts of the second review, after the build of the deploy file. Their
# stand-ins (standins_2.py, of the standard library only) need no build; this checks that
# they can be read by the Python that runs the entries, and that its libraries are there.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
for file in review/standins_2.py review/{6,7,8,9}/case.py review/{slow,ids,pipelined}_2.py; do
    python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
