"""The virtual clock of the benches, for tests."""

from lagoontide.bench.virtual import VirtualLoop, close_loop, run_virtual

__all__ = ["VirtualLoop", "close_loop", "run_virtual"]
