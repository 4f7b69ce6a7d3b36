"""Log output to a pipe: bounded and non-blocking."""

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
    log_output = LogOutput("entry-1", writer)
    log_output.install()
    return log_output


def test_line_is_json_with_its_bound_fields(pipe):
    reader, writer = pipe
    log_output = make_output(writer)
    logger.bind(request="r1", age=0.5).info("hello {}", "there")
    log_output.flush()
    line = msgspec.json.decode(os.read(reader, 1000))
    assert line["message"] == "hello there"
    assert (line["process"], line["request"], line["age"]) == ("entry-1", "r1", 0.5)


def test_full_output_does_not_block_and_dropped_lines_are_reported(pipe, monkeypatch):
    monkeypatch.setattr(output, "MAX_QUEUED_LINES", 50)
    reader, writer = pipe
    log_output = make_output(writer)
    for number in range(3000):
        logger.info("line {} {}", number, "x" * 100)
        if number % 20 == 0:
            log_output.flush()
    assert log_output.dropped > 0
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        log_output.flush()
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    reports = [line for line in text.split(b"\n") if b"log lines dropped" in line]
    assert reports


def test_closed_output_raises_nothing_and_counts_dropped_lines(pipe):
    reader, writer = pipe
    log_output = make_output(writer)
    os.close(reader)
    for _ in range(3):
        logger.info("into nothing")
        log_output.flush()
    assert log_output.dropped >= 3


def test_idle_process_does_not_flush(pipe, monkeypatch):
    reader, writer = pipe
    log_output = make_output(writer)
    flushed = []
    flush = log_output.flush
    monkeypatch.setattr(log_output, "flush", lambda: (flushed.append(1), flush()))

    async def main():
        writing = asyncio.create_task(log_output.run())
        await asyncio.sleep(4 * output.FLUSH_INTERVAL_S)
        idle = len(flushed)
        logger.info("something")
        await asyncio.sleep(output.FLUSH_INTERVAL_S / 2)
        writing.cancel()
        return idle

    assert asyncio.run(main()) <= 1
    assert b"something" in os.read(reader, 1000)


def test_lines_queued_behind_a_full_pipe_are_written_without_a_new_line(pipe):
    reader, writer = pipe
    log_output = make_output(writer)
    for number in range(2000):
        logger.info("line {} {}", number, "x" * 100)
    logger.info("the last")

    async def main():
        writing = asyncio.create_task(log_output.run())
        text = b""
        async with asyncio.timeout(10.0):
            while b"the last" not in text:
                await asyncio.sleep(output.FLUSH_INTERVAL_S)
                text += os.read(reader, 1 << 20)
        writing.cancel()

    asyncio.run(main())
