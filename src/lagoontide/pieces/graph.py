"""The stages of one request: what follows what, and how long it takes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property

from lagoontide.routes.records import PieceWork, Service, Stage

__all__ = ["StageGraph", "make_graph"]

# A short branch begins with the stage of the longest one behind which no more
# than this share of its own time is left.
EARLY_SHARE = 0.5
# A call starts half of another later, by chance, and is about half full.
WAIT_SHARE = 0.3
FILLED_SHARE = 0.5


@dataclass(frozen=True)
class StageGraph:
    """Stages by number; each is behind those that it takes results of.

    Attributes
    ----------
    counts : tuple of int
        Pieces of each stage; a stage of none takes no time.
    times : tuple of float
        Seconds that each stage takes.
    """

    stages: tuple[Stage, ...]
    counts: tuple[int, ...]
    times: tuple[float, ...]

    @cached_property
    def followers(self) -> tuple[tuple[int, ...], ...]:
        """The stages that take results of each stage."""
        return tuple(
            tuple(
                other for other, stage in enumerate(self.stages) if index in stage.after
            )
            for index in range(len(self.stages))
        )

    @property
    def last(self) -> list[int]:
        """Stages that no other follows."""
        return [index for index, after in enumerate(self.followers) if not after]

    @property
    def services(self) -> set[str]:
        """Services that make pieces of the request."""
        return {
            stage.service
            for stage, count in zip(self.stages, self.counts, strict=True)
            if count
        }

    def time_from(self, index: int) -> float:
        """Return the seconds that a stage and those behind it should take."""
        own = self.times[index] if self.counts[index] else 0.0
        return own + self.time_after(index)

    def time_after(self, index: int) -> float:
        """Return the seconds that the stages behind one should take."""
        return max(
            (
                self.time_from(after)
                for after in self.followers[index]
                if self.counts[after]
            ),
            default=0.0,
        )

    def whole_time(self) -> float:
        """Return the seconds that all stages should take."""
        return max(map(self.time_from, self._first()), default=0.0)

    def is_only_follower(self, index: int) -> bool:
        """Return whether what a stage takes is of use to no other."""
        return all(
            self.followers[before] == (index,) for before in self.stages[index].after
        )

    def begins_after(self, index: int) -> tuple[int, ...]:
        """Return the stages whose end a first stage had better wait for.

        Results that lie about until a longer branch of stages has ended take room
        that other requests need.
        """
        branch = self._longest_branch()
        if index in branch:
            return ()
        own = self.time_from(index)
        for other in branch:
            if self.time_after(other) <= own * EARLY_SHARE:
                return self.stages[other].after
        return ()

    def _first(self) -> list[int]:
        return [index for index, stage in enumerate(self.stages) if not stage.after]

    def _longest_branch(self) -> list[int]:
        """Return the stages that take longest one after the other, in order."""
        branch: list[int] = []
        nexts = [index for index in self._first() if self.counts[index]]
        while nexts:
            longest = max(nexts, key=self.time_from)
            branch.append(longest)
            nexts = [index for index in self.followers[longest] if self.counts[index]]
        return branch


def make_graph(
    stages: Sequence[Stage],
    counts: Sequence[int],
    service_of: Callable[[str], Service],
) -> StageGraph:
    """Return the graph of a request.

    Parameters
    ----------
    counts : sequence of int
        Pieces of each stage, as the caller said; those left out are 0.
    """
    whole = [*counts, *[0] * len(stages)][: len(stages)]
    times = [_stage_time(service_of(stage.service).piece_work) for stage in stages]
    return StageGraph(tuple(stages), tuple(whole), tuple(times))


def _stage_time(work: PieceWork | None) -> float:
    if work is None:
        return 0.0
    call = work.call_time + FILLED_SHARE * work.batch * work.piece_time
    return call * (1.0 + WAIT_SHARE)
