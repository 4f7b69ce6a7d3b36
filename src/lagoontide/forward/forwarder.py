"""Handling of a caller's request, from route lookup to the final response."""

import asyncio
import random
from collections.abc import Callable

import xxhash
from loguru import logger

from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.fields import InvalidField, RequestMetadata
from lagoontide.forward.inputs import Inputs, InputsFailed, NoInputs
from lagoontide.forward.observe import Observer
from lagoontide.forward.outcome import (
    Answered,
    EndReason,
    NotRun,
    Outcome,
    Rejected,
    Relayed,
    Unknown,
)
from lagoontide.forward.prior_wait import PriorWaitEstimator
from lagoontide.forward.resumption import fix_version
from lagoontide.forward.retry_after import pick_limited_retry_after, pick_retry_after
from lagoontide.forward.selection import is_beyond_limits
from lagoontide.forward.stream import forward_stream
from lagoontide.forward.unary import forward_unary
from lagoontide.http1.messages import Fields, Response, field_value
from lagoontide.http1.server import Request, ResponseWriter
from lagoontide.logs import format_traceback
from lagoontide.routes.omissions import find_broken_stage
from lagoontide.routes.records import Account, RouteKind
from lagoontide.routes.route_table import RouteTable, pick_service
from lagoontide.timers import Deadline

__all__ = ["Forwarder"]

# The final response is sent this long before its deadline, to arrive in time.
RESPONSE_MARGIN_S = 0.02
InputsFactory = Callable[[Call], Inputs]


