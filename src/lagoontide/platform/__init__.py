"""Adapters between the platform's wire formats and lagoontide's own records."""
