"""Requests that omit stages of their route: which are served, and with which inputs."""

import asyncio
from itertools import product

import msgspec
import pytest

from lagoontide.http1.messages import field_value
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.targets import TargetStandin
from lagoontide.routes.omissions import find_broken_stage
from lagoontide.routes.records import Stage
from tests.support.waiting import wait_for

KINDS = {
    "safe": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "service": "plain"},
    "stream": {"kind": "stream", "service": "engine"},
    "resumable": {
        "kind": "stream",
        "service": "engine",
        "resume_streams": True,
        "max_attempts": 2,
    },
}
# For each shape: what its stages follow, numbers of pieces that can't be served, and
# numbers that can.
SHAPES = {
    "one": ([[]], [], [(0,), (2,)]),
    "row": (
        [[], [0], [1]],
        [(0, 1, 3), (2, 0, 3), (2, 1, 0), (0, 0, 3), (2, 0, 0), (0, 1, 0)],
        [(0, 0, 0), (2, 1, 3)],
    ),
    "fan-in": (
        [[], [], [0, 1]],
        [(0, 0, 2), (1, 2, 0), (1, 0, 0)],
        [(1, 0, 2), (0, 1, 2), (2, 1, 1)],
    ),
    "fan-out": (
        [[], [0], [0]],
        [(0, 1, 1), (2, 0, 0), (0, 0, 1)],
        [(2, 1, 0), (2, 0, 1), (1, 1, 1)],
    ),
    "diamond": (
        [[], [0], [0], [1, 2]],
        [(0, 1, 1, 1), (2, 0, 0, 1), (1, 2, 1, 0), (0, 1, 0, 1), (1, 0, 0, 0)],
        [(2, 1, 0, 1), (1, 0, 2, 1), (1, 1, 1, 1)],
    ),
    "shortcut": (
        [[], [0], [0, 1]],
        [(1, 1, 0), (0, 1, 1), (0, 0, 1)],
        [(2, 0, 1), (1, 1, 1)],
    ),
    "row and a stage apart": (
        [[], [], [1], [2]],
        [(1, 1, 0, 2), (1, 0, 1, 2), (2, 1, 1, 0)],
        [(0, 1, 2, 1), (2, 0, 0, 0), (1, 1, 1, 1)],
    ),
}


def make_route(kind, shape):
    stages = [
        {"service": "stage", "after": after, "bytes": 1000}
        for after in SHAPES[shape][0]
    ]
    route = {"name": "new", "host": "a.example", "prefix": "/new/", "stages": stages}
    route |= {"timeout_ms": 2000, "target_latency_ms": 300, "gap_target_ms": 100}
    return route | KINDS[kind]


def run(scenario, kind, shape):
    async def main():
        async with start_deployment() as small:
            others = msgspec.json.decode(make_configuration(1))["routes"]
            small.configure(2, routes=[*others, make_route(kind, shape)])
            state = small.gateways[0].state
            await wait_for(lambda: state.route_table.version == 2)
            await scenario(small)

    asyncio.run(main())


def ask(small, request_id, counts):
    fields = [
        (b"X-Lagoontide-Pieces", ",".join(map(str, counts)).encode()),
        (b"X-Lagoontide-Piece-Key", b"key"),
    ]
    return send(small.ports[0], "/new/a", request_id, extra=fields)


@pytest.fixture
def items(monkeypatch):
    """Return a list that gets each piece that a stage target is asked for."""
    asked = []

    def run_piece(target, item):
        asked.append(item)
        return original(target, item)

    original = TargetStandin._run_piece
    monkeypatch.setattr(TargetStandin, "_run_piece", run_piece)
    return asked


# Guards against pieces, or a target, that are given none or only some of their inputs,
# as the stages that make them are omitted (MIXED).
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shape", SHAPES)
def test_request_that_omits_a_needed_stage_is_refused_before_anything_runs(
    kind, shape, items
):
    async def scenario(small):
        for number, counts in enumerate(SHAPES[shape][1]):
            answer = await ask(small, f"r{number}", counts)
            assert (answer.status, counts) == (400, counts)
            assert field_value(answer.fields, b"retry-after") is None
            assert b"has pieces, but none of the stages" in answer.body
        assert not items
        assert not any(target.calls for target in small.targets_of("stage"))
        assert not any(target.arrived_at for target in small.targets_of("plain"))
        assert not any(target.arrived_at for target in small.targets_of("engine"))

    run(scenario, kind, shape)


# Guards against requests that are refused, or lack inputs, though all stages that have
# pieces have their inputs and a taker.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shape", SHAPES)
def test_request_that_omits_other_stages_runs_with_all_of_its_inputs(
    kind, shape, items
):
    after, _, served = SHAPES[shape]
    followed = {before for stage in after for before in stage}

    def pieces(request_id, stages, counts):
        return {
            (request_id, stage, number)
            for stage in stages
            for number in range(counts[stage])
        }

    async def scenario(small):
        made = {}
        for number, counts in enumerate(served):
            request_id = f"r{number}"
            answer = await ask(small, request_id, counts)
            assert (answer.status, counts) == (200, counts)
            for target in small.targets_of("stage"):
                made |= target.pieces_by_handle
            own = [item for item in items if item["id"] == request_id]
            asked = {(request_id, item["stage"], item["piece"]) for item in own}
            assert asked == pieces(request_id, range(len(after)), counts)
            for item in own:
                given = [made[handle] for handle in item.get("inputs", ())]
                wanted = pieces(request_id, after[item["stage"]], counts)
                assert sorted(given) == sorted(wanted)
                assert ("key" in item) is not bool(after[item["stage"]])
            (only,) = [
                log
                for target in small.targets_of(KINDS[kind]["service"])
                for log in target.log
                if log.request_id == request_id
            ]
            final = set(range(len(after))) - followed
            wanted = pieces(request_id, final, counts)
            assert sorted(made[handle] for handle in only.inputs) == sorted(wanted)

    run(scenario, kind, shape)


# Guards against a final refusal by an entry that may have missed a change of stages.
def test_refusal_is_not_final_while_the_configuration_may_be_old():
    async def scenario(small):
        small.gateways[0].state.is_cut_off = lambda: True
        answer = await ask(small, "r1", (2, 0, 3))
        assert answer.status == 503
        assert field_value(answer.fields, b"retry-after")
        assert not any(target.calls for target in small.targets_of("stage"))

    run(scenario, "safe", "row")


# Guards against shapes for which the rule and its definition differ.
@pytest.mark.parametrize("shape", SHAPES)
def test_each_set_of_omitted_stages_is_served_or_refused(shape):
    after, refused, served = SHAPES[shape]
    stages = [Stage("stage", tuple(before)) for before in after]
    followed = {before for stage in after for before in stage}
    for counts in product((0, 2), repeat=len(stages)):
        has_inputs = all(
            not counts[index] or not before or any(counts[item] for item in before)
            for index, before in enumerate(after)
        )
        # Each stage with pieces leads to the target through stages with pieces.
        reached = {index for index in range(len(after)) if index not in followed}
        reached = {index for index in reached if counts[index]}
        for _ in after:
            reached |= {
                before for index in reached for before in after[index] if counts[before]
            }
        is_taken = reached == {index for index, count in enumerate(counts) if count}
        is_served = not find_broken_stage(stages, counts)
        assert is_served is (has_inputs and is_taken)
        shown = tuple(map(bool, counts))
        assert not is_served or shown not in {tuple(map(bool, one)) for one in refused}
    assert not any(find_broken_stage(stages, counts) for counts in served)
    assert all(find_broken_stage(stages, counts) for counts in refused)
