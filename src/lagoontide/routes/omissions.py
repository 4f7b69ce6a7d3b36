"""Which stages of its route a request may omit."""

from collections.abc import Sequence

from lagoontide.routes.records import Stage

__all__ = ["find_broken_stage"]


def find_broken_stage(stages: Sequence[Stage], counts: Sequence[int]) -> str:
    """Return why a request can't be served with its pieces; empty if it can.

    A stage takes the results of the stages that it follows and of no others, and the
    target takes those of the stages that nothing follows. So a stage with pieces needs
    inputs if it follows any stage, and a taker if it is followed by any.

    Parameters
    ----------
    counts : sequence of int
        Pieces of each stage; 0 if the request omits it.
    """
    for index, (stage, count) in enumerate(zip(stages, counts, strict=True)):
        if not count:
            continue
        if stage.after and not any(counts[before] for before in stage.after):
            return f"stage {index} has pieces, but none of the stages before it has"
        takers = [after for after, other in enumerate(stages) if index in other.after]
        if takers and not any(counts[after] for after in takers):
            return f"stage {index} has pieces, but none of the stages after it has"
    return ""
