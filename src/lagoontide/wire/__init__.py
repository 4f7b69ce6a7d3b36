"""Typed messages between the system's own processes, over pyzmq."""
