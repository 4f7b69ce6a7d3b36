"""The log line of a call to a stage target."""

from collections.abc import Sequence

from loguru import logger

from lagoontide.pieces.batch import BatchItem
from lagoontide.targets.records import Target

__all__ = ["log_call"]


def log_call(
    target: Target,
    service: str,
    batch: Sequence[BatchItem],
    waiting: int,
    seconds: float,
    expected: float,
) -> None:
    """Log a call that was answered.

    Parameters
    ----------
    waiting : int
        Pieces that wait for a call.
    seconds, expected : float
        Duration of the call, and the duration that was expected.
    """
    domain = target.failure_domain
    logger.bind(
        target=target.id,
        service=service,
        pieces=len(batch),
        requests=len({item.group.request_id for item in batch}),
        near=sum(item.group.near == domain for item in batch),
        far=sum(item.group.near not in ("", domain) for item in batch),
        waiting=waiting,
        ms=round(seconds * 1000),
        expected_ms=round(expected * 1000),
    ).info("pieces made")
