"""What a request may expect of its stages, from what all entries need of them."""

import random
from collections.abc import Callable

from lagoontide.forward.call import Call
from lagoontide.pieces.admission import Forecast, share_of
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Total, predict_kind_wait, predict_wait
from lagoontide.pieces.graph import StageGraph
from lagoontide.routes.urgency import LATE_URGENCY

__all__ = ["make_forecast"]

SPREAD = (0.7, 1.0)


def make_forecast(
    call: Call,
    graph: StageGraph,
    total: Total,
    count_targets: Callable[[str], int],
    calibration: Calibration,
    now: float,
) -> Forecast:
    """Return what a request may expect as things are now.

    Parameters
    ----------
    total : mapping
        Target seconds that admitted requests need, by service and urgency.
    count_targets : callable
        Returns how many targets a service has.
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
    kind_waits = [
        predict_kind_wait(
            total, service, urgency, number, _share(total, service, urgency)
        )
        for service, number in targets.items()
    ]
    return Forecast(
        work=factor * graph.whole_time() + calibration.target_time(call.route.name),
        wait=factor * max(waits.values(), default=0.0),
        kind_wait=factor * max(kind_waits, default=0.0),
        late_wait=factor * max(late_waits, default=0.0),
        objective_left=call.objective_at - now,
        time_left=call.ends_at - now,
        is_return=call.is_return,
        urgency=urgency,
        spread=random.uniform(*SPREAD),
        binds=max(waits, key=waits.__getitem__, default=""),
    )


def _share(total: Total, service: str, urgency: int) -> float:
    """Return the share of a service's targets that an urgency has in any case."""
    others = {
        other for name, other in total if name == service and other < LATE_URGENCY
    }
    return share_of(urgency, others)
