"""Routing configuration: routes, services, client accounts and request urgency."""
