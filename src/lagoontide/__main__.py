"""Runs the command line: ``python -m lagoontide``."""

from lagoontide.cli import main

main()
