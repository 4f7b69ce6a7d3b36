#!/bin/sh
# The stand-ins of the third review are Python and need its standard library only, so
# that nothing has to be built: this checks that they can be imported and parsed.
cd "$(dirname "$0")" || exit 1
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
python3 -c 'import standins_3' || exit 1
for folder in 11 12 13 14 15; do
    for file in "$folder"/*.py; do
        [ -e "$file" ] || continue
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
    done
done
