#!/bin/sh
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" && CASE="$PWD" exec python3 -B play.py
