"""Choice of a target and verdicts on stragglers."""

import itertools
import random

import msgspec
from hypothesis import given, settings, strategies as st

from lagoontide.routing.choose import (
    Candidate,
    Default,
    FirstVersion,
    LeastOutstanding,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
    expected_completion,
    make_choose,
)
from lagoontide.routing.health import (
    Health,
    Standing,
    Usual,
    Verdict,
    find_out_cap,
    find_usual_token_time,
    judge,
)

check = settings(derandomize=True, deadline=None, max_examples=100)
POLICIES = [
    Default(),
    FirstVersion(),
    LeastOutstanding(),
    PowerOfTwo(),
    RandomChoice(),
    RoundRobin(),
]
counts = st.integers(0, 64)
candidates = st.builds(
    Candidate,
    name=st.just("x"),
    failure_domain=st.just("malaga"),
    queued=counts,
    running=counts,
    limit=st.integers(1, 64),
    age=st.floats(0, 10),
    sent=counts,
    service_time=st.floats(0, 10),
    sent_since=counts,
    ratio=st.floats(0.1, 20),
)


@check
@given(
    st.sampled_from(POLICIES),
    st.lists(candidates, min_size=1, max_size=8),
    st.integers(0, 99),
)
def test_every_policy_gives_an_index(policy, pool, seed):
    assert make_choose(policy, random.Random(seed))(pool) in range(len(pool))


@check
@given(candidates, st.integers(1, 50), st.floats(0, 64))
def test_more_sent_is_never_better(candidate, more, usual):
    worse = msgspec.structs.replace(candidate, sent_since=candidate.sent_since + more)
    after = expected_completion(worse, usual)
    assert after >= expected_completion(candidate, usual)


@check
@given(candidates, st.floats(0, 64))
def test_old_counts_give_way_to_the_usual(candidate, usual):
    old = msgspec.structs.replace(candidate, age=1e6, sent=0, sent_since=0)
    wanted = old.ratio * (1 + usual / old.limit)
    assert abs(expected_completion(old, usual) - wanted) < 1e-6 * max(1, wanted)


def test_default_takes_the_least_loaded():
    pool = [Candidate("x", "d", 0, n, 8, 0.0, 0, 0.1) for n in (4, 1, 6)]
    choose = make_choose(Default(), random.Random(1))
    assert {choose(pool) for _ in range(20)} == {1}


def test_a_slow_target_is_put_out_and_comes_back_after_good_probes():
    health = Health()
    for _ in range(20):
        health.note_ratio(8.0)
    assert judge(health, Usual(0.02), 1.0) is Verdict.PUT_OUT
    health.put_out(1.0)
    health.note_ratio(9.0)
    health.note_ratio(1.0)
    assert judge(health, Usual(0.02), 2.0) is Verdict.KEEP
    health.note_ratio(1.0)
    assert judge(health, Usual(0.02), 2.0) is Verdict.BRING_BACK


def test_silence_counts_only_while_work_is_there():
    health = Health()
    assert judge(health, Usual(0.02), 100.0) is Verdict.KEEP
    health.begin(100.0)
    assert judge(health, Usual(0.02), 100.05) is Verdict.KEEP
    assert judge(health, Usual(0.02), 100.5) is Verdict.PUT_OUT
    health.end()
    assert judge(health, Usual(0.02), 101.0) is Verdict.KEEP


@check
@given(st.lists(st.booleans(), max_size=40))
def test_never_more_than_a_third_of_a_pool_is_out(states):
    pool = [Health() for _ in states]
    for item, wants_out in zip(pool, states, strict=True):
        if wants_out and find_out_cap(pool):
            item.put_out(0.0)
    out = sum(item.standing is Standing.OUT for item in pool)
    assert out <= max(len(pool) * 0.34, 1 if len(pool) > 1 else 0)


def test_probes_come_one_at_a_time():
    health = Health()
    assert not health.take_probe(5.0)
    health.put_out(5.0)
    assert not health.take_probe(5.1)
    assert health.take_probe(6.0)
    assert not health.take_probe(6.1)


def test_probes_become_rare_while_they_find_it_slow():
    health = Health()
    health.put_out(0.0)
    taken = []
    for tick in range(1000):
        if health.take_probe(tick / 50):
            taken.append(tick / 50)
            health.note_ratio(10.0)
    gaps = [round(after - before, 1) for before, after in itertools.pairwise(taken)]
    assert gaps == sorted(gaps)
    assert gaps[0] < 1.0 and gaps[-1] <= 2.5


def test_a_generation_that_drags_tells_of_its_target_before_it_ends():
    pool = [Health() for _ in range(5)]
    for _ in range(30):
        for health in pool:
            health.note_tokens(3, 0.03)
    usual = Usual(0.02, find_usual_token_time(pool))
    assert {judge(health, usual, 0.0) for health in pool} == {Verdict.KEEP}
    for _ in range(12):
        pool[0].note_tokens(1, 0.05)
    assert judge(pool[0], usual, 0.0) is Verdict.PUT_OUT
