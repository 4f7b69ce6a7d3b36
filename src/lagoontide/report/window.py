"""Counts and sketches of a stretch of time, in memory and between processes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, Self, TypeVar

import msgspec

from lagoontide.report.sketch import Sketch, SketchData, make_sketch
from lagoontide.report.tally import AttemptTally, Tally

__all__ = [
    "AttemptKey",
    "AttemptRow",
    "DurationKey",
    "DurationRow",
    "OTHERS",
    "RequestKey",
    "RequestRow",
    "Window",
    "WindowData",
    "make_window",
]

OTHERS = "(others)"
"""Stands for the names that did not fit into a window's bound."""

MAX_REQUEST_KEYS = 4096
MAX_ATTEMPT_KEYS = 4096
MAX_DURATION_KEYS = 512
MAX_ROUTES = 512


class RequestKey(NamedTuple):
    """What requests are counted by; the account is empty when none was accepted."""

    route: str
    account: str


class AttemptKey(NamedTuple):
    """What attempts are counted by."""

    route: str
    stage: str
    target: str
    failure_domain: str


class DurationKey(NamedTuple):
    """What durations are kept by.

    A route alone stands for its requests, with a stage for that stage of it; a
    target alone stands for the attempts there.
    """

    route: str = ""
    stage: str = ""
    target: str = ""


class RequestRow(msgspec.Struct, frozen=True, array_like=True):
    """Requests of an account on a route."""

    route: str
    account: str
    tally: Tally


class AttemptRow(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of a route's stage at a target."""

    route: str
    stage: str
    target: str
    failure_domain: str
    tally: AttemptTally


class DurationRow(msgspec.Struct, frozen=True, array_like=True):
    """Durations; for the first three see DurationKey."""

    route: str
    stage: str
    target: str
    data: SketchData


class WindowData(msgspec.Struct, frozen=True):
    """A window between processes; rows stand in no order."""

    requests: tuple[RequestRow, ...] = ()
    attempts: tuple[AttemptRow, ...] = ()
    durations: tuple[DurationRow, ...] = ()


class _Mergeable(Protocol):
    def merge(self, other: Self) -> None: ...


Key = TypeVar("Key")
Value = TypeVar("Value", bound=_Mergeable)


@dataclass(slots=True)
class Window:
    """Counts and sketches; the number of keys is bounded."""

    requests: dict[RequestKey, Tally] = field(default_factory=dict)
    attempts: dict[AttemptKey, AttemptTally] = field(default_factory=dict)
    durations: dict[DurationKey, Sketch] = field(default_factory=dict)

    def tally(self, key: RequestKey) -> Tally:
        """Return the counts of a key, those of ``OTHERS`` once there are too many."""
        tally = self.requests.get(key)
        if tally is not None:
            return tally
        if len(self.requests) >= MAX_REQUEST_KEYS + MAX_ROUTES:
            key = RequestKey(OTHERS, OTHERS)
        elif len(self.requests) >= MAX_REQUEST_KEYS:
            key = RequestKey(key.route, OTHERS)
        return self.requests.setdefault(key, Tally())

    def attempt(self, key: AttemptKey) -> AttemptTally:
        """Return the counts of a key, those of ``OTHERS`` once there are too many."""
        tally = self.attempts.get(key)
        if tally is not None:
            return tally
        if len(self.attempts) >= MAX_ATTEMPT_KEYS:
            key = AttemptKey(OTHERS, OTHERS, OTHERS, key.failure_domain)
        return self.attempts.setdefault(key, AttemptTally())

    def sketch(self, key: DurationKey) -> Sketch:
        """Return the durations of a key."""
        sketch = self.durations.get(key)
        if sketch is not None:
            return sketch
        if len(self.durations) >= MAX_DURATION_KEYS:
            key = DurationKey(target=OTHERS)
        return self.durations.setdefault(key, Sketch())

    def merge(self, other: "Window") -> None:
        """Add another window; in memory the bound on keys holds."""
        for request_key, tally in other.requests.items():
            self.tally(request_key).merge(tally)
        for attempt_key, attempts in other.attempts.items():
            self.attempt(attempt_key).merge(attempts)
        for duration_key, sketch in other.durations.items():
            self.sketch(duration_key).merge(sketch)

    def to_data(self) -> WindowData:
        """Return the window as it travels."""
        return WindowData(
            tuple(RequestRow(k.route, k.account, t) for k, t in self.requests.items()),
            tuple(
                AttemptRow(k.route, k.stage, k.target, k.failure_domain, t)
                for k, t in self.attempts.items()
            ),
            tuple(DurationRow(*k, s.to_data()) for k, s in self.durations.items()),
        )


def _fold(
    into: dict[Key, Value], items: Iterable[tuple[Key, Value]], new: Callable[[], Value]
) -> None:
    for key, value in items:
        held = into.get(key)
        if held is None:
            held = into[key] = new()
        held.merge(value)


def make_window(parts: Iterable[WindowData]) -> Window:
    """Return the sum of windows of many entries; nothing is folded into others."""
    window = Window()
    for data in parts:
        _fold(
            window.requests,
            ((RequestKey(row.route, row.account), row.tally) for row in data.requests),
            Tally,
        )
        _fold(
            window.attempts,
            (
                (
                    AttemptKey(row.route, row.stage, row.target, row.failure_domain),
                    row.tally,
                )
                for row in data.attempts
            ),
            AttemptTally,
        )
        _fold(
            window.durations,
            (
                (
                    DurationKey(row.route, row.stage, row.target),
                    make_sketch(row.data),
                )
                for row in data.durations
            ),
            Sketch,
        )
    return window
