"""Answers that arrive while their entry is frozen."""

import asyncio

import pytest

from lagoontide.pieces.calibration import DEFAULT_FACTOR
from lagoontide.pieces.target_tracker import SLOW_RATIO
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.targets import TargetStandin
from tests.support.freezing import freeze

DEADLINE_MS = 400
FREEZE_S = 1.5


# Guards against callers that get 504 although the answer to their request has arrived,
# as their deadline passed while this entry did not run (LOST).
@pytest.mark.parametrize("frozen", [0.5, 2.0])
def test_answer_that_arrived_before_a_freeze_is_returned_after_the_deadline(
    monkeypatch, frozen
):
    send_response = TargetStandin._send_response

    async def send_and_freeze(*arguments):
        await send_response(*arguments)
        freeze(frozen)

    async def main():
        async with start_deployment() as small:
            monkeypatch.setattr(TargetStandin, "_send_response", send_and_freeze)
            return await send(small.ports[0], "/safe/a", "r1", deadline_ms=DEADLINE_MS)

    answer = asyncio.run(main())
    assert (answer.status, answer.body) == (200, b"done:x")


# Guards against sound targets that get fewer requests for the time in which this entry,
# which measures their response times, did not run.
@pytest.mark.parametrize("path", ["/safe/a", "/events/a"])
def test_freeze_of_an_entry_is_no_response_time_of_its_targets(path):
    async def main():
        async with start_deployment() as small:
            for target in small.targets:
                target.work = 0.05
            asyncio.get_running_loop().call_later(0.02, freeze, FREEZE_S)
            answer = await send(small.ports[0], path, "r1", deadline_ms=5000)
            assert answer.status == 200
            state = small.gateways[0].state
            records = map(state.health.record_of, state.directory.all())
            return [record.mean_seconds for record in records]

    assert max(asyncio.run(main())) < FREEZE_S / 2


def ask_for_stages_and_freeze(monkeypatch, observe):
    """Return what ``observe`` returns of the gateway before and after a freeze."""
    run_pieces = TargetStandin._run_pieces
    freezes = [FREEZE_S]

    async def run_and_freeze(*arguments):
        await run_pieces(*arguments)
        if freezes:
            freeze(freezes.pop())

    async def ask(small, request_id):
        extra = [(b"X-Lagoontide-Pieces", b"2,3")]
        extra.append((b"X-Lagoontide-Piece-Key", b"key"))
        answer = await send(small.ports[0], "/staged/a", request_id, extra=extra)
        assert answer.status == 200

    async def main():
        async with start_deployment() as small:
            for number in range(6):
                await ask(small, f"r{number}")
            before = observe(small.gateways[0])
            monkeypatch.setattr(TargetStandin, "_run_pieces", run_and_freeze)
            await ask(small, "frozen")
            return before, observe(small.gateways[0])

    return asyncio.run(main())


def test_freeze_of_an_entry_is_no_slowness_of_stage_targets(monkeypatch):
    def compare(gateway):
        (owner,) = gateway.dispatcher.owners
        slowest = max(item.slowness for item in owner._tracker.ready())
        return slowest / owner._tracker.median_slowness()

    _, ratio = ask_for_stages_and_freeze(monkeypatch, compare)
    assert ratio < SLOW_RATIO


# Guards against requests that are refused, as their forecasts follow the time in which
# this entry did not run.
def test_freeze_of_an_entry_does_not_lengthen_forecasts(monkeypatch):
    before, after = ask_for_stages_and_freeze(
        monkeypatch, lambda gateway: gateway.calibration.factor
    )
    assert after <= max(before, DEFAULT_FACTOR)
