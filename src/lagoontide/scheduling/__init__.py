"""The agent's queue: order of work and concurrency limit."""
