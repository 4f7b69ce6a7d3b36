"""The virtual clock of the benches, for tests."""

from lagoontide.bench.virtual import VirtualLoop, run_virtual

__all__ = ["VirtualLoop", "run_virtual"]
