"""Statuses of targets that promise "not run", with and without a proof."""

import asyncio
from itertools import chain

import msgspec
import pytest

from lagoontide.forward import unary
from lagoontide.http1.client import InvalidResponse
from lagoontide.platform.fields import INSTANCE, NOT_RUN, NOT_RUN_STATUSES
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.targets import TargetStandin
from tests.gateway.raw_targets import RawTarget, field_of, head_of
from tests.support.waiting import wait_for

ONCE = {
    "unsafe, 1 attempt": {"kind": "unsafe", "service": "plain"},
    "unsafe, 2 attempts": {"kind": "unsafe", "service": "plain", "max_attempts": 2},
    "stream": {"kind": "stream", "service": "engine", "max_attempts": 2},
}
REPEATABLE = {
    "safe": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "resumable": {
        "kind": "stream",
        "service": "engine",
        "resume_streams": True,
        "max_attempts": 2,
    },
}
KINDS = ONCE | REPEATABLE
STAGES = [{"service": "stage", "after": [], "bytes": 1000}]
PIECES = [(b"X-Lagoontide-Pieces", b"1"), (b"X-Lagoontide-Piece-Key", b"key")]
SHORT = b"the ledger did not confirm"
# More than the entries of this test keep of an answer.
LONG = b"x" * 100_000
PROOF = NOT_RUN + b": 1"


@pytest.fixture(autouse=True)
def _small_buffers(monkeypatch):
    monkeypatch.setattr(unary, "MAX_BUFFERED_BYTES", len(LONG) // 2)


def make_answer(status, body, *fields, chunked=False):
    """Return a function that answers a request after it has run."""
    framing = b"Content-Length: %d" % len(body)
    if chunked:
        framing = b"Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)

    async def answer(request_id, head, reader, writer):
        await reader.readexactly(int(field_of(head, b"Content-Length")))
        line = b"%d Status" % status
        writer.write(head_of(line, request_id, framing, *fields) + body)
        await writer.drain()

    return answer


def unsealed(answer):
    """Return the same answer without the seal."""

    async def without_seal(request_id, head, reader, writer):
        seal = head_of(b"", b"").split(b"\r\n")[2] + b"\r\n"
        original = writer.write
        writer.write = lambda data: original(data.replace(seal, b"", 1))
        try:
            await answer(request_id, head, reader, writer)
        finally:
            writer.write = original

    return without_seal


async def ask(kind, answer, *, stages=(), second=None):
    """Send a request; return its answer, and how often it reached a target.

    Parameters
    ----------
    answer, second : callable
        Answers the request at the first target that it reaches, and at others; by
        default the same.
    """
    used = []

    async def answer_in_order(request_id, head, reader, writer):
        used.append(request_id)
        one = answer if len(used) == 1 or second is None else second
        await one(request_id, head, reader, writer)

    services = ("plain", "plain", "engine", "engine")
    targets = [
        RawTarget(f"{service}-{number}", service, answer_in_order)
        for number, service in enumerate(services)
    ]
    targets.append(TargetStandin("stage-0", "stage"))
    others = msgspec.json.decode(make_configuration(1))["routes"]
    route = {"name": "new", "host": "a.example", "prefix": "/new/", "timeout_ms": 2000}
    route |= {"target_latency_ms": 300, "gap_target_ms": 100, "stages": list(stages)}
    async with start_deployment(1, targets=targets) as small:
        small.configure(2, routes=[*others, route | KINDS[kind]])
        await wait_for(lambda: small.gateways[0].store_view.config_version == 2)
        extra = PIECES if stages else None
        try:
            got = await send(small.ports[0], "/new/a", "r1", body=b"note", extra=extra)
        except (OSError, InvalidResponse):
            got = None
    return got, len(used)


def check_promises_nothing(got):
    assert got is None or got.status == 502
    # A seal stands for the target's own status.
    names = [] if got is None else [name.lower() for name, _ in got.fields]
    assert b"x-lagoontide-response-seal" not in names
    assert b"retry-after" not in names


BODIES = {
    "kept": {"body": SHORT},
    "relayed": {"body": LONG},
    "chunked": {"body": SHORT, "chunked": True},
    "relayed in chunks": {"body": LONG, "chunked": True},
    "empty": {"body": b""},
}


# Guards against a status by which callers take it that their request has not run, and
# send it again, although it has (REFUSED).
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("kind", ONCE)
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
def test_status_that_promises_not_run_without_proof_is_not_passed_on(
    status, kind, body
):
    got, sends = asyncio.run(ask(kind, make_answer(status, **BODIES[body])))
    check_promises_nothing(got)
    assert sends == 1


# Guards against the same where the target's answer has no seal.
@pytest.mark.parametrize("kind", ONCE)
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
def test_status_without_proof_and_seal_is_not_passed_on(status, kind):
    got, sends = asyncio.run(ask(kind, unsealed(make_answer(status, SHORT))))
    check_promises_nothing(got)
    assert sends == 1


# Guards against the same for requests with stages, and where the target names a time
# to come again.
@pytest.mark.parametrize("kind", ONCE)
def test_status_without_proof_is_not_passed_on_whatever_comes_with_it(kind):
    answer = make_answer(503, SHORT, b"Retry-After: 0.1")
    for stages in ((), STAGES):
        got, sends = asyncio.run(ask(kind, answer, stages=stages))
        check_promises_nothing(got)
        assert sends == 1


# Guards against a request that may run once and runs at a second target, as a 421 of
# the target that it was meant for is taken for a proof.
@pytest.mark.parametrize("kind", ONCE)
def test_421_of_the_target_itself_is_no_proof(kind):
    own = (b"plain-0", b"plain-1", b"eng-0", b"eng-1", b"engine-2", b"engine-3")

    async def answer(request_id, head, reader, writer):
        name = field_of(head, b"X-Lagoontide-Expect-Instance")
        assert name in own
        one = make_answer(421, SHORT, INSTANCE + b": " + name)
        await one(request_id, head, reader, writer)

    got, sends = asyncio.run(ask(kind, answer))
    check_promises_nothing(got)
    assert sends == 1


# Guards against requests that are not tried elsewhere although their target has proven
# that they did not run.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("status", "field"),
    [
        *((status, PROOF) for status in sorted(NOT_RUN_STATUSES)),
        (421, INSTANCE + b": another"),
    ],
)
def test_proven_refusal_is_tried_at_another_target(status, field, kind):
    refusal = make_answer(status, SHORT, field)
    body = b"id: 1\ndata: x\n\n"
    served = make_answer(200, body)
    got, sends = asyncio.run(ask(kind, refusal, second=served))
    assert (got.status, got.body, sends) == (200, body, 2)


