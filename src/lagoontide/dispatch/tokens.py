"""Tokens of a generation that several attempts may give at the same time.

An engine need not give the same tokens twice, so those of two attempts are
never mixed: each attempt has a draft of its own, and a token is settled once no
other attempt can contradict it.
"""

from collections.abc import Callable

__all__ = ["OnTokens", "TokenLog"]

OnTokens = Callable[[int, list[str]], None]

# A draft that is so many tokens ahead of what is settled decides the race.
LEAD_TOKENS = 3


class TokenLog:
    """The drafts of the attempts that run, and the tokens that are settled.

    Parameters
    ----------
    on_tokens : callable or None
        Takes each settled token once, in order.

    Attributes
    ----------
    settled : list of str
        What a further attempt resumes from.
    on_lead : callable or None
        Told the attempt that the others have to give way to; only asked for
        where ``on_tokens`` waits.
    """

    def __init__(self, on_tokens: OnTokens | None = None) -> None:
        self.settled: list[str] = []
        self.on_lead: Callable[[str], None] | None = None
        self._on_tokens = on_tokens
        self._drafts: dict[str, list[str]] = {}

    def begin(self, attempt: str) -> None:
        """Open the draft of an attempt that resumes from the settled tokens."""
        self._drafts[attempt] = list(self.settled)

    def count(self, attempt: str) -> int:
        """Return how many tokens an attempt has come to."""
        return len(self._drafts.get(attempt, self.settled))

    def take(self, attempt: str, offset: int, tokens: list[str]) -> bool:
        """Add tokens to a draft; return False if some before them are missing.

        Tokens of an attempt that has given way, and repeated ones, are dropped.
        """
        draft = self._drafts.get(attempt)
        if draft is None:
            return True
        if offset > len(draft):
            return False
        draft.extend(tokens[len(draft) - offset :])
        if len(self._drafts) == 1:
            self._settle(draft)
        elif self._decides(draft):
            self.finish(attempt)
        return True

    def finish(self, attempt: str) -> None:
        """Settle the draft of the attempt that won and drop all others."""
        draft = self._drafts.get(attempt)
        if draft is None:
            return
        has_others = len(self._drafts) > 1
        self._drafts = {attempt: draft}
        self._settle(draft)
        if has_others and self.on_lead is not None:
            self.on_lead(attempt)

    def end(self, attempt: str) -> None:
        """Close the draft of an attempt that ended without a result."""
        draft = self._drafts.pop(attempt, None)
        if draft is not None and not self._drafts:
            self._settle(draft)
        elif len(self._drafts) == 1:
            (last,) = self._drafts.values()
            self._settle(last)

    def _decides(self, draft: list[str]) -> bool:
        ahead = len(draft) - len(self.settled)
        return self._on_tokens is not None and ahead >= LEAD_TOKENS

    def _settle(self, draft: list[str]) -> None:
        have = len(self.settled)
        fresh = draft[have:]
        self.settled.extend(fresh)
        if fresh and self._on_tokens is not None:
            self._on_tokens(have, fresh)
