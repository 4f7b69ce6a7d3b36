"""Division of the stage targets of a large service into shards.

Each shard has an owner of its own.
"""

from collections.abc import Sequence

from lagoontide.targets.choose import rendezvous_hash
from lagoontide.targets.records import Target

__all__ = ["pick_shard", "shard_count", "shard_members", "shard_of"]

# Upper bound of the mean number of stage targets in a shard: enough to fill calls of
# every kind, and few enough for the processor of one entry.
TARGETS_PER_SHARD = 16


def shard_count(targets: int) -> int:
    """Return the number of shards of a service with this many targets."""
    return max(1, -(-targets // TARGETS_PER_SHARD))


def shard_of(target: Target, shards: int) -> int:
    """Return the shard of a target.

    It is chosen by hash, so that entries agree without communication. The text "pool"
    is part of the hash input, on which entries of all versions have to agree.
    """
    return rendezvous_hash("pool", target.id) % shards


def shard_members(targets: Sequence[Target], shard: int) -> tuple[Target, ...]:
    """Return the targets of a service that belong to a shard."""
    shards = shard_count(len(targets))
    if shards == 1:
        return tuple(targets)
    return tuple(target for target in targets if shard_of(target, shards) == shard)


def pick_shard(targets: Sequence[Target], request_id: str) -> int:
    """Return the shard for a request, by hash; requests per shard follow its size."""
    if not targets:
        return 0
    chosen = max(targets, key=lambda target: rendezvous_hash(request_id, target.id))
    return shard_of(chosen, shard_count(len(targets)))
