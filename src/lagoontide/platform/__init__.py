"""Clients of the platform: store, instance list and targets."""
