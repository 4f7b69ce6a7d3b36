"""Forwarding of callers' requests to targets, and of the responses to callers."""
