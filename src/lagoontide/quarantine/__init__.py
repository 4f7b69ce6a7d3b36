"""Requests that make targets crash: evidence, trials and quarantine."""
