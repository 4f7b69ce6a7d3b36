"""The tables of docs/CAPACITY.md are those that the slopes give."""

import importlib.util
from pathlib import Path

import msgspec
import pytest

from lagoontide.bench.capacity import SlopesFile

ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def capacity():
    spec = importlib.util.spec_from_file_location(
        "capacity", ROOT / "tools" / "capacity.py"
    )
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def read_slopes(capacity):
    return msgspec.json.decode(capacity.SLOPES.read_bytes(), type=SlopesFile).slopes


def test_the_tables_are_up_to_date(capacity):
    page = capacity.PAGE.read_text("utf-8")
    assert capacity.rewrite(page, capacity.make_tables(read_slopes(capacity))) == page


def test_another_slope_makes_them_out_of_date(capacity):
    page = capacity.PAGE.read_text("utf-8")
    slopes = read_slopes(capacity)
    slopes.heartbeat_cpu *= 2
    assert capacity.rewrite(page, capacity.make_tables(slopes)) != page


def test_a_page_without_a_table_is_refused(capacity):
    tables = capacity.make_tables(read_slopes(capacity))
    with pytest.raises(SystemExit, match="no table"):
        capacity.rewrite("# Capacity", tables)
