#!/bin/sh
# The script of case 2 with another entry. TROUBLE=0: it only lacks fields.
cd "$(dirname "$0")" && CASE="$PWD" VARIANT=number exec python3 ../2/play.py
