"""Stand-ins that speak the platform's protocols, for tests and benchmarks."""
