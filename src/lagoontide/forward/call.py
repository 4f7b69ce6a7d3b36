"""State of one forwarded request, and the state that all requests share."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoontide.forward.fields import FieldCodec, RequestMetadata, ResponseMetadata
from lagoontide.forward.outcome import SendTracker
from lagoontide.forward.retries import RetryBudget
from lagoontide.http1.server import Request
from lagoontide.origins.ledger import Origins
from lagoontide.routes.records import Account, Route
from lagoontide.routes.route_table import RouteTable
from lagoontide.routes.urgency import urgency_of
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.pools import Pools
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target
from lagoontide.timers import RunClock

if TYPE_CHECKING:
    from lagoontide.forward.guard import Guard

__all__ = ["Call", "ForwardingState"]


@dataclass(slots=True)
class ForwardingState:
    """An entry's view of the deployment, and its connections to targets.

    Attributes
    ----------
    route_table : RouteTable or None
        The configuration in force; None until one is known.
    loads, streams : Loads
        Work in progress at targets, and long streams at engines.
    endings : Endings
        Detection of targets that have ended unannounced.
    guard : Guard
        Withholds requests that make targets crash.
    rate_limits : RateLimits
        Rate limits that targets name in their responses.
    rate_shares : RateShares
        What this entry may send within them.
    borrow_turn : callable
        Returns whether another entry lends a turn in a target's rate limit.
    ask_origin : callable
        Returns the version that began a stream, by the id of its request and its
        service, as another entry knows it; None if none does.
    is_cut_off : callable
        Returns whether the store has been silent for so long that changes may lack.
    origins : Origins
        The versions that began streams.
    run_clock : RunClock
        Times the responses of targets.
    """

    failure_domain: str
    field_codec: FieldCodec
    directory: Directory
    health: Health
    loads: Loads
    streams: Loads
    pools: Pools
    endings: Endings
    guard: "Guard"
    budget: RetryBudget
    rate_limits: RateLimits
    rate_shares: RateShares
    borrow_turn: Callable[[Target], Awaitable[bool]]
    ask_origin: Callable[[str, str], Awaitable[str | None]]
    is_cut_off: Callable[[], bool]
    origins: Origins
    route_table: RouteTable | None = None
    run_clock: RunClock = field(default_factory=RunClock)


@dataclass(slots=True)
class Call:
    """A request that the configuration allows, with its deadline and its sends.

    Attributes
    ----------
    deadline : float
        Loop time by which the final response must reach the caller.
    objective_at : float
        Loop time up to which the response earns its full credit.
    attempts : int
        Sends that failed after the target may have run the request.
    is_client_retry : bool
        Whether the caller appears to be retrying an earlier request.
    timeline : dict of str to int
        Milliseconds from the first byte to each step, for the log.
    choices : list of str
        Routing decisions with their inputs, for the log.
    version : str or None
        Software version of the target that a stream was sent to; None before.
    has_begun : bool
        Whether the caller has events of a stream, which then keeps its version.
    config_version : int
        Version of the configuration in force when the request arrived.
    last_target : str
        Id of the target that was tried last.
    last_byte_at : float or None
        Loop time of that target's last byte; None if it sent none to this request.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: str
    account: Account | None
    deadline: float
    objective_at: float
    send_tracker: SendTracker = field(default_factory=SendTracker)
    attempts: int = 0
    is_client_retry: bool = False
    timeline: dict[str, int] = field(default_factory=dict)
    choices: list[str] = field(default_factory=list)
    version: str | None = None
    has_begun: bool = False
    config_version: int = 0
    last_target: str = ""
    last_byte_at: float | None = None

    @property
    def time_left(self) -> float:
        """Seconds until the final response is due."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def has_pieces(self) -> bool:
        """Whether any piece has to be made before the request can run."""
        return any(self.metadata.piece_counts[: len(self.route.stages)])

    @property
    def matches_stages(self) -> bool:
        """Whether the request names a number of pieces for each stage of its route.

        A caller that knows another version of the configuration may name more or fewer,
        and its target would be given only some inputs. No number at all stands for 0.
        """
        counts, stages = self.metadata.piece_counts, self.route.stages
        return not stages or len(counts) == len(stages) or not any(counts)

    def may_answer(self, response: ResponseMetadata) -> bool:
        """Return whether the caller may be given a target's response.

        The caller of a request that may run only once sends it again if its status
        promises that it has not run. Only the SendTracker can prove that.
        """
        if self.route.may_repeat or not response.promises_not_run:
            return True
        return self.send_tracker.has_not_run

    def can_retry(self, after: int = 0) -> bool:
        """Return whether another target may be tried.

        Parameters
        ----------
        after : int
            Attempts to count in addition to those already made.
        """
        attempts = self.attempts + after
        return self.route.may_repeat and attempts < self.route.max_attempts

    def record_step(self, step: str) -> None:
        """Add a step to the timeline, unless it is already there."""
        now = asyncio.get_running_loop().time()
        self.timeline.setdefault(step, round((now - self.request.received_at) * 1000))

    @property
    def urgency(self) -> int:
        """Urgency relative to other requests; 0 is the most urgent."""
        return urgency_of(self.route, self.account)
