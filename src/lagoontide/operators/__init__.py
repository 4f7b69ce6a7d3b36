"""The operators' port of an entry: its application and its client."""
