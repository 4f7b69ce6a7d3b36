"""How an accepted configuration reaches every process, and never reverts there."""
