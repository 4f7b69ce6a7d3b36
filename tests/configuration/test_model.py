"""Validation names every problem and its place; nothing valid changes on the way."""

import copy
import tomllib

import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.configuration.document import decode_document, encode_document
from lagoontide.configuration.model import dump_document, parse_document
from lagoontide.configuration.toml import render_toml
from lagoontide.errors import DocumentError
from tests.support.documents import make_data, valid_data

STAGES = "routes__notice__stages"
HASH = "ab" * 32

FAULTS = {
    "services.encoders.replicas": {"services__encoders__replicas": 0},
    "services.encoders.kind": {"services__encoders__kind": "oracle"},
    "services.encoders.colour": {"services__encoders__colour": "blue"},
    "services.engine.draining": {"services__engine__draining": ["a", "b", "c"]},
    "routes.notice.deadline": {"routes__notice__deadline": 0.21},
    "routes.notice.objective": {"routes__notice__objective": 1.0},
    "routes.notice.answer.text": {"routes__notice__answer": {"text": "none.text"}},
    "routes.notice.stages.0.service": {f"{STAGES}__0__service": "nobody"},
    "routes.notice.stages": {f"{STAGES}__1__name": "embed"},
    "accounts.schools.routes.0": {"accounts__schools__routes": ["nowhere"]},
    "accounts.schools.priorities": {"accounts__schools__priorities": ["low", "low"]},
    "accounts.schools.requests_per_second": {
        "accounts__schools__requests_per_second": 121.0
    },
    "accounts.other.token_hashes.0": {
        "accounts__other": {
            "token_hashes": [HASH],
            "priorities": ["low"],
            "routes": ["notice"],
        }
    },
    "failure_domains": {"failure_domains": ["malaga", "malaga"]},
    "policies.cut_off": {"policies": {"cut_off": "panic"}},
    "surprise": {"surprise": 1},
}


def find_places(data):
    with pytest.raises(DocumentError) as caught:
        parse_document(data)
    return {problem.place for problem in caught.value.problems}


@pytest.mark.parametrize("place", FAULTS)
def test_each_fault_names_its_place(place):
    assert place in find_places(make_data(**FAULTS[place]))


APART = sorted(set(FAULTS) - {"routes.notice.stages"})
WRONG_SERVICE = {f"services.encoders.{x}" for x in ("replicas", "kind", "colour")}
WRONG_ROUTE = {"routes.notice.objective"}

# A part that is wrong by itself is not compared with others any further.
HIDDEN_BY = {
    "routes.notice.deadline": WRONG_ROUTE
    | WRONG_SERVICE
    | {"routes.notice.stages.0.service"},
    "routes.notice.answer.text": WRONG_ROUTE,
    "routes.notice.stages.0.service": WRONG_ROUTE,
    "accounts.schools.requests_per_second": WRONG_ROUTE | {"accounts.schools.routes.0"},
}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.sets(st.sampled_from(APART), min_size=2, max_size=6))
def test_all_faults_are_found_at_once(places):
    changes = {key: value for place in places for key, value in FAULTS[place].items()}
    hidden = {x for x in places if HIDDEN_BY.get(x, set()) & places}
    assert places - hidden <= find_places(make_data(**changes))


def test_a_cycle_is_told_from_a_wrong_order():
    data = make_data(**{f"{STAGES}__0__inputs": {"text": "draft.text"}})
    with pytest.raises(DocumentError, match="'embed' and 'draft' wait for each other"):
        parse_document(data)
    data = make_data(**{f"{STAGES}__1__inputs": {"text": "draft.text"}})
    data["routes"]["notice"]["stages"][2]["inputs"] = {"text": "request.text"}
    with pytest.raises(DocumentError, match="stage 'draft' comes later"):
        parse_document(data)


def test_a_limit_is_measured_against_what_drain_leaves():
    limit = {"accounts__schools__requests_per_second": 100.0}
    parse_document(make_data(**limit))
    places = find_places(make_data(**limit, services__engine__draining=["engine-1"]))
    assert places == {"accounts.schools.requests_per_second"}


def test_wild_shapes_are_problems_not_crashes():
    for data in ({}, {"services": 3, "routes": [], "accounts": None}):
        assert {"services", "routes", "accounts", "failure_domains"} <= find_places(
            data
        )


@settings(derandomize=True, deadline=None, max_examples=30)
@given(valid_data())
def test_a_document_survives_toml_and_its_encoding(data):
    before = copy.deepcopy(data)
    document = parse_document(data)
    assert data == before
    assert decode_document(encode_document(document)) == document
    text = render_toml(dump_document(document))
    assert parse_document(tomllib.loads(text)) == document


def test_a_large_document_is_deflated_and_a_cut_one_refused():
    accounts = {
        f"account-{number}": {
            "token_hashes": [f"{number:064x}"],
            "priorities": ["normal"],
            "routes": ["notice"],
            "requests_per_second": 1.0,
        }
        for number in range(1000)
    }
    document = parse_document(make_data(accounts=accounts))
    data = encode_document(document)
    assert len(data) < 64 << 10
    assert decode_document(data) == document
    for wrong in (data[:-9], b"x\x9cnothing", b""):
        with pytest.raises(ValueError):
            decode_document(wrong)
