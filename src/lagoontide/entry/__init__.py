"""The daemon that callers reach."""
