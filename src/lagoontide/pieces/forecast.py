"""Forecast of the duration of a request, from the outstanding work of all entries."""

import random
from collections.abc import Callable

from lagoontide.forward.call import Call
from lagoontide.pieces.admission import Forecast, guaranteed_share
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import TotalDemand, predict_share_wait, predict_wait
from lagoontide.pieces.graph import StageGraph
from lagoontide.routes.urgency import LATE_URGENCY

__all__ = ["make_forecast"]

# Random factors of the retry delay, so that refused callers do not retry together.
RETRY_JITTER_RANGE = (0.7, 1.0)


def make_forecast(
    call: Call,
    graph: StageGraph,
    total: TotalDemand,
    count_targets: Callable[[str], float],
    calibration: Calibration,
    now: float,
) -> Forecast:
    """Return the forecast of a request under the current load.

    Parameters
    ----------
    total : mapping
        Target seconds needed by admitted requests, by service and urgency.
    count_targets : callable
        Returns the number of targets of a service; one with a rate limit counts less.
    now : float
        Loop time.
    """
    factor, urgency = calibration.factor, call.urgency
    targets = {service: count_targets(service) for service in graph.services}
    waits = {
        service: predict_wait(total, service, urgency, number)
        for service, number in targets.items()
    }
    late_waits = [
        predict_wait(total, service, LATE_URGENCY, number)
        for service, number in targets.items()
    ]
    share_waits = [
        predict_share_wait(
            total, service, urgency, number, _service_share(total, service, urgency)
        )
        for service, number in targets.items()
    ]
    return Forecast(
        work=factor * graph.critical_path_time()
        + calibration.target_time(call.route.name),
        wait=factor * max(waits.values(), default=0.0),
        share_wait=factor * max(share_waits, default=0.0),
        late_wait=factor * max(late_waits, default=0.0),
        objective_left=call.objective_at - now,
        time_left=call.deadline - now,
        is_client_retry=call.is_client_retry,
        urgency=urgency,
        retry_jitter=random.uniform(*RETRY_JITTER_RANGE),
        bottleneck=max(waits, key=waits.__getitem__, default=""),
    )


def _service_share(total: TotalDemand, service: str, urgency: int) -> float:
    """Return the share of a service's targets that is guaranteed to an urgency."""
    others = {
        other for name, other in total if name == service and other < LATE_URGENCY
    }
    return guaranteed_share(urgency, others)
