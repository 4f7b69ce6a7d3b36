"""Which software version began each stream that a caller may take up again."""
