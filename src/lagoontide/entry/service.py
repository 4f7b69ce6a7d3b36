"""What an entry does with a request, from the body to the answer."""

import asyncio
import functools
import uuid
from collections.abc import Callable

from loguru import logger

from lagoontide.claims.baseline import Claims
from lagoontide.configuration.document import (
    Service,
)
from lagoontide.configuration.holder import Holder
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.kept import Keepers
from lagoontide.dispatch.tokens import OnTokens
from lagoontide.entry.door import CallerRequest, Door
from lagoontide.entry.keyed import KeyedRuns
from lagoontide.errors import LagoontideError, RequestFailed
from lagoontide.metrics import Metrics
from lagoontide.pipeline.story import Listener, Story
from lagoontide.pipeline.walk import Answer, Request, walk

__all__ = ["Entry"]


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
    door : Door
        What a request has to pass first.
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
        self.door = Door(holder, dispatcher, sheds)
        self._keyed = KeyedRuns(claims, keepers)
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._under_way = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_leaving = False
        self.is_current: Callable[[], bool] = lambda: True

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
            request = self.door.accept(call, answer.request, started, on_tokens)
            run = functools.partial(
                walk, request, self._dispatcher, self._find_service, answer
            )
            if call.key:
                return await self._keyed.run(call, request, answer, run)
            return await run()
        except LagoontideError as exc:
            exc.request = answer.request
            error = exc
            raise
        except BaseException as exc:
            # Cancelled, or a fault of ours: never to be counted as an answer.
            error = RequestFailed("unknown", f"ended by {exc!r:.200}", step="entry")
            raise
        finally:
            account = (
                request.account.name if request else self.door.find_account(call.token)
            )
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

    def _find_service(self, name: str) -> Service:
        return self._holder.document.services[name]


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
