"""Log lines on standard output: bounded, and never waited for."""

import asyncio
import contextlib
import os

import msgspec
import pytest
from loguru import logger

from lagoontide.gateway import output
from lagoontide.gateway.output import LogOutput


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    logger.remove()
    for fd in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(fd)


def make_output(writer):
    made = LogOutput("entry-1", writer)
    made.install()
    return made


def test_a_line_is_json_with_its_fields(pipe):
    reader, writer = pipe
    made = make_output(writer)
    logger.bind(request="r1", age=0.5).info("hello {}", "there")
    made.flush()
    line = msgspec.json.decode(os.read(reader, 1000))
    assert line["message"] == "hello there"
    assert (line["process"], line["request"], line["age"]) == ("entry-1", "r1", 0.5)


def test_a_full_output_is_not_waited_for_and_its_loss_is_told(pipe, monkeypatch):
    monkeypatch.setattr(output, "MOST_LINES", 50)
    reader, writer = pipe
    made = make_output(writer)
    for number in range(3000):
        logger.info("line {} {}", number, "x" * 100)
        if number % 20 == 0:
            made.flush()
    assert made.dropped > 0
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        made.flush()
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    told = [line for line in text.split(b"\n") if b"log lines dropped" in line]
    assert told


def test_a_closed_output_ends_nothing(pipe):
    reader, writer = pipe
    made = make_output(writer)
    os.close(reader)
    for _ in range(3):
        logger.info("into nothing")
        made.flush()
    assert made.dropped >= 3


def test_idle_process_does_not_wake_to_write_nothing(pipe, monkeypatch):
    reader, writer = pipe
    made = make_output(writer)
    flushed = []
    flush = made.flush
    monkeypatch.setattr(made, "flush", lambda: (flushed.append(1), flush()))

    async def main():
        writing = asyncio.create_task(made.run())
        await asyncio.sleep(4 * output.FLUSH_EVERY_S)
        idle = len(flushed)
        logger.info("something")
        await asyncio.sleep(output.FLUSH_EVERY_S / 2)
        writing.cancel()
        return idle

    assert asyncio.run(main()) <= 1
    assert b"something" in os.read(reader, 1000)


def test_lines_left_by_a_full_output_are_written_without_a_further_line(pipe):
    reader, writer = pipe
    made = make_output(writer)
    for number in range(2000):
        logger.info("line {} {}", number, "x" * 100)
    logger.info("the last")

    async def main():
        writing = asyncio.create_task(made.run())
        text = b""
        async with asyncio.timeout(10.0):
            while b"the last" not in text:
                await asyncio.sleep(output.FLUSH_EVERY_S)
                text += os.read(reader, 1 << 20)
        writing.cancel()

    asyncio.run(main())
