"""What entries hand over to whoever reports."""

import msgspec

from lagoontide.report.tally import Tally
from lagoontide.report.window import WindowData

__all__ = ["EntryReport", "Objectives", "Point", "SlotData", "Snapshot", "Span"]


class Objectives(msgspec.Struct, frozen=True):
    """Shares of requests that must be right and in time.

    Attributes
    ----------
    version : int
        Version of the configuration that they come from.
    routes : dict of str to float
        By route.
    accounts : dict of str to float
        By account, for those that have one of their own.
    window : float
        Seconds over which the objectives count.
    """

    version: int = 0
    routes: dict[str, float] = {}
    accounts: dict[str, float] = {}
    window: float = 0.0


class Point(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a route in one slot, for a plot.

    Attributes
    ----------
    age : float
        Seconds from the slot's start to the answer.
    """

    route: str
    age: float
    length: float
    tally: Tally


class Span(msgspec.Struct, frozen=True):
    """All that ended in the last ``seconds``."""

    seconds: float
    data: WindowData


class EntryReport(msgspec.Struct, frozen=True):
    """What one entry knows.

    Attributes
    ----------
    covered : float
        Seconds since the entry began to count.
    age : float
        Seconds since the entry said this; over 0 for a snapshot.
    """

    entry: str
    incarnation: str
    failure_domain: str
    covered: float
    objectives: Objectives
    spans: tuple[Span, ...]
    points: tuple[Point, ...]
    age: float = 0.0


class SlotData(msgspec.Struct, frozen=True, array_like=True):
    """A slot as a snapshot keeps it; ``age`` is that of its start, in seconds."""

    age: float
    length: float
    data: WindowData


class Snapshot(msgspec.Struct, frozen=True):
    """What an entry leaves in the store for the time after it.

    Attributes
    ----------
    written : float
        Wall clock, seconds since the epoch.
    reduced : bool
        Whether accounts or durations were left out to keep it small.
    """

    entry: str
    incarnation: str
    failure_domain: str
    written: float
    covered: float
    objectives: Objectives
    slots: tuple[SlotData, ...]
    reduced: bool = False
