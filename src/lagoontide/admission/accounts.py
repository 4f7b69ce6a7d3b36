"""Authentication, authorization and rate limits of client accounts."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from lagoontide.configuration.document import Account, Document, Priority, Route
from lagoontide.errors import RequestRejected

__all__ = ["Accounts", "TokenBucket"]

STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_TOO_MANY_REQUESTS = 429


@dataclass(slots=True)
class TokenBucket:
    """A token bucket.

    Attributes
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Maximum number of tokens in the bucket.
    level : float
        Tokens in the bucket at the time ``at``.
    at : float
        Time of the last update.
    """

    rate: float
    burst: float
    level: float
    at: float

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level >= 1:
            self.level -= 1
            return 0.0
        return (1 - self.level) / self.rate


class Accounts:
    """Client accounts of the current configuration document and their token buckets.

    An account's limit applies to all entries together, without communication between
    them: the load balancer spreads callers evenly, so each entry grants an equal part
    of the limit.

    Parameters
    ----------
    count_entries : callable
        Returns the number of entries, including this one.
    """

    def __init__(self, count_entries: Callable[[], int]) -> None:
        self._count_entries = count_entries
        self._by_hash: dict[str, Account] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def update(self, document: Document) -> None:
        """Replace the accounts by those of a new document; bucket levels are kept."""
        self._by_hash = {
            digest: account
            for account in document.accounts.values()
            for digest in account.token_hashes
        }
        self._buckets = {
            name: self._make_bucket(account)
            for name, account in document.accounts.items()
        }

    def _make_bucket(self, account: Account) -> TokenBucket:
        burst = float(account.burst)
        old = self._buckets.get(account.name)
        if old is None:
            return TokenBucket(account.requests_per_second, burst, burst, 0.0)
        level = min(old.level, burst)
        return TokenBucket(account.requests_per_second, burst, level, old.at)

    def authenticate(self, token: str) -> Account:
        """Return the account of a bearer token, or raise RequestRejected 401."""
        account = self._by_hash.get(hashlib.sha256(token.encode()).hexdigest())
        if account is None:
            raise RequestRejected(
                STATUS_UNAUTHORIZED,
                "the bearer token is missing or belongs to no client account",
                step="sign-in",
            )
        return account

    def admit(
        self, account: Account, route: Route, priority: Priority, now: float
    ) -> None:
        """Take a token for a request of an account.

        Raises
        ------
        RequestRejected
            403 if the account may not use the route or the priority; 429 if it is
            over its rate limit.
        """
        if route.name not in account.routes:
            raise RequestRejected(
                STATUS_FORBIDDEN,
                f"account {account.name!r} may not use route {route.name!r}",
                step="admission",
            )
        if priority not in account.priorities:
            raise RequestRejected(
                STATUS_FORBIDDEN,
                f"account {account.name!r} may not use priority {priority.value!r}",
                step="admission",
            )
        bucket = self._buckets[account.name]
        entries = max(1, self._count_entries())
        bucket.rate = account.requests_per_second / entries
        bucket.burst = max(1.0, account.burst / entries)
        wait = bucket.take(now)
        if wait:
            raise RequestRejected(
                STATUS_TOO_MANY_REQUESTS,
                f"account {account.name!r} is over its rate",
                step="admission",
                retry_after=wait,
            )
