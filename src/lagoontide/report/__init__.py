"""What operators see: service-level burn, traces of requests and status."""
