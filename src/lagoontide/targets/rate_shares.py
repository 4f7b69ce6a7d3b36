"""The share of this entry in the rate limits that targets name.

A limit holds for all entries together. A few of them, its holders, divide it; the
others send nothing to the target. All entries select the same holders by hash. Each
holder has a token bucket for one request, which is empty when its share begins. A limit
of N requests a second has at most N + 1 holders, so that a target gets at most 5 N + 1
requests in 4 s, whatever the number of entries. Changes of the holders add nothing to
that, as the next ones start with empty buckets. Probes of a limit that was not
confirmed add three at most.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from lagoontide.targets.choose import rendezvous_hash
from lagoontide.targets.rate_limits import RateLimit, RateLimits
from lagoontide.targets.records import Target

__all__ = ["RateShares"]

# A target with a lower limit still gets this many requests a second: its responses
# show the end of the limit.
MIN_RATE_PER_S = 0.25
# The holders are selected anew in this interval, as entries come and go.
SELECT_INTERVAL_S = 0.1
# A limit that was not named again for this long is due for a request that would
# otherwise go to another target.
DUE_AFTER_S = 2.0
# After this time without a response, the holders are taken to have no work for the
# target. One entry after the other then may send it one request, until one arrives.
UNCONFIRMED_S = 4.0
PROBE_TURN_S = 1.5
BUCKET_SIZE = 1.0
MIN_HOLDERS = 4
# Absorbs rounding when a reserved request's time has come.
EPSILON = 1e-9


@dataclass(slots=True)
class _Bucket:
    """Token bucket; a negative number of tokens is owed by requests already counted."""

    updated_at: float
    tokens: float = 0.0
    rate: float = 0.0
    limit: float | None = None
    probe_turn: int = 0
    selected_at: float = float("-inf")

    def refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(BUCKET_SIZE, self.tokens + self.rate * elapsed)
        self.updated_at = now

    def wait(self) -> float:
        missing = BUCKET_SIZE - self.tokens
        if missing <= EPSILON:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")


class RateShares:
    """Decides which requests this entry may send to targets that name rate limits.

    Parameters
    ----------
    name : str
        Name of this entry.
    members : callable
        Returns the names of the entries that divide the limits.
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(
        self,
        limits: RateLimits,
        name: str,
        members: Callable[[], Sequence[str]],
        clock: Callable[[], float],
    ) -> None:
        self.limits = limits
        self._name = name
        self._members = members
        self._clock = clock
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def wait(self, target: Target) -> float:
        """Return the seconds until this entry may send a request to a target.

        0 if it may do so now; infinity if it has no share of the target's limit.
        """
        wait = self.share_wait(target)
        pauses = self.limits.pauses
        return wait if pauses.is_empty else max(wait, pauses.wait(target))

    def share_wait(self, target: Target) -> float:
        """Return the same by the share alone, which holds for loans too."""
        bucket = self._bucket(target)
        return 0.0 if bucket is None else bucket.wait()

    def shortest_wait(self, targets: Iterable[Target]) -> float:
        """Return the shortest wait for one of some targets; 0 without targets."""
        if self.limits.is_empty:
            return 0.0
        return min(map(self.wait, targets), default=0.0)

    def admitting(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return the targets to which this entry may send a request now."""
        if self.limits.is_empty:
            return targets
        wait = self.share_wait if self.limits.pauses.is_empty else self.wait
        return [target for target in targets if wait(target) == 0.0]

    def is_due(self, target: Target) -> bool:
        """Return whether a target's limit has not been confirmed for too long."""
        limit = self.limits.get(target)
        return limit is not None and self._age(limit) > DUE_AFTER_S

    def take(self, target: Target) -> bool:
        """Count a request and return True, or return False if it may not be sent."""
        if self.wait(target) > 0.0:
            return False
        self.charge(target)
        return True

    def lend(self, target: Target) -> bool:
        """Count a request that another entry sends; return False if there is none."""
        bucket = self._bucket(target)
        if bucket is None or bucket.wait() > 0.0:
            return False
        bucket.tokens -= 1.0
        return True

    def lender(self, target: Target) -> str | None:
        """Return another entry that may have a turn at a target; None if none has."""
        limit = self.limits.get(target)
        members = self._members()
        if limit is None or self._name not in members:
            return None
        ranked = _rank(target, members)
        holders = _holder_count(limit, len(ranked))
        turn = _probe_turn(self._age(limit))
        lenders = [_prober(ranked, holders, turn)] if turn else ranked[:holders]
        # Entries without a share ask different holders.
        others = [name for name in lenders if name != self._name]
        return min(
            others, key=lambda name: rendezvous_hash(self._name, name), default=None
        )

    def charge(self, target: Target) -> None:
        """Count a request that is sent regardless; later ones wait for it."""
        if (bucket := self._bucket(target)) is not None:
            bucket.tokens -= 1.0
        self.limits.pauses.charge(target)

    def refund(self, target: Target) -> None:
        """Return the count of a request that was charged but not sent."""
        if (bucket := self._buckets.get(target.key)) is not None:
            bucket.tokens = min(BUCKET_SIZE, bucket.tokens + 1.0)

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop the buckets of all targets but those with the given keys."""
        for key in self._buckets.keys() - set(keep):
            del self._buckets[key]

    def _age(self, limit: RateLimit) -> float:
        return max(0.0, self._clock() - limit.observed_at)

    def _bucket(self, target: Target) -> _Bucket | None:
        """Return the bucket of a target with its present share; None if unlimited."""
        limit = self.limits.get(target)
        if limit is None:
            self._buckets.pop(target.key, None)
            return None
        now = self._clock()
        bucket = self._buckets.get(target.key)
        if bucket is None:
            bucket = self._buckets[target.key] = _Bucket(now)
        bucket.refill(now)
        is_current = now - bucket.selected_at < SELECT_INTERVAL_S
        if not is_current or bucket.limit != limit.rate:
            bucket.selected_at, bucket.limit = now, limit.rate
            self._set_share(bucket, target, limit)
        return bucket

    def _set_share(self, bucket: _Bucket, target: Target, limit: RateLimit) -> None:
        """Set the share, and the tokens with which a new share or probe turn starts."""
        members = self._members()
        ranked = _rank(target, members)
        holders = _holder_count(limit, len(ranked))
        turn = _probe_turn(self._age(limit))
        share = 0.0
        if not turn and self._name in ranked[:holders]:
            share = max(limit.rate or 0.0, MIN_RATE_PER_S) / holders
        if not turn:
            # Tokens are kept only while a share goes on; debts always are.
            is_kept = share > 0.0 and bucket.rate > 0.0
            bucket.tokens = bucket.tokens if is_kept else min(bucket.tokens, 0.0)
        elif turn != bucket.probe_turn:
            is_prober = self._name == _prober(ranked, holders, turn)
            bucket.tokens = BUCKET_SIZE if is_prober else min(bucket.tokens, 0.0)
        if (share, turn) != (bucket.rate, bucket.probe_turn):
            logger.bind(target=target.id, service=target.service).info(
                "share of target's rate limit: {:.3g}/s of {:g}/s named {:.2f} s ago, "
                "{} holders of {} entries, probe turn {}, {:.2f} requests saved",
                share,
                limit.rate,
                self._age(limit),
                holders,
                len(ranked),
                turn,
                bucket.tokens,
            )
        bucket.rate, bucket.probe_turn = share, turn


def _rank(target: Target, members: Sequence[str]) -> list[str]:
    """Return the entries in the order in which they become holders."""
    return sorted(members, key=lambda name: rendezvous_hash(target.id, name))


def _prober(ranked: Sequence[str], holders: int, turn: int) -> str:
    """Return the entry that may probe a target in a turn; empty without entries."""
    return ranked[(holders + turn - 1) % len(ranked)] if ranked else ""


def _holder_count(limit: RateLimit, members: int) -> int:
    """Return how many entries divide a limit.

    Each holder may send one request more than its share in a short time, so that high
    limits have fewer holders than requests a second.
    """
    rate = min(limit.rate or 0.0, 2.0 * members)
    return min(members, 1 + int(rate), MIN_HOLDERS + int(rate / 2.0))


def _probe_turn(age: float) -> int:
    """Return the number of the probe turn, from 1; 0 while the holders may send.

    Parameters
    ----------
    age : float
        Seconds since any entry received a response of the target.
    """
    if age < UNCONFIRMED_S:
        return 0
    return 1 + int((age - UNCONFIRMED_S) // PROBE_TURN_S)
