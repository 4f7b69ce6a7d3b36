"""Log lines include the request, stage and peer that are bound to the logger."""

import json

import pytest
from loguru import logger

from lagoontide.logs import configure_logging
from lagoontide.settings import LogSettings


@pytest.fixture(autouse=True)
def restore_logger():
    yield
    logger.remove()


def test_json_lines_carry_bound_context(capsys):
    configure_logging(LogSettings(format="json"), "entry-1")
    logger.bind(request="r", stage="draft", peer="model-1").info("attempt {}", 2)
    logger.info("plain {text}")
    first, second = map(json.loads, capsys.readouterr().err.splitlines())
    assert first["message"] == "attempt 2"
    assert first["process"] == "entry-1"
    assert (first["request"], first["stage"], first["peer"]) == (
        "r",
        "draft",
        "model-1",
    )
    assert second["message"] == "plain {text}"
    assert "peer" not in second


def test_an_exception_is_one_json_line(capsys):
    configure_logging(LogSettings(format="json"), "entry-1")
    try:
        raise ValueError("bad value 7")
    except ValueError:
        logger.exception("failed")
    (line,) = capsys.readouterr().err.splitlines()
    assert "bad value 7" in json.loads(line)["exception"]


def test_text_lines_carry_bound_context(capsys):
    configure_logging(LogSettings(), "agent-1")
    logger.bind(peer="entry-1").warning("odd <{}>", "value")
    assert "WARNING agent-1 peer=entry-1 odd <value>" in capsys.readouterr().err
