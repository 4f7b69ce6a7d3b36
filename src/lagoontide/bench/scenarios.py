"""What happens in a run: offered load over time, faults and odd work."""

from dataclasses import dataclass, field

from lagoontide.errors import SettingsError

__all__ = ["SCENARIOS", "Flood", "Scenario", "Step", "Trouble", "Wall", "find_scenario"]


@dataclass(frozen=True, slots=True)
class Step:
    """From ``at`` (a share of the run) on, the load moves to ``load``.

    Attributes
    ----------
    load : float
        Offered load relative to the deployment's capacity.
    ramp : float
        Seconds until it is reached.
    """

    at: float
    load: float
    ramp: float = 0.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """Targets that are slowed or stalled again and again.

    Attributes
    ----------
    every, lasts : float
        Seconds between two beginnings, and of each.
    slow : tuple of float
        Least and greatest factor on durations; empty for a stall.
    targets : int
        Targets of different services that are hit each time.
    """

    every: float
    lasts: float
    slow: tuple[float, float] | None = None
    targets: int = 2


@dataclass(frozen=True, slots=True)
class Flood:
    """One account that asks far more than its share, at ``load`` on top."""

    at: float
    load: float


@dataclass(frozen=True, slots=True)
class Wall:
    """Much work within ``lasts`` seconds, all due ``due`` seconds after its start.

    Attributes
    ----------
    seconds : float
        Work, as seconds of the whole deployment's capacity.
    """

    at: float
    seconds: float
    lasts: float
    due: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A run; ``drafts`` is the load of drafts many times as long as the rest.

    Attributes
    ----------
    caller_retries : int
        Times that a caller repeats a request that was refused as not run.
    window : tuple of float
        Shares of the run between which the trouble is, for figures of its own.
    """

    name: str
    steps: tuple[Step, ...]
    trouble: Trouble | None = None
    drafts: float = 0.0
    flood: Flood | None = None
    wall: Wall | None = None
    caller_retries: int = 0
    window: tuple[float, float] = field(default=(0.0, 1.0))


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("steady", (Step(0.0, 0.6),)),
        Scenario(
            "swing",
            (Step(0.0, 0.5), Step(0.3, 1.5, 2.0), Step(0.6, 0.5, 2.0)),
            caller_retries=2,
            window=(0.3, 0.7),
        ),
        Scenario("short", (Step(0.0, 0.45),)),
        Scenario("mixed", (Step(0.0, 0.45),), drafts=0.25),
        Scenario("healthy", (Step(0.0, 0.5),)),
        Scenario(
            "slowed",
            (Step(0.0, 0.5),),
            trouble=Trouble(every=6.0, lasts=4.0, slow=(5.0, 20.0)),
        ),
        Scenario("stalled", (Step(0.0, 0.5),), trouble=Trouble(every=8.0, lasts=5.0)),
        Scenario("skewed-accounts", (Step(0.0, 0.5),), flood=Flood(0.3, 1.2)),
        Scenario(
            "ceremony",
            (Step(0.0, 0.3),),
            wall=Wall(at=0.5, seconds=2.4, lasts=0.8, due=3.0),
            window=(0.5, 0.8),
        ),
    )
}


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name; raises SettingsError if there is none."""
    try:
        return SCENARIOS[name]
    except KeyError:
        known = ", ".join(SCENARIOS)
        raise SettingsError(f"no scenario {name!r}; there are {known}") from None