# Guards against proven refusals that callers are told of as if they may have run.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
def test_request_that_all_targets_refuse_with_proof_has_not_run(status, kind):
    got, sends = asyncio.run(ask(kind, make_answer(status, SHORT, PROOF)))
    assert got.status == 503
    assert sends == 2


# Guards against answers that are replaced although their status promises nothing.
@pytest.mark.parametrize("kind", ONCE)
@pytest.mark.parametrize("status", [400, 404, 409, 413, 422, 500, 502, 504])
def test_status_that_promises_nothing_is_passed_on_unchanged(status, kind):
    got, sends = asyncio.run(ask(kind, make_answer(status, SHORT)))
    assert (got.status, got.body, sends) == (status, SHORT, 1)
    names = chain.from_iterable(got.fields)
    assert b"X-Lagoontide-Response-Seal" in names


# Guards against requests that may be repeated and lose the answer of their target, or
# a second attempt.
@pytest.mark.parametrize("kind", REPEATABLE)
@pytest.mark.parametrize("status", [408, 429])
def test_request_that_may_be_repeated_gets_the_answer_of_its_target(status, kind):
    got, sends = asyncio.run(ask(kind, make_answer(status, SHORT)))
    assert (got.status, got.body, sends) == (status, SHORT, 1)


@pytest.mark.parametrize("kind", REPEATABLE)
@pytest.mark.parametrize("status", [421, 503])
def test_request_that_may_be_repeated_goes_on_to_another_target(status, kind):
    body = b"id: 1\ndata: x\n\n"
    second = make_answer(200, body)
    got, sends = asyncio.run(ask(kind, make_answer(status, SHORT), second=second))
    assert (got.status, got.body, sends) == (200, body, 2)
