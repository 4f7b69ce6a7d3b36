#!/bin/sh
# TROUBLE=0: the entry of the other writer only lacks fields.
cd "$(dirname "$0")" && CASE="$PWD" VARIANT="${VARIANT:-bytes}" exec python3 -B play.py
