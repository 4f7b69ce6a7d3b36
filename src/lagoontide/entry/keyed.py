"""Requests with an idempotency key: run once, answered again."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import xxhash

from lagoontide.claims.baseline import Claim, Claims
from lagoontide.dispatch.kept import Keepers
from lagoontide.entry.door import CallerRequest
from lagoontide.errors import RequestFailed
from lagoontide.pipeline.walk import Answer, Fields, Request

__all__ = ["KeyedRuns", "Walk"]

REPEATABLE_CLAIM_SHARE = 0.2  # Of the time left.

Walk = Callable[[], Awaitable[Answer]]


class KeyedRuns:
    """Claims keys before requests run and keeps their answers for repeats."""

    def __init__(self, claims: Claims, keepers: Keepers) -> None:
        self._claims = claims
        self._keepers = keepers

    async def run(
        self, call: CallerRequest, request: Request, answer: Answer, walk: Walk
    ) -> Answer:
        """Run a request by ``walk`` unless an earlier one has its key.

        Raises
        ------
        RequestError
            409, if the key was used with another body.
        RequestFailed
            If it ended without its answer, or an earlier one's is not kept.
        """
        digest = xxhash.xxh3_64_intdigest(call.route.encode() + b"\0" + call.body)
        claim = Claim(request.id, digest)
        account = request.account.name
        holder = await self._claim(account, call.key, claim, request)
        if holder and await self._repeat(request, holder, answer):
            return answer
        try:
            await walk()
        except RequestFailed as exc:
            if exc.repeat_safe:
                await self._claims.release(account, call.key, claim)
            raise
        await self._keepers.keep(request.id, msgspec.json.encode(answer.fields))
        return answer

    async def _claim(
        self, account: str, key: str, claim: Claim, request: Request
    ) -> str:
        """Return the id of an earlier request with this key, or "" if it is new."""
        left = request.deadline - asyncio.get_running_loop().time()
        if not request.route.is_repeatable:
            return await self._claims.claim(account, key, claim, left)
        try:
            return await self._claims.claim(
                account, key, claim, left * REPEATABLE_CLAIM_SHARE
            )
        except RequestFailed:
            return ""  # Nothing is lost if such a request runs twice.

    async def _repeat(self, request: Request, holder: str, answer: Answer) -> bool:
        """Take the first request's answer; return False if this one may run too."""
        now = asyncio.get_running_loop().time()
        left = request.deadline - now
        if request.route.is_repeatable:
            left *= REPEATABLE_CLAIM_SHARE
        body = await self._keepers.recall(holder, now + left)
        if body is None and request.route.is_repeatable:
            return False
        if body is None:
            raise RequestFailed(
                "unknown",
                "the key was used before and its answer is not kept",
                step="claim",
                repeat_safe=False,
            )
        answer.fields = msgspec.json.decode(body, type=Fields)
        return True
