"""Load, failures and measurements; not part of a running system."""
