"""At most once across a caller's own retries."""
