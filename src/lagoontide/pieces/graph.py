"""Dependency graph of the stages of a request, with their expected durations."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property

from lagoontide.routes.records import PieceSettings, Service, Stage

__all__ = ["StageGraph", "make_graph"]

# A branch off the critical path starts together with the first stage of that path
# after whose end the path takes at most this share of the branch's own duration.
MAX_REMAINING_SHARE = 0.5
# Expected wait for a call as a share of the call's duration, and expected fill of a
# call. At random a call starts half of another's duration later, and is half full.
MEAN_WAIT_SHARE = 0.3
MEAN_FILL_SHARE = 0.5


@dataclass(frozen=True)
class StageGraph:
    """Directed acyclic graph of stages; a stage follows those whose results it takes.

    Attributes
    ----------
    counts : tuple of int
        Pieces of each stage; a stage without pieces takes no time.
    times : tuple of float
        Expected seconds of each stage.
    """

    stages: tuple[Stage, ...]
    counts: tuple[int, ...]
    times: tuple[float, ...]

    @cached_property
    def successors(self) -> tuple[tuple[int, ...], ...]:
        """For each stage, the stages that take its results."""
        return tuple(
            tuple(
                other for other, stage in enumerate(self.stages) if index in stage.after
            )
            for index in range(len(self.stages))
        )

    @property
    def final_stages(self) -> list[int]:
        """Stages without successors."""
        return [index for index, after in enumerate(self.successors) if not after]

    @property
    def services(self) -> set[str]:
        """Services that make pieces for the request."""
        return {
            stage.service
            for stage, count in zip(self.stages, self.counts, strict=True)
            if count
        }

    def time_from(self, index: int) -> float:
        """Return the expected seconds of a stage and the longest path after it."""
        own = self.times[index] if self.counts[index] else 0.0
        return own + self.time_after(index)

    def time_after(self, index: int) -> float:
        """Return the expected seconds of the longest path after a stage."""
        return max(
            (
                self.time_from(after)
                for after in self.successors[index]
                if self.counts[after]
            ),
            default=0.0,
        )

    def critical_path_time(self) -> float:
        """Return the expected seconds of the whole graph."""
        return max(map(self.time_from, self._source_stages()), default=0.0)

    def is_sole_consumer(self, index: int) -> bool:
        """Return whether no other stage takes the results that this stage takes."""
        return all(
            self.successors[before] == (index,) for before in self.stages[index].after
        )

    def start_after(self, index: int) -> tuple[int, ...]:
        """Return the stages whose end should delay the start of a source stage.

        The results of a short branch would otherwise wait for the end of a longer
        one, and occupy memory that other requests need.
        """
        path = self._critical_path()
        if index in path:
            return ()
        own = self.time_from(index)
        for other in path:
            if self.time_after(other) <= own * MAX_REMAINING_SHARE:
                return self.stages[other].after
        return ()

    def _source_stages(self) -> list[int]:
        return [index for index, stage in enumerate(self.stages) if not stage.after]

    def _critical_path(self) -> list[int]:
        """Return the stages of the path with the longest duration, in order."""
        path: list[int] = []
        candidates = [index for index in self._source_stages() if self.counts[index]]
        while candidates:
            longest = max(candidates, key=self.time_from)
            path.append(longest)
            candidates = [
                index for index in self.successors[longest] if self.counts[index]
            ]
        return path


def make_graph(
    stages: Sequence[Stage],
    counts: Sequence[int],
    service_of: Callable[[str], Service],
) -> StageGraph:
    """Return the graph of a request.

    Parameters
    ----------
    counts : sequence of int
        Pieces of each stage as given by the caller; missing ones count as 0.
    """
    whole = [*counts, *[0] * len(stages)][: len(stages)]
    times = [_stage_time(service_of(stage.service).piece_settings) for stage in stages]
    return StageGraph(tuple(stages), tuple(whole), tuple(times))


def _stage_time(settings: PieceSettings | None) -> float:
    if settings is None:
        return 0.0
    call = settings.call_time + MEAN_FILL_SHARE * settings.batch * settings.piece_time
    return call * (1.0 + MEAN_WAIT_SHARE)
