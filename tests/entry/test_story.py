"""What listeners are told of requests that end in unusual ways."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from lagoontide.configuration.holder import Holder
from lagoontide.deployments import (
    generate_sample_requests,
    load_deployment,
    make_account_token,
)
from lagoontide.dispatch.pace import Pace
from lagoontide.entry.door import CallerRequest
from lagoontide.entry.service import Entry
from lagoontide.errors import RequestRejected
from lagoontide.metrics import NoMetrics
from tests.support.virtual import run_virtual


class BrokenDispatcher:
    """Fails with what it is given, or never answers."""

    def __init__(self, fault=None):
        self.fault = fault
        self.tail = SimpleNamespace(pace=Pace())

    def count_entries(self):
        return 1

    async def call(self, call):
        if self.fault is None:
            await asyncio.Event().wait()
        raise self.fault


def make_entry(dispatcher):
    holder = Holder()
    entry = Entry(holder, dispatcher, None, NoMetrics(), None, sheds=False)
    holder.adopt(1, load_deployment("swanreach"))
    return entry


def make_call(entry_token="", route=""):
    sample = next(generate_sample_requests(load_deployment("swanreach"), "story"))
    return CallerRequest(
        route=route or sample.route.name,
        token=entry_token or make_account_token(sample.account.name),
        body=msgspec.json.encode(sample.body),
        priority=sample.priority,
    )


def test_a_fault_of_the_entry_is_never_told_as_an_answer():
    async def run():
        entry = make_entry(BrokenDispatcher(ZeroDivisionError("broken")))
        stories = []
        entry.subscribe(stories.append)
        with pytest.raises(ZeroDivisionError):
            await entry.serve(make_call())
        return stories

    (story,) = run_virtual(run())
    assert story.outcome == "unknown"
    assert "broken" in story.reason


def test_a_cancelled_request_is_never_told_as_an_answer():
    async def run():
        entry = make_entry(BrokenDispatcher())
        stories = []
        entry.subscribe(stories.append)
        task = asyncio.create_task(entry.serve(make_call()))
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return stories

    (story,) = run_virtual(run())
    assert story.outcome == "unknown"


def test_a_listener_that_fails_costs_nobody_anything():
    async def run():
        entry = make_entry(BrokenDispatcher())
        stories = []
        entry.subscribe(lambda story: 1 / 0)
        entry.subscribe(stories.append)
        with pytest.raises(RequestRejected):
            await entry.serve(make_call(route="no-such-route"))
        assert await entry.drain(1.0)
        return stories

    (story,) = run_virtual(run())
    assert (story.outcome, story.budget) == ("refused", 0.0)
    assert story.account


def test_a_token_of_nobody_has_no_account():
    async def run():
        entry = make_entry(BrokenDispatcher())
        stories = []
        entry.subscribe(stories.append)
        with pytest.raises(RequestRejected):
            await entry.serve(make_call(entry_token="nobody"))
        return stories

    (story,) = run_virtual(run())
    assert (story.outcome, story.account) == ("refused", "")
