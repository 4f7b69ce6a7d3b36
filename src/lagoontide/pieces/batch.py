"""Selection of the pieces of the next call, and of the time at which it starts."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lagoontide.pieces.messages import Order
from lagoontide.pieces.records import Piece
from lagoontide.routes.urgency import levels_below_highest

__all__ = [
    "BatchItem",
    "DomainCapacity",
    "PieceGroup",
    "batching_delay",
    "fill_batch",
    "make_group",
    "rank_groups",
    "select_held_groups",
    "to_piece",
]

# In the ranking, each priority level below the highest postpones ``due_at`` by this
# much: more urgent work may be served neither less often nor later than other work
# (RULES, Prices).
PRIORITY_STEP_S = 0.5
# Longest wait for a target in the preferred failure domain. The inputs of a group
# occupy memory meanwhile.
MAX_HOLD_S = 0.2
# The same for a group without inputs, which occupies no memory while it waits.
MAX_HOLD_FIRST_STAGE_S = 0.4


@dataclass(slots=True, eq=False)
class PieceGroup:
    """Progress of an order: the pieces of one stage of a request.

    Attributes
    ----------
    due_at : float
        Clock time by which the stage has to end for the request to meet its
        objective.
    deadline : float
        Clock time after which the results are useless.
    waiting : list of int
        Numbers of the pieces that wait for a call. Pieces of a late call wait
        again, for a call to another target, while the late call goes on.
    near : str
        Preferred failure domain; empty if there is none.
    handles : dict of int to str
        Results by the number of the piece.
    peer : str
        Entry that submitted the order.
    """

    request_id: str
    kind: str
    stage: int
    key: str
    inputs: tuple[str, ...]
    urgency: int
    due_at: float
    deadline: float
    result_bytes: float
    waiting: list[int]
    near: str = ""
    frees_inputs: bool = False
    handles: dict[int, str] = field(default_factory=dict)
    count: int = 0
    errors: int = 0
    peer: str = ""
    is_closed: bool = False

    @property
    def crash_key(self) -> str:
        """What pieces of other requests have in common with these."""
        return f"{self.kind}/{self.key or self.request_id}"

    @property
    def is_started(self) -> bool:
        """Whether at least one of its pieces is made, or in a call that is not late."""
        return len(self.waiting) < self.count


@dataclass(frozen=True, slots=True)
class BatchItem:
    """A piece selected for a call."""

    group: PieceGroup
    number: int


def make_group(order: Order, peer: str, now: float) -> PieceGroup:
    """Return the progress of an order that an entry submits now."""
    return PieceGroup(
        request_id=order.request_id,
        kind=order.kind,
        stage=order.stage,
        key=order.key,
        inputs=order.inputs,
        urgency=order.urgency,
        due_at=now + order.due,
        deadline=now + order.left,
        result_bytes=order.result_bytes,
        waiting=list(range(order.count)),
        near=order.near,
        frees_inputs=order.frees_inputs,
        peer=peer,
        count=order.count,
    )


def to_piece(item: BatchItem, now: float) -> Piece:
    """Return a selected piece as it is sent to a target."""
    group = item.group
    return Piece(
        group.request_id,
        group.stage,
        item.number,
        group.key,
        group.inputs,
        group.deadline - now,
    )


def rank_groups(
    groups: Iterable[PieceGroup], now: float, duration: float
) -> list[PieceGroup]:
    """Return the groups with waiting pieces in the order of service.

    Groups that can still meet their objective come first, ordered by ``due_at``
    adjusted for priority; late ones follow. A group with inputs never counts as
    late: while it waits, its inputs occupy memory that other pieces need.

    Parameters
    ----------
    duration : float
        Expected seconds of a call.
    """

    def sort_key(group: PieceGroup) -> tuple[bool, float]:
        is_late = not group.inputs and now + duration > group.due_at
        return is_late, group.due_at + PRIORITY_STEP_S * levels_below_highest(
            group.urgency
        )

    return sorted((group for group in groups if group.waiting), key=sort_key)


@dataclass(frozen=True, slots=True)
class DomainCapacity:
    """Capacity of the targets of one failure domain.

    Attributes
    ----------
    free_at : float
        Clock time at which the first target can take a call.
    size : int
        Total number of pieces in the next calls of all targets.
    """

    free_at: float
    size: int


def select_held_groups(
    ranked: Sequence[PieceGroup],
    domains: Mapping[str, DomainCapacity],
    now: float,
    duration: float,
) -> set[int]:
    """Return the ``id`` of each group that should wait for its preferred domain.

    A group waits if a target in the preferred domain is free soon, can make its
    pieces by ``due_at``, and has space left for them in its next call after the
    groups that come before.
    """
    held = set()
    left = {name: domain.size for name, domain in domains.items()}
    for group in ranked:
        domain = domains.get(group.near)
        max_hold = MAX_HOLD_S if group.inputs else MAX_HOLD_FIRST_STAGE_S
        if domain is None or domain.free_at > now + max_hold:
            continue
        if domain.free_at + duration > group.due_at:
            continue
        if left[group.near] >= len(group.waiting):
            left[group.near] -= len(group.waiting)
            held.add(id(group))
    return held


def fill_batch(
    ranked: Sequence[PieceGroup], size: int, free_bytes: float
) -> list[BatchItem]:
    """Return the pieces of the next call, in the order of their groups.

    Parameters
    ----------
    size : int
        Maximum number of pieces in a call.
    free_bytes : float
        Bytes that the target has left for results.
    """
    batch: list[BatchItem] = []
    for group in ranked:
        for number in group.waiting:
            if len(batch) >= size:
                return batch
            if group.result_bytes > free_bytes:
                break
            free_bytes -= group.result_bytes
            batch.append(BatchItem(group, number))
    return batch


def batching_delay(
    since_last: float, waiting: int, size: int, free: int, targets: int, duration: float
) -> float:
    """Return the seconds to wait for more pieces before the next call.

    Calls to different targets are staggered over the duration of a call, so that a
    piece that just missed one call does not wait for a whole call to end. The fewer
    targets are free, the longer the interval. A full call starts at once.

    Parameters
    ----------
    since_last : float
        Seconds since the last call started.
    waiting : int
        Pieces that wait for a call.
    size : int
        Maximum number of pieces in a call.
    free : int
        Targets that can take a call now.
    targets : int
        All targets.
    duration : float
        Expected seconds of a call.
    """
    if waiting >= size or targets <= 0:
        return 0.0
    spacing = duration / targets * (1.0 - (free - 1) / targets)
    return max(0.0, spacing - since_last)
