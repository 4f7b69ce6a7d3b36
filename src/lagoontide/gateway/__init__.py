"""The entry process on the platform: a reverse proxy for callers' requests."""
