#!/bin/sh
# The stand-ins are Python files without libraries: they are compiled, nothing else.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
