"""How many retries an entry may add to the work that it gives out."""

__all__ = ["RetryBudget"]

SHARE = 0.1
MAX_SAVED = 50.0


class RetryBudget:
    """Retries of work that ran or may have run, as a share of successes.

    Parameters
    ----------
    share : float
        Retries earned by each success.
    saved : float
        Retries in hand at the start and at most.
    """

    def __init__(self, share: float = SHARE, saved: float = MAX_SAVED) -> None:
        self._share = share
        self._limit = saved
        self._saved = saved

    def note_success(self) -> None:
        """Earn a part of a retry."""
        self._saved = min(self._limit, self._saved + self._share)

    def take(self) -> bool:
        """Spend a retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
