"""Client of an agent's own target: a plain service or a model engine."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import msgspec
import urllib3

from lagoontide.errors import TargetFailed, TargetRejectedInput, TargetUnreachable
from lagoontide.httppool import HttpPool

__all__ = [
    "HttpTargetClient",
    "OnTokens",
    "Prompt",
    "TargetClient",
    "TargetLoad",
    "TargetRequest",
    "TokenLine",
]

STATUS_OK = 200
STATUS_NOT_RUN = 429
STATUS_BAD_INPUT = 422
CANCEL_TIMEOUT_S = 1.0

OnTokens = Callable[[int, list[str]], None]


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request of an agent to its target.

    Attributes
    ----------
    attempt : str
        Id of the attempt, which a target may use as an idempotency key.
    body : bytes
        JSON object of the stage's inputs.
    budget : float
        Seconds until the request's deadline.
    resume : tuple of str
        Tokens that the caller already has; an engine continues after them.
    """

    attempt: str
    request: str
    operation: str
    body: bytes
    budget: float
    priority: str
    streams: bool = False
    resume: tuple[str, ...] = field(default=())


class TargetLoad(msgspec.Struct, frozen=True):
    """Load that a target reports, with a delay."""

    running: int = 0
    queued: int = 0


class TokenLine(msgspec.Struct):
    """A line of an engine's stream: tokens from ``offset`` on, or the end.

    Attributes
    ----------
    error : str
        Reason why the stream ends early; empty otherwise.
    refused : bool
        Whether the engine rejects the prompt as invalid.
    """

    offset: int = 0
    tokens: list[str] = []
    done: bool = False
    error: str = ""
    refused: bool = False


class Prompt(msgspec.Struct):
    """Body of a request to an engine: its inputs and the tokens generated so far."""

    inputs: msgspec.Raw
    resume: tuple[str, ...] = ()


class TargetClient(Protocol):
    """A target (back end); only its agent calls it."""

    async def run(self, work: TargetRequest) -> bytes:
        """Run a request and return its result, a JSON object.

        Raises
        ------
        TargetUnreachable
            If the request certainly did not start.
        TargetRejectedInput
            If the input is invalid at every target.
        TargetFailed
            If the target gave no usable answer.
        """

    async def stream(self, work: TargetRequest, on_tokens: OnTokens) -> bytes:
        """Run a generation and pass tokens to a callback as they arrive."""

    async def cancel(self, attempt: str) -> None:
        """Ask the target to stop an attempt; failures are ignored."""


class HttpTargetClient:
    """A target that is called over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the target.
    threads : int
        Maximum number of concurrent calls.
    """

    def __init__(self, url: str, threads: int) -> None:
        self._url = url.rstrip("/")
        self._pool = HttpPool(threads)

    async def run(self, work: TargetRequest) -> bytes:
        """See TargetClient."""
        return await self._pool.run(self._run, work)

    async def stream(self, work: TargetRequest, on_tokens: OnTokens) -> bytes:
        """See TargetClient."""
        loop = asyncio.get_running_loop()

        def forward_tokens(offset: int, tokens: list[str]) -> None:
            loop.call_soon_threadsafe(on_tokens, offset, tokens)

        return await self._pool.run(self._stream, work, forward_tokens)

    async def cancel(self, attempt: str) -> None:
        """See TargetClient."""
        try:
            await self._pool.request(
                "POST", f"{self._url}/cancel/{attempt}", CANCEL_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return  # The attempt then runs to its end, and its answer is dropped.

    def close(self) -> None:
        """Release threads and connections."""
        self._pool.close()

    def _send(
        self, work: TargetRequest, path: str, body: bytes, **options: object
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Attempt": work.attempt,
            "X-Request": work.request,
            "X-Priority": work.priority,
        }
        url = f"{self._url}/{path}/{work.operation}"
        try:
            return self._pool.send(
                "POST", url, work.budget, body=body, headers=headers, **options
            )
        except urllib3.exceptions.NewConnectionError as exc:
            raise TargetUnreachable(str(exc), step="connect", peer=self._url) from exc
        except urllib3.exceptions.ConnectTimeoutError as exc:
            raise TargetUnreachable(str(exc), step="connect", peer=self._url) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise TargetFailed(str(exc), step="run", peer=self._url) from exc

    def _run(self, work: TargetRequest) -> bytes:
        response = self._send(work, "run", work.body)
        self._raise_for_status(response.status, response.data)
        return response.data

    def _raise_for_status(self, status: int, data: bytes) -> None:
        text = data[:200].decode("utf-8", "replace")
        if status == STATUS_BAD_INPUT:
            raise TargetRejectedInput(text, step="run", peer=self._url)
        if status != STATUS_OK:
            raise TargetFailed(
                f"status {status}: {text}",
                step="run",
                peer=self._url,
                ran=status != STATUS_NOT_RUN,
            )

    def _stream(self, work: TargetRequest, on_tokens: OnTokens) -> bytes:
        prompt = Prompt(msgspec.Raw(work.body), work.resume)
        response = self._send(
            work, "generate", msgspec.json.encode(prompt), preload_content=False
        )
        try:
            if response.status != STATUS_OK:
                self._raise_for_status(response.status, response.read())
            return self._read_tokens(response, list(work.resume), on_tokens)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise TargetFailed(str(exc), step="stream", peer=self._url) from exc
        finally:
            response.release_conn()

    def _read_tokens(
        self,
        response: urllib3.BaseHTTPResponse,
        tokens: list[str],
        on_tokens: OnTokens,
    ) -> bytes:
        for line in _split_lines(response.stream(4096)):
            try:
                item = msgspec.json.decode(line, type=TokenLine)
            except (msgspec.DecodeError, RecursionError) as exc:
                raise TargetFailed(
                    f"malformed line in the token stream: {line[:80]!r}",
                    step="stream",
                    peer=self._url,
                ) from exc
            if item.refused:
                raise TargetRejectedInput(item.error, step="stream", peer=self._url)
            if item.error:
                raise TargetFailed(item.error, step="stream", peer=self._url)
            if item.done:
                return msgspec.json.encode({"text": " ".join(tokens)})
            if item.offset != len(tokens):
                raise TargetFailed(
                    f"token offset {item.offset}, expected {len(tokens)}",
                    step="stream",
                    peer=self._url,
                )
            on_tokens(item.offset, item.tokens)
            tokens.extend(item.tokens)
        raise TargetFailed(
            "the token stream ended early", step="stream", peer=self._url
        )


def _split_lines(chunks: Iterator[bytes]) -> Iterator[bytes]:
    """Yield complete lines; a last line without a line feed is dropped."""
    tail = b""
    for chunk in chunks:
        *lines, tail = (tail + chunk).split(b"\n")
        yield from lines
