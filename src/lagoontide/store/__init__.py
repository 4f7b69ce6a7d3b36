"""Clients of the key-value store and of the platform's instance list."""
