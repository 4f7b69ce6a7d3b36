"""Figures of an arm, from how its requests went."""

from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import chain

import msgspec

from lagoontide.bench.arm import Arm, Sample
from lagoontide.bench.scenarios import Scenario

__all__ = ["ArmFigures", "GroupFigures", "WindowFigures", "measure"]

WARM_UP_S = 3.0
BUCKET_S = 0.5
NORMAL_ATTAINMENT = 0.95


class GroupFigures(msgspec.Struct):
    """Figures of some of the requests; times in seconds.

    A request without its right answer counts in the percentiles with at least
    its deadline, so that a refusal never looks like a fast answer.
    """

    requests: int
    attainment: float
    p50: float
    p99: float
    p999: float


class WindowFigures(msgspec.Struct):
    """Figures of the requests that arrived in the scenario's window."""

    requests: int
    goodput: float
    attainment: float
    high_attainment: float


class ArmFigures(msgspec.Struct):
    """Figures of one arm; times in seconds.

    Attributes
    ----------
    goodput : float
        Right answers in time, a second.
    cost_by_stage : dict of str to float
        Target-seconds for each request answered in time, by service and
        operation; work of attempts whose result was used.
    wasted : float
        Target-seconds of all other work, for each request answered in time.
    extra : float
        Wasted work relative to the used.
    refusal_p99 : float
        Of the time in which a refusal was given.
    recovery : float
        Seconds from the end of the window to normal service.
    """

    requests: int
    attainment: float
    goodput: float
    p50: float
    p99: float
    p999: float
    cost: float
    cost_by_stage: dict[str, float]
    wasted: float
    extra: float
    refused: dict[str, int]
    refusal_p99: float
    recovery: float
    wrong: int
    doubles: int
    classes: dict[str, GroupFigures]
    accounts: dict[str, GroupFigures]
    lengths: dict[str, GroupFigures]
    within_share: GroupFigures
    window: WindowFigures


def measure(
    arm: Arm, samples: list[Sample], scenario: Scenario, seconds: float
) -> ArmFigures:
    """Return the figures of an arm, without those of its first seconds."""
    kept = [item for item in samples if item.arrival.at >= WARM_UP_S]
    whole = _group(kept)
    good = sum(item.in_time for item in kept)
    used, wasted = _sum_work(arm, samples)
    answered = max(1, sum(item.in_time for item in samples))
    cost = {name: value / answered for name, value in sorted(used.items())}
    refusals = [x.decided for x in kept if x.outcome in ("refused", "not_run")]
    return ArmFigures(
        requests=len(kept),
        attainment=whole.attainment,
        goodput=good / (seconds - WARM_UP_S),
        p50=whole.p50,
        p99=whole.p99,
        p999=whole.p999,
        cost=(sum(used.values()) + wasted) / answered,
        cost_by_stage=cost,
        wasted=wasted / answered,
        extra=wasted / max(1e-9, sum(used.values())),
        refused=dict(
            Counter(
                f"{item.outcome} {item.reason}".strip()
                for item in kept
                if item.outcome != "right"
            )
        ),
        refusal_p99=_percentile(refusals, 0.99),
        recovery=_recovery(kept, scenario.window[1] * seconds),
        wrong=sum(item.outcome == "wrong" for item in samples),
        doubles=_count_doubles(arm),
        classes=_groups(kept, lambda x: x.arrival.sample.priority.value),
        accounts=_groups(kept, lambda x: x.arrival.sample.account.name),
        lengths=_groups(kept, lambda x: "draft" if x.arrival.is_draft else "short"),
        within_share=_group(_within_share(kept)),
        window=_window(kept, scenario, seconds),
    )


def _within_share(samples: list[Sample]) -> list[Sample]:
    """Return the requests of all accounts but the heaviest, which may flood."""
    heavy = max(
        (item.arrival.sample.account for item in samples),
        key=lambda account: account.weight,
        default=None,
    )
    return [x for x in samples if x.arrival.sample.account is not heavy]


def _groups(
    samples: list[Sample], key: Callable[[Sample], str]
) -> dict[str, GroupFigures]:
    groups: dict[str, list[Sample]] = defaultdict(list)
    for item in samples:
        groups[key(item)].append(item)
    return {name: _group(items) for name, items in sorted(groups.items())}


def _group(samples: list[Sample]) -> GroupFigures:
    times = [
        item.latency
        if item.outcome == "right"
        else max(item.latency, item.arrival.deadline)
        for item in samples
    ]
    good = sum(item.in_time for item in samples)
    return GroupFigures(
        len(samples),
        good / max(1, len(samples)),
        _percentile(times, 0.5),
        _percentile(times, 0.99),
        _percentile(times, 0.999),
    )


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _sum_work(arm: Arm, samples: list[Sample]) -> tuple[dict[str, float], float]:
    """Return work whose results were used, by service and operation, and the rest."""
    winners = set(chain.from_iterable(x.winners for x in samples if x.in_time))
    used: dict[str, float] = defaultdict(float)
    wasted = 0.0
    for name, target in arm.targets.items():
        service = arm.agents[name].service
        for attempt, spending in target.ledger.spendings.items():
            if attempt in winners:
                used[f"{service}.{spending.operation}"] += spending.seconds
            else:
                wasted += spending.seconds
    return used, wasted


def _count_doubles(arm: Arm) -> int:
    """Count executions beyond the first of operations that may not be repeated."""
    once = {
        (stage.service, stage.operation)
        for route in arm.document.routes.values()
        for stage in route.stages
        if not stage.repeatable
    }
    done = Counter(
        (item.request, item.operation, arm.agents[name].service)
        for name, target in arm.targets.items()
        for item in target.ledger.executions
        if (arm.agents[name].service, item.operation) in once
    )
    return sum(times - 1 for times in done.values())


def _window(samples: list[Sample], scenario: Scenario, seconds: float) -> WindowFigures:
    begin, end = (share * seconds for share in scenario.window)
    inside = [item for item in samples if begin <= item.arrival.at < end]
    high = [x for x in inside if x.arrival.sample.priority.value == "high"]
    length = end - max(begin, WARM_UP_S)
    return WindowFigures(
        len(inside),
        sum(item.in_time for item in inside) / length,
        _group(inside).attainment,
        _group(high).attainment,
    )


def _recovery(samples: list[Sample], end: float) -> float:
    """Return seconds from ``end`` until attainment is normal for good."""
    buckets: dict[int, list[Sample]] = defaultdict(list)
    for item in samples:
        if item.arrival.at >= end:
            buckets[int((item.arrival.at - end) / BUCKET_S)].append(item)
    poor = [
        number
        for number, items in buckets.items()
        if _group(items).attainment < NORMAL_ATTAINMENT
    ]
    return (max(poor) + 1) * BUCKET_S if poor else 0.0
