"""Documents for tests: a small valid one, and generated ones."""

import copy
import string

from hypothesis import strategies as st

from lagoontide.configuration.model import parse_document

STAGE_NAMES = ("embed", "search", "draft")

SMALL = {
    "failure_domains": ["palermo", "catania"],
    "services": {
        "encoders": {"kind": "encoder", "replicas": 2, "slots": 4, "expected": 0.01},
        "engine": {"kind": "engine", "replicas": 3, "slots": 8, "expected": 0.2},
    },
    "routes": {
        "notice": {
            "deadline": 2.5,
            "answer": {"text": "draft.text"},
            "stages": [
                {
                    "name": "embed",
                    "service": "encoders",
                    "operation": "embed",
                    "inputs": {"text": "request.text"},
                },
                {
                    "name": "search",
                    "service": "encoders",
                    "operation": "search",
                    "inputs": {"vector": "embed.vector"},
                },
                {
                    "name": "draft",
                    "service": "engine",
                    "operation": "draft",
                    "inputs": {"documents": "search.documents"},
                    "constants": {"max_tokens": 24},
                },
            ],
        }
    },
    "accounts": {
        "schools": {
            "token_hashes": ["ab" * 32],
            "priorities": ["normal", "high"],
            "routes": ["notice"],
            "requests_per_second": 20.0,
        }
    },
}


def make_data(**changes):
    """Return the small document with values put at places such as ``a__b__0``."""
    data = copy.deepcopy(SMALL)
    for place, value in changes.items():
        *path, last = (int(x) if x.isdigit() else x for x in place.split("__"))
        item = data
        for key in path:
            item = item[key]
        item[last] = value
    return data


def make_small(**changes):
    return parse_document(make_data(**changes))


NAMES = st.text(string.ascii_lowercase + string.digits + "-", max_size=8).map(
    lambda text: f"a{text}"
)
FIELDS = st.sampled_from(["text", "vector", "note_1"])
SCALARS = st.one_of(
    st.booleans(),
    st.integers(-(2**40), 2**40),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
)
RATIOS = st.floats(0.5, 0.9999)


@st.composite
def valid_data(draw):
    """Draw a valid document as parsed TOML."""
    services = draw(st.dictionaries(NAMES, _service(), min_size=1, max_size=3))
    routes = draw(
        st.dictionaries(NAMES, _route(sorted(services)), min_size=1, max_size=3)
    )
    names = draw(st.lists(NAMES, min_size=1, max_size=3, unique=True))
    accounts = {
        name: draw(_account(sorted(routes), f"{number:064x}"))
        for number, name in enumerate(names)
    }
    return {
        "failure_domains": draw(st.lists(NAMES, min_size=1, max_size=4, unique=True)),
        "services": services,
        "routes": routes,
        "accounts": accounts,
        "policies": draw(
            st.fixed_dictionaries(
                {"cut_off_after": st.floats(30, 100)},
                optional={"cut_off": st.sampled_from(["serve", "repeatable", "stop"])},
            )
        ),
    }


def _service():
    return st.fixed_dictionaries(
        {
            "kind": st.sampled_from(["engine", "plain"]),
            "replicas": st.integers(3, 9),
            "draining": st.lists(NAMES, max_size=2, unique=True),
            "checks_orders": st.booleans(),
        }
    )


@st.composite
def _route(draw, services):
    stages, origins = [], ["request"]
    for name in STAGE_NAMES:
        sources = st.sampled_from(origins).map(lambda origin: f"{origin}.text")
        inputs = draw(st.dictionaries(FIELDS, sources, max_size=2))
        stages.append(
            {
                "name": name,
                "service": draw(st.sampled_from(services)),
                "operation": "run",
                "inputs": inputs,
                "constants": draw(st.dictionaries(st.just("limit"), SCALARS)),
                "repeatable": draw(st.booleans()),
                "expected": draw(st.sampled_from([0.0, 0.01, 0.1])),
            }
        )
        origins.append(name)
    return {
        "deadline": draw(st.floats(1, 60)),
        "objective": draw(RATIOS),
        "stages": stages,
        "answer": {"text": f"{draw(st.sampled_from(origins))}.text"},
    }


def _account(routes, token):
    return st.fixed_dictionaries(
        {
            "token_hashes": st.just([token]),
            "priorities": st.permutations(["high", "normal", "low"]),
            "routes": st.lists(
                st.sampled_from(routes), min_size=1, max_size=3, unique=True
            ),
            "requests_per_second": st.floats(0.1, 10),
        },
        optional={"objective": RATIOS},
    )
