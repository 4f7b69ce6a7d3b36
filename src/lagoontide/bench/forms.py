"""What a form of the console costs, from the request to the page."""

import asyncio
import statistics
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import msgspec

from lagoontide.configuration.acceptance import Acceptance, make_writer
from lagoontide.configuration.document import Document
from lagoontide.configuration.holder import Holder
from lagoontide.configuration.model import dump_document
from lagoontide.configuration.source import publish
from lagoontide.console.edit import WAS, start_edit
from lagoontide.console.editor import Editor
from lagoontide.console.forms import make_form
from lagoontide.console.seen import Seen, read_seen
from lagoontide.httpd import LoopBridge
from lagoontide.operators.app import OperatorRequest, OperatorResponse
from lagoontide.operators.pages import make_pages
from lagoontide.standins.store import MemoryStore

__all__ = ["FormCost", "measure_forms"]

REPEATS = 5
UNLIMITED_PER_S = 1e9
SECTION = "accounts"


class FormCost(msgspec.Struct):
    """Seconds of one core for each step of a change to a client account."""

    show: float
    review: float
    accept: float


class _InlineBridge(LoopBridge):
    """Runs coroutines on a loop that is not running."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.loop = loop

    def call(self, coro: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coro)


def measure_forms(document: Document) -> FormCost:
    """Return the median cost of a form's steps over a document."""
    loop = asyncio.new_event_loop()
    bridge = _InlineBridge(loop)
    try:
        store = bridge.call(_start(document))
        return _measure(Acceptance(store), bridge)
    finally:
        loop.close()


async def _start(document: Document) -> MemoryStore:
    store = MemoryStore(0, UNLIMITED_PER_S, UNLIMITED_PER_S)
    await publish(store, document, 0)
    return store


def _measure(acceptance: Acceptance, bridge: LoopBridge) -> FormCost:
    pages = make_pages("lagoontide.console")
    editor = Editor(acceptance, bridge, pages, lambda service: ())
    holder = Holder()
    times: dict[str, list[float]] = {"show": [], "review": [], "accept": []}

    def read() -> Seen:
        return read_seen(acceptance, holder, bridge)

    def show(name: str) -> OperatorResponse:
        return editor.show(_make_request("GET", {}), read(), SECTION, name, name)

    def take(name: str, step: str, form: dict[str, list[str]]) -> OperatorResponse:
        req = _make_request("POST", form | {"step": [step]})
        return editor.take(req, read(), SECTION, name, name)

    name = next(iter(read().document.accounts))
    for number in range(REPEATS):
        form = _fill(read(), name, f"{number + 2}.5")
        times["show"].append(_time(show, name))
        times["review"].append(_time(take, name, "review", form))
        times["accept"].append(_time(take, name, "accept", form))
    return FormCost(**{step: statistics.median(found) for step, found in times.items()})


def _fill(seen: Seen, name: str, weight: str) -> dict[str, list[str]]:
    """Return the fields of an account's form with another weight."""
    form = make_form(SECTION, name, seen.document)
    assert form is not None
    item = dump_document(seen.document)[SECTION][name]
    edit = start_edit(form, name, seen.version, item)
    fields = {key: [text] for key, text in edit.typed.items()}
    was = {f"{WAS}{key}": [text] for key, text in edit.was.items()}
    head = {"version": [str(seen.version)], "writer": [make_writer()]}
    return head | was | fields | {"weight": [weight]}


def _make_request(method: str, form: dict[str, list[str]]) -> OperatorRequest:
    return OperatorRequest("operator", method, "", {}, {}, b"", "mark", form)


def _time(call: Callable[..., OperatorResponse], *arguments: Any) -> float:
    """Return the seconds of this process's CPU that a step took."""
    started = time.process_time()
    response = call(*arguments)
    elapsed = time.process_time() - started
    assert response.status in (HTTPStatus.OK, HTTPStatus.SEE_OTHER), response.status
    return elapsed
