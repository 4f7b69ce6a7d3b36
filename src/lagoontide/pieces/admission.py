"""Admission control of requests with stages."""

from collections.abc import Collection
from dataclasses import dataclass

from lagoontide.routes.urgency import LATE_URGENCY

__all__ = ["AdmissionDecision", "Forecast", "decide_admission", "guaranteed_share"]

MIN_RETRY_AFTER_S = 0.1
# Callers retry within a third of the time that they have left (PROTOCOL, Answers).
RETRY_AFTER_SHARE = 0.3
# A request that cannot meet its objective is admitted if it waits no longer than this
# for other work, and should end within this share of the time that it has left.
MAX_LATE_WAIT_S = 1.2
MAX_LATE_SHARE = 0.6
# A retry of a refused request is admitted if it should end within this share of the
# time that it has left.
MAX_RETRY_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected duration of a request under the current load.

    Attributes
    ----------
    work : float
        Seconds that its own stages and its target take.
    wait : float
        Seconds that it waits for other requests if served in order of urgency.
    share_wait : float
        Seconds that it waits if its urgency had only its guaranteed share of the
        targets.
    late_wait : float
        Seconds that it waits if served after all other requests.
    objective_left, time_left : float
        Seconds until its objective, and until its final answer is due.
    is_client_retry : bool
        Whether the caller appears to be retrying a refused request; estimated from
        its timeout (``PriorWaitEstimator``).
    retry_jitter : float
        Random factor of the retry delay, 0.7 to 1, so that refused callers do not
        retry at the same time.
    bottleneck : str
        Service at which it waits longest, for the logs.
    """

    work: float
    wait: float
    share_wait: float
    late_wait: float
    objective_left: float
    time_left: float
    is_client_retry: bool
    urgency: int
    retry_jitter: float = 1.0
    bottleneck: str = ""

    def __str__(self) -> str:
        return (
            f"work {self.work:.3f} s, "
            f"wait {self.wait:.3f} s at {self.bottleneck or 'none'}, "
            f"own share {self.share_wait:.3f} s, late {self.late_wait:.3f} s, "
            f"objective in {self.objective_left:.3f} s"
        )


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, and the urgency with which it runs."""

    is_admitted: bool
    reason: str
    urgency: int = 0
    retry_after: float | None = None


def guaranteed_share(urgency: int, urgencies: Collection[int]) -> float:
    """Return the share of the targets that is guaranteed to an urgency.

    Shares are proportional to 1, 1/2, 1/3 and so on by rank, so that more urgent
    work is served more often and none is starved.
    """
    ranked = sorted({urgency, *urgencies})
    total = sum(1.0 / rank for rank in range(1, len(ranked) + 1))
    return 1.0 / (ranked.index(urgency) + 1) / total


def decide_admission(forecast: Forecast) -> AdmissionDecision:
    """Decide whether to admit a request.

    A request that should meet its objective is admitted with its own urgency, whether
    it does so in the order of urgency or by the guaranteed share. Any other request
    is admitted behind these while little work waits, and is otherwise refused and
    asked to retry as late as it may. A retry is admitted if it should end before its
    deadline, with a margin.
    """
    wait = min(forecast.wait, forecast.share_wait)
    if forecast.work + wait <= forecast.objective_left:
        return AdmissionDecision(True, "in time", forecast.urgency)
    late = forecast.work + forecast.late_wait
    if forecast.is_client_retry:
        is_useful = late <= MAX_RETRY_SHARE * forecast.time_left
    else:
        is_useful = (
            forecast.late_wait <= MAX_LATE_WAIT_S
            and late <= MAX_LATE_SHARE * forecast.time_left
        )
    if is_useful:
        return AdmissionDecision(True, "late", LATE_URGENCY)
    # It cannot meet its objective any more; the later the retry, the likelier there
    # is capacity.
    delay = RETRY_AFTER_SHARE * forecast.time_left * forecast.retry_jitter
    retry_after = round(max(MIN_RETRY_AFTER_S, delay), 2)
    return AdmissionDecision(False, "no room in time", retry_after=retry_after)
