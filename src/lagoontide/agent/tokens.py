"""Tokens of a generation on their way to the entry, several to a message."""

import asyncio

from lagoontide.dispatch.messages import Tokens
from lagoontide.wire.server import Send

__all__ = ["TokenSender"]

# Well under the 59 ms between tokens that callers are promised.
BATCH_S = 0.025


class TokenSender:
    """Sends the first tokens at once and later ones in batches.

    Parameters
    ----------
    attempt : str
        The generation's attempt.
    send : callable
        Takes the messages.
    """

    def __init__(self, attempt: str, send: Send) -> None:
        self._attempt = attempt
        self._send = send
        self._offset = 0
        self._tokens: list[str] = []
        self._timer: asyncio.TimerHandle | None = None
        self._sends: set[asyncio.Future[None]] = set()
        self._is_first = True

    def add(self, offset: int, tokens: list[str]) -> None:
        """Take tokens from position ``offset`` of the whole on."""
        if not self._tokens:
            self._offset = offset
        self._tokens.extend(tokens)
        if self._is_first:
            self._is_first = False
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_S, self.flush)

    def flush(self) -> None:
        """Send what there is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._tokens:
            return
        message = Tokens(self._attempt, self._offset, self._tokens)
        self._tokens = []
        task = asyncio.ensure_future(self._send(message))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def close(self) -> None:
        """Send the rest and wait until all is on its way, before the result is."""
        self.flush()
        await asyncio.gather(*self._sends, return_exceptions=True)
