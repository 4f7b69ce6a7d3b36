"""Tokens of attempts that run side by side are never mixed."""

from hypothesis import given, settings, strategies as st

from lagoontide.dispatch.tokens import LEAD_TOKENS, TokenLog

ATTEMPTS = ("a", "b", "c")


class Listener:
    def __init__(self):
        self.tokens = []
        self.leads = []

    def take(self, offset, tokens):
        assert offset == len(self.tokens)
        self.tokens.extend(tokens)


def _make(listens=True):
    listener = Listener()
    log = TokenLog(listener.take if listens else None)
    log.on_lead = listener.leads.append
    return log, listener


def test_a_lone_attempt_is_settled_at_once():
    log, listener = _make()
    log.begin("a")
    assert log.take("a", 0, ["x", "y"])
    assert log.take("a", 1, ["y", "z"])
    assert listener.tokens == log.settled == ["x", "y", "z"]


def test_a_gap_is_not_taken():
    log, listener = _make()
    log.begin("a")
    assert not log.take("a", 1, ["y"])
    assert listener.tokens == []


def test_the_one_that_comes_ahead_leads_and_the_other_is_dropped():
    log, listener = _make()
    log.begin("a")
    log.take("a", 0, ["x"])
    log.begin("b")
    log.take("a", 1, ["slow"])
    assert listener.tokens == ["x"]
    log.take("b", 1, [f"b{n}" for n in range(LEAD_TOKENS)])
    assert listener.leads == ["b"]
    log.take("a", 2, ["late"] * 5)
    assert listener.tokens == ["x", *(f"b{n}" for n in range(LEAD_TOKENS))]


def test_the_survivor_of_two_is_settled():
    log, listener = _make()
    log.begin("a")
    log.begin("b")
    log.take("a", 0, ["a0"])
    log.take("b", 0, ["b0"])
    log.end("a")
    assert listener.tokens == ["b0"]


def test_without_a_listener_the_winner_is_settled_at_the_end():
    log, listener = _make(listens=False)
    log.begin("a")
    log.begin("b")
    log.take("a", 0, ["a"] * 10)
    log.take("b", 0, ["b"] * 8)
    assert log.settled == []
    log.finish("b")
    assert log.settled == ["b"] * 8


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("begin", "take", "end", "finish")),
        st.sampled_from(ATTEMPTS),
        st.integers(0, 3),
        st.integers(1, 4),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS, st.booleans())
def test_what_is_settled_is_a_prefix_of_a_single_attempt(steps, listens):
    """Each token names its attempt; a change of attempt needs a new beginning."""
    log, listener = _make(listens)
    began = {}
    for number, (step, name, back, size) in enumerate(steps):
        before = list(log.settled)
        if step == "begin" and name not in began:
            attempt = began[name] = f"{name}{number}"
            bases = {**getattr(log, "bases", {}), attempt: before}
            log.bases = bases
            log.begin(attempt)
        elif step == "take" and name in began:
            start = max(0, log.count(began[name]) - back)
            whole = [f"{began[name]}:{start + i}" for i in range(size)]
            log.take(began[name], start, whole)
        elif step == "end" and name in began:
            log.end(began.pop(name))
        elif step == "finish" and name in began:
            log.finish(began.pop(name))
        assert log.settled[: len(before)] == before
        if listens:
            assert listener.tokens == log.settled
        _check_runs(log.settled, log.__dict__.get("bases", {}))


def _check_runs(settled, bases):
    """Tokens of one attempt stand together, behind what it resumed from."""
    for position, token in enumerate(settled):
        attempt, _, index = token.partition(":")
        assert int(index) == position
        base = bases[attempt]
        assert settled[: len(base)] == base
        assert all(x.startswith(f"{attempt}:") for x in settled[len(base) : position])