class Forwarder:
    """Handles callers' requests.

    Parameters
    ----------
    make_inputs : callable
        Returns the inputs of a call whose route has stages.
    """

    def __init__(
        self,
        state: ForwardingState,
        make_inputs: InputsFactory,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._make_inputs = make_inputs
        self._observer = observer
        self._rng = rng
        self._prior_waits = PriorWaitEstimator()
        self._drain_deadline = float("inf")
        self._deadlines: set[Deadline] = set()

    def set_drain_deadline(self, deadline: float) -> None:
        """Limit the deadlines of current and later requests to a loop time."""
        self._drain_deadline = deadline
        for current in self._deadlines:
            current.limit_to(deadline)

    async def handle(self, req: Request, reply: ResponseWriter) -> None:
        """Answer a request; see lagoontide.http1.server.Handler."""
        started_at = req.received_at
        call: Call | None = None
        outcome: Outcome | None = None
        try:
            resolved = self._make_call(req)
            if isinstance(resolved, Call):
                call = resolved
                outcome = await self._forward(call, reply)
            else:
                outcome = resolved
            await _send_outcome(outcome, reply)
        except (Exception, asyncio.CancelledError) as exc:
            if reply.is_ended_by(exc):
                outcome = self._outcome_of_cancellation(call, reply)
                raise
            outcome = self._outcome_of_error(call, reply, exc)
            await _send_outcome(outcome, reply)
        finally:
            seconds = asyncio.get_running_loop().time() - started_at
            self._observer.record_outcome(req, call, outcome, seconds)

    def _outcome_of_cancellation(
        self, call: Call | None, reply: ResponseWriter
    ) -> Outcome | None:
        """Return the outcome of a request whose connection ends; None if it is lost."""
        if reply.is_disconnected or call is None:
            return None
        return _ended(call, reply, "the entry stops", EndReason.DRAIN)

    def _outcome_of_error(
        self, call: Call | None, reply: ResponseWriter, exc: BaseException
    ) -> Outcome:
        """Log an unexpected exception and return the outcome of its request."""
        logger.bind(
            request=call.metadata.request_id if call else "",
            config_version=call.config_version if call else "",
            target=call.last_target if call else "",
            traceback=format_traceback(exc),
        ).error("request failed unexpectedly: {!r:.200}", exc)
        reason, end = "internal error", EndReason.INTERNAL_ERROR
        if call is not None:
            return _ended(call, reply, reason, end, pick_retry_after(self._rng))
        if reply.is_started:
            return Relayed(is_complete=False, reason=reason, end=end)
        return NotRun(reason, pick_retry_after(self._rng), end)

    def _make_call(self, req: Request) -> Call | Rejected | NotRun:
        """Return the call for a request, or the outcome if it cannot be forwarded."""
        route_table = self._state.route_table
        if route_table is None:
            return NotRun("no configuration yet", pick_retry_after(self._rng))
        if req.head.method == b"CONNECT":
            return Rejected(501, "tunnels are not supported")
        try:
            metadata = self._state.field_codec.decode_request(req.head)
            path = req.head.path.decode("ascii")
        except (InvalidField, UnicodeDecodeError) as exc:
            return Rejected(400, str(exc))
        if not path.startswith("/"):
            return Rejected(400, f"{path!r:.80} is not a path")
        host = (field_value(req.head.fields, b"host") or b"").decode("latin-1")
        return self._resolve_call(route_table, req, metadata, host, path)

    def _resolve_call(
        self,
        route_table: RouteTable,
        req: Request,
        metadata: RequestMetadata,
        host: str,
        path: str,
    ) -> Call | Rejected:
        """Look up the route and the client account of a request."""
        route = route_table.find_route(host, path)
        if route is None:
            return Rejected(404, "no such route")
        account: Account | None = None
        if route_table.config.accounts:
            account = route_table.find_account(metadata.key) if metadata.key else None
            if account is None and not route.allows_anonymous:
                return Rejected(401, "unknown key")
        timeout = route.timeout
        if metadata.timeout is not None:
            timeout = min(timeout, metadata.timeout)
        prior_wait = self._prior_waits.estimate(route.name, metadata.timeout)
        # A stream is taken up at the service that its first request was sent to.
        picked_by = metadata.resumes or metadata.request_id
        number = xxhash.xxh32_intdigest(picked_by.encode())
        return Call(
            request=req,
            metadata=metadata,
            route=route,
            service=pick_service(route, number),
            account=account,
            deadline=req.received_at + timeout - RESPONSE_MARGIN_S,
            objective_at=req.received_at + route.objective - prior_wait,
            is_client_retry=prior_wait > 0,
            config_version=route_table.version,
        )

    async def _forward(self, call: Call, reply: ResponseWriter) -> Outcome:
        refusal = self._check_stages(call) or self._state.guard.refusal(call)
        if refusal is None:
            refusal = await fix_version(self._state, call, self._rng)
        # Counted here, as a stream may be taken up at another service than the one
        # picked for it.
        self._state.budget.record_request(call.service)
        if refusal is not None:
            return refusal
        if is_beyond_limits(self._state, call):
            after = pick_limited_retry_after(self._state, call, self._rng)
            return NotRun("all targets at their rate limits or pausing", after)
        inputs = self._make_inputs(call) if call.route.stages else NoInputs()
        try:
            inputs.admit()
            async with asyncio.timeout(None) as wait:
                deadline = Deadline(wait, min(call.deadline, self._drain_deadline))
                self._deadlines.add(deadline)
                try:
                    return await self._forward_by_kind(call, reply, inputs)
                finally:
                    deadline.cancel()
                    self._deadlines.discard(deadline)
        except TimeoutError:
            if not wait.expired():
                raise
            is_drain = self._drain_deadline < call.deadline
            end = EndReason.DRAIN if is_drain else EndReason.DEADLINE
            return _ended(call, reply, "time is up", end, is_timeout=True)
        except InputsFailed as exc:
            if reply.is_started:
                end = EndReason.NO_SUCCESSOR
                return Relayed(is_complete=False, reason=str(exc), end=end)
            after = exc.retry_after or pick_retry_after(self._rng)
            return call.send_tracker.failure_outcome(str(exc), after)
        finally:
            inputs.close()

    def _check_stages(self, call: Call) -> NotRun | Rejected | None:
        """Return the outcome of a request whose stages can't run; None for others."""
        counts, stages = call.metadata.piece_counts, call.route.stages
        if not call.matches_stages:
            # It follows another version of the configuration, which may come here.
            return NotRun(
                f"the request has pieces of {len(counts)} stages, "
                f"its route {len(stages)} stages",
                pick_retry_after(self._rng),
            )
        reason = find_broken_stage(stages, counts) if call.has_pieces else ""
        if not reason:
            return None
        if self._state.is_cut_off():
            # The stages may have changed since.
            return NotRun(reason, pick_retry_after(self._rng))
        return Rejected(400, reason)

    async def _forward_by_kind(
        self, call: Call, reply: ResponseWriter, inputs: Inputs
    ) -> Outcome:
        if call.route.kind is RouteKind.STREAM:
            return await forward_stream(self._state, call, reply, inputs, self._rng)
        return await forward_unary(self._state, call, reply, inputs, self._rng)


def _ended(
    call: Call,
    reply: ResponseWriter,
    reason: str,
    end: EndReason,
    retry_after: float | None = None,
    is_timeout: bool = False,
) -> Relayed | NotRun | Unknown:
    """Return the outcome of a request that ends without a complete answer."""
    if reply.is_started:
        return Relayed(is_complete=False, reason=reason, end=end)
    return call.send_tracker.failure_outcome(reason, retry_after, is_timeout, end)


async def _send_outcome(outcome: Outcome, reply: ResponseWriter) -> None:
    match outcome:
        case Answered(response):
            await reply.send(response)
        case Relayed():
            return
        case Rejected(status, reason):
            await reply.send(_error_response(status, reason))
        case NotRun(reason, after):
            fields = [] if after is None else [(b"Retry-After", f"{after}".encode())]
            await reply.send(_error_response(503, reason, fields))
        case Unknown(reason, is_timeout):
            await reply.send(_error_response(504 if is_timeout else 502, reason))


def _error_response(status: int, reason: str, fields: Fields | None = None) -> Response:
    plain = (b"Content-Type", b"text/plain; charset=utf-8")
    return Response(status, [plain, *(fields or [])], f"{reason}\n".encode())
