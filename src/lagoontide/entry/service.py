"""What an entry does with a request, from the body to the answer."""

import asyncio
import contextlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash
from loguru import logger

from lagoontide.admission.accounts import Accounts
from lagoontide.admission.shedding import (
    Demand,
    Shares,
    find_priority,
    find_retry_after,
    should_shed,
)
from lagoontide.claims.baseline import Claim, Claims
from lagoontide.configuration.document import (
    Account,
    Document,
    Priority,
    Route,
    Service,
)
from lagoontide.configuration.holder import Holder
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.kept import Keepers
from lagoontide.dispatch.tokens import OnTokens
from lagoontide.errors import LagoontideError, RequestError, RequestFailed
from lagoontide.metrics import Metrics
from lagoontide.pipeline.slack import find_pace
from lagoontide.pipeline.story import Listener, Story
from lagoontide.pipeline.walk import Answer, Fields, Request, check_body, walk

__all__ = ["CallerRequest", "Entry"]

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
RETRY_AFTER_S = 1.0
REPEATABLE_CLAIM_SHARE = 0.2  # Of the time left.


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it came over HTTP.

    Attributes
    ----------
    timeout : float or None
        Seconds the caller waits, from ``Request-Timeout``.
    """

    route: str
    token: str
    body: bytes
    timeout: float | None = None
    priority: Priority | None = None
    key: str = ""


class Entry:
    """Serves callers' requests.

    Parameters
    ----------
    sheds : bool
        Whether requests for which there is no time are refused at the door.

    Attributes
    ----------
    is_current : callable
        Tells whether the configuration in force may still be served.
    confirmed_age : callable
        Tells the seconds since the store confirmed the version in force.
    """

    def __init__(
        self,
        holder: Holder,
        dispatcher: Dispatcher,
        claims: Claims,
        metrics: Metrics,
        keepers: Keepers,
        sheds: bool = True,
    ) -> None:
        self._holder = holder
        self._dispatcher = dispatcher
        self._claims = claims
        self._keepers = keepers
        self._metrics = metrics
        self._accounts = Accounts(dispatcher.count_entries)
        self._shares = Shares()
        self._sheds = sheds
        self._listeners: list[Listener] = []
        self._under_way = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_leaving = False
        self.is_current: Callable[[], bool] = lambda: True
        self.confirmed_age: Callable[[], float] = lambda: 0.0
        holder.subscribe(self._accounts.update)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._holder.is_ready and self.is_current() and not self.is_leaving

    async def drain(self, bound: float, linger: float = 0.0) -> bool:
        """Turn unready and wait for what is under way; return whether all ended.

        Parameters
        ----------
        linger : float
            Seconds in which callers who do not know yet are still served.
        """
        self.is_leaving = True
        try:
            async with asyncio.timeout(bound):
                await asyncio.sleep(linger)
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def serve(
        self, call: CallerRequest, on_tokens: OnTokens | None = None
    ) -> Answer:
        """Return the whole answer of a request.

        Raises
        ------
        RequestError
            If the request is not acceptable; nothing ran.
        RequestFailed
            If it ended without its answer.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._under_way += 1
        self._idle.clear()
        answer = Answer(uuid.uuid4().hex)
        request: Request | None = None
        error: LagoontideError | None = None
        try:
            request = self._accept(call, answer.request, started, on_tokens)
            if call.key:
                return await self._serve_keyed(call, request, answer)
            return await walk(request, self._dispatcher, self._find_service, answer)
        except LagoontideError as exc:
            exc.request = answer.request
            error = exc
            raise
        except BaseException as exc:
            # Cancelled, or a fault of ours: never to be counted as an answer.
            error = RequestFailed("unknown", f"ended by {exc!r:.200}", step="entry")
            raise
        finally:
            account = request.account.name if request else self._find_name(call.token)
            self._finish(
                _tell(call, request, account, answer, error, started, loop.time())
            )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the story of each request that has ended."""
        self._listeners.append(listener)

    def _finish(self, story: Story) -> None:
        """Log, count and pass on how a request ended."""
        logger.bind(request=story.request, stage=story.step, peer=story.peer).debug(
            "{} {} {}", story.route, story.outcome, story.reason
        )
        name = story.route if story.budget else "unaccepted"
        self._metrics.count(f"entry.request.{name}.{story.outcome}")
        self._metrics.time(f"entry.request.{name}", story.ended - story.started)
        for report in story.stages:
            elapsed = report.ended - report.started
            self._metrics.time(f"entry.stage.{name}.{report.stage}", elapsed)
        self._pass_on(story)
        self._under_way -= 1
        if not self._under_way:
            self._idle.set()

    def _pass_on(self, story: Story) -> None:
        """Tell the listeners; one that fails must not cost the caller's answer."""
        for listener in self._listeners:
            try:
                listener(story)
            except Exception:
                logger.exception("a listener failed on {}", story.request)

    def _find_name(self, token: str) -> str:
        """Return the account of a request that was refused, if its token has one."""
        with contextlib.suppress(RequestError):
            return self._accounts.identify(token).name
        return ""

    def _find_service(self, name: str) -> Service:
        return self._holder.document.services[name]

    def _accept(
        self,
        call: CallerRequest,
        request_id: str,
        now: float,
        on_tokens: OnTokens | None,
    ) -> Request:
        if not self._holder.is_ready:
            raise RequestError(
                STATUS_UNAVAILABLE,
                "no configuration is in force yet",
                step="admission",
                retry_after=RETRY_AFTER_S,
            )
        document: Document = self._holder.document
        account = self._accounts.identify(call.token)
        route = document.routes.get(call.route)
        if route is None:
            raise RequestError(STATUS_NOT_FOUND, f"no route {call.route!r}")
        self._check_cut_off(document, route)
        body = _parse_body(call.body)
        check_body(route, body)
        priority = call.priority or route.priority
        self._accounts.admit(account, route, priority, now)
        budget = min(route.deadline, call.timeout or route.deadline)
        if self._sheds:
            priority = self._shed(account, route, priority, budget, now)
        return Request(
            request_id, route, account, priority, now + budget, body, on_tokens
        )

    def _check_cut_off(self, document: Document, route: Route) -> None:
        """Raise RequestError 503 if the policies keep a route from being served."""
        age = self.confirmed_age()
        if not document.policies.allows(route, age):
            raise RequestError(
                STATUS_UNAVAILABLE,
                f"no word of the store for {age:.0f} s; the policies keep route "
                f"{route.name!r} from being served",
                step="admission",
                retry_after=RETRY_AFTER_S,
            )

    def _shed(
        self,
        account: Account,
        route: Route,
        priority: Priority,
        budget: float,
        now: float,
    ) -> Priority:
        """Return the priority to serve a request with.

        Raises
        ------
        RequestError
            503, if there is no time for it.
        """
        pace = self._dispatcher.tail.pace
        work = sum(find_pace(pace, stage).ran.value for stage in route.stages)
        services = {stage.service for stage in route.stages}
        wait = sum(map(self._dispatcher.expected_wait, services))
        use = self._shares.use_of(account.name, now) if wait else 0.0
        demand = Demand(priority, work, wait, budget, use)
        if should_shed(demand):
            raise RequestError(
                STATUS_UNAVAILABLE,
                f"overloaded: {wait:.3f} s to wait",
                step="admission",
                retry_after=find_retry_after(demand),
            )
        self._shares.note(account.name, account.weight, work, now)
        return find_priority(demand)

    async def _serve_keyed(
        self, call: CallerRequest, request: Request, answer: Answer
    ) -> Answer:
        """Run the request unless an earlier one has its key."""
        digest = xxhash.xxh3_64_intdigest(call.route.encode() + b"\0" + call.body)
        claim = Claim(request.id, digest)
        account = request.account.name
        holder = await self._claim(account, call.key, claim, request)
        if holder and await self._repeat(request, holder, answer):
            return answer
        try:
            await walk(request, self._dispatcher, self._find_service, answer)
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


def _tell(
    call: CallerRequest,
    request: Request | None,
    account: str,
    answer: Answer,
    error: LagoontideError | None,
    started: float,
    ended: float,
) -> Story:
    match error:
        case None:
            outcome = "done"
        case RequestFailed():
            outcome = error.outcome
        case _:
            outcome = "refused"
    return Story(
        request=answer.request,
        route=call.route,
        account=account,
        priority=request.priority if request else None,
        outcome=outcome,
        started=started,
        ended=ended,
        budget=request.deadline - started if request else 0.0,
        stages=tuple(answer.stages),
        step=error.step if error else "",
        peer=error.peer if error else "",
        reason=error.message if error else "",
    )


def _parse_body(body: bytes) -> Fields:
    try:
        return msgspec.json.decode(body, type=Fields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise RequestError(
            STATUS_BAD_REQUEST, f"the body is no JSON object: {exc}", step="body"
        ) from None
