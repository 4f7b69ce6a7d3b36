"""Snapshots are kept small: what matters least is left out first."""

from collections.abc import Iterable

import msgspec

from lagoontide.report.messages import SlotData, Snapshot
from lagoontide.report.window import OTHERS, RequestKey, RequestRow, Window, WindowData

__all__ = ["MAX_SNAPSHOT_BYTES", "shrink"]

MAX_SNAPSHOT_BYTES = 32 << 10
TOP_ACCOUNTS = 20


def shrink(snapshot: Snapshot) -> bytes:
    """Return a snapshot coded in at most ``MAX_SNAPSHOT_BYTES``.

    Left out, in this order, are durations, small accounts, all accounts and what
    is known of targets; counts by route always stay.
    """
    data = msgspec.msgpack.encode(snapshot)
    for step in (_drop_durations, _fold_small, _fold_all, _drop_attempts):
        if len(data) <= MAX_SNAPSHOT_BYTES:
            break
        slots = tuple(
            SlotData(slot.age, slot.length, step(slot.data)) for slot in snapshot.slots
        )
        snapshot = msgspec.structs.replace(snapshot, slots=slots, reduced=True)
        data = msgspec.msgpack.encode(snapshot)
    return data


def _drop_durations(data: WindowData) -> WindowData:
    return msgspec.structs.replace(data, durations=())


def _drop_attempts(data: WindowData) -> WindowData:
    return msgspec.structs.replace(data, attempts=())


def _fold_small(data: WindowData) -> WindowData:
    """Keep the accounts that missed most."""
    rows = sorted(data.requests, key=lambda x: x.tally.bad, reverse=True)
    return _fold(data, rows[:TOP_ACCOUNTS], rows[TOP_ACCOUNTS:])


def _fold_all(data: WindowData) -> WindowData:
    return _fold(data, [], data.requests)


def _fold(
    data: WindowData, kept: list[RequestRow], folded: Iterable[RequestRow]
) -> WindowData:
    window = Window()
    for row in kept:
        window.tally(RequestKey(row.route, row.account)).merge(row.tally)
    for row in folded:
        window.tally(RequestKey(row.route, OTHERS)).merge(row.tally)
    return msgspec.structs.replace(data, requests=window.to_data().requests)
