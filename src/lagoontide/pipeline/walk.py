"""Runs the stages of a route one after the other."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lagoontide.configuration.document import (
    Account,
    Priority,
    Route,
    Service,
    ServiceKind,
    Stage,
)
from lagoontide.dispatch.call import StageCall
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.messages import Done, Failed, NotRun, Unknown
from lagoontide.dispatch.outcomes import AttemptOutcome, Outcome
from lagoontide.dispatch.tokens import OnTokens, TokenLog
from lagoontide.errors import RequestFailed, RequestRejected
from lagoontide.pipeline.slack import find_pace, size_of, stage_deadline

__all__ = ["Answer", "Fields", "Request", "StageReport", "check_body", "walk"]

REQUEST_ORIGIN = "request"
STATUS_UNPROCESSABLE = 422
RETRY_AFTER_S = 1.0

Fields = dict[str, msgspec.Raw]
FindService = Callable[[str], Service]


@dataclass(slots=True)
class Request:
    """A caller's request, checked and admitted.

    Attributes
    ----------
    deadline : float
        Loop time by which the whole answer is due.
    body : dict of str to Raw
        The caller's fields, each as JSON.
    on_tokens : callable or None
        Takes tokens of the last generation as they come.
    """

    id: str
    route: Route
    account: Account
    priority: Priority
    deadline: float
    body: Fields
    on_tokens: OnTokens | None = None


@dataclass(frozen=True, slots=True)
class StageReport:
    """How one stage of a request went.

    Attributes
    ----------
    started, ended : float
        Loop times.
    budget : float
        Seconds that were left at its start.
    """

    stage: str
    service: str
    repeatable: bool
    outcome: Outcome
    started: float
    ended: float
    budget: float


@dataclass(slots=True)
class Answer:
    """The whole answer and the story of its stages."""

    request: str
    fields: Fields = field(default_factory=dict)
    stages: list[StageReport] = field(default_factory=list)
    finished_at: float = field(default_factory=time.time)


def check_body(route: Route, body: Fields) -> None:
    """Raise RequestRejected unless the body has every field that the route reads."""
    sources = (source for stage in route.stages for source in stage.inputs.values())
    for source in (*sources, *route.answer.values()):
        origin, _, name = source.partition(".")
        if origin == REQUEST_ORIGIN and name not in body:
            raise RequestRejected(
                STATUS_UNPROCESSABLE, f"the body has no field {name!r}", step="body"
            )


async def walk(
    request: Request, dispatcher: Dispatcher, find_service: FindService, answer: Answer
) -> Answer:
    """Fill ``answer`` stage by stage and return it.

    Raises
    ------
    RequestFailed
        With the stage and the peer at which the request ended.
    """
    loop = asyncio.get_running_loop()
    outputs: dict[str, Fields] = {REQUEST_ORIGIN: request.body}
    stages = request.route.stages
    pace = dispatcher.tail.pace
    for index, stage in enumerate(stages):
        service = find_service(stage.service)
        due = stage_deadline(pace, stages, index, request.deadline)
        call = _make_call(request, stage, service, outputs, answer, due)
        started = loop.time()
        if started + find_pace(pace, stage).quick.value >= due:
            kind = "failed" if _has_run(answer) else "not_run"
            raise _fail(kind, "too late for the rest", stage.name, "", answer)
        outcome = await dispatcher.call(call)
        answer.stages.append(
            StageReport(
                stage.name,
                stage.service,
                stage.repeatable,
                outcome,
                started,
                loop.time(),
                request.deadline - started,
            )
        )
        outputs[stage.name] = _take_output(request, stage, outcome, answer)
    answer.fields = {
        name: _pick(outputs, source, request.route.stages[-1].name, answer)
        for name, source in request.route.answer.items()
    }
    return answer


def _make_call(
    request: Request,
    stage: Stage,
    service: Service,
    outputs: dict[str, Fields],
    answer: Answer,
    deadline: float,
) -> StageCall:
    inputs: dict[str, object] = {
        name: _pick(outputs, source, stage.name, answer)
        for name, source in stage.inputs.items()
    }
    inputs.update(stage.constants)
    is_last = stage is request.route.stages[-1]
    return StageCall(
        request=request.id,
        stage=stage,
        account=request.account.name,
        weight=request.account.weight,
        priority=request.priority,
        deadline=deadline,
        body=msgspec.json.encode(inputs),
        streams=service.kind is ServiceKind.ENGINE,
        tokens=TokenLog(request.on_tokens if is_last else None),
        size=size_of(stage),
    )


def _pick(
    outputs: dict[str, Fields], source: str, step: str, answer: Answer
) -> msgspec.Raw:
    origin, _, name = source.partition(".")
    try:
        return outputs[origin][name]
    except KeyError:
        reason = f"stage {origin!r} gave no {name!r}"
        raise _fail("failed", reason, step, "", answer) from None


def _take_output(
    request: Request, stage: Stage, outcome: Outcome, answer: Answer
) -> Fields:
    match outcome.result:
        case Done(body=body):
            try:
                return msgspec.json.decode(body, type=Fields)
            except (msgspec.DecodeError, RecursionError) as exc:
                reason = f"the output is no JSON object: {exc}"
                raise _fail(
                    "failed", reason, stage.name, outcome.peer, answer
                ) from None
        case NotRun(reason=reason):
            kind = "failed" if _has_run(answer) else "not_run"
            raise _fail(kind, reason, stage.name, outcome.peer, answer)
        case Failed(reason=reason):
            raise _fail("failed", reason, stage.name, outcome.peer, answer)
        case Unknown(reason=reason):
            kind = "failed" if stage.repeatable else "unknown"
            raise _fail(kind, reason, stage.name, outcome.peer, answer)


def _has_run(answer: Answer) -> bool:
    """Whether any attempt of any stage ran or may have run."""
    return any(
        attempt.outcome is not AttemptOutcome.NOT_RUN
        for report in answer.stages
        for attempt in report.outcome.attempts
    )


def _fail(
    outcome: str, reason: str, step: str, peer: str, answer: Answer
) -> RequestFailed:
    return RequestFailed(
        outcome,
        reason,
        step=step,
        peer=peer,
        repeat_safe=outcome != "unknown" and not _ran_unrepeatable(answer),
        retry_after=RETRY_AFTER_S if outcome == "not_run" else None,
    )


def _ran_unrepeatable(answer: Answer) -> bool:
    return any(
        not report.repeatable and attempt.outcome is not AttemptOutcome.NOT_RUN
        for report in answer.stages
        for attempt in report.outcome.attempts
    )
