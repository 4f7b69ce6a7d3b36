"""Targets: discovery, health, load, selection and connections."""
