"""Protection of targets from requests that make them crash."""

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import TargetFailed
from lagoontide.forward.call import Call
from lagoontide.forward.crashes import crash_keys, may_show_crash
from lagoontide.forward.outcome import NotRun
from lagoontide.quarantine.ledger import Ledger
from lagoontide.quarantine.messages import TrialReply
from lagoontide.quarantine.records import Quarantined, Suspect, Verdict
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.records import Target

__all__ = ["Guard", "RequestWithheld", "Run"]

# A later start under the same id shows a crash that happened this long ago at most.
RESTART_SEEN_S = 5.0

# Takes suspect keys, a target's id and the seconds left; returns the trial's id and the
# coordinator's answer.
RequestTrial = Callable[[frozenset[str], str, float], Awaitable[tuple[str, TrialReply]]]


class RequestWithheld(Exception):
    """A request is not sent, as it may make its target crash.

    Attributes
    ----------
    retry_after : float
        Seconds after which it may be sent.
    """

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


@dataclass(slots=True)
class Run:
    """One send of a request; its sender sets the attribute.

    Attributes
    ----------
    is_complete : bool
        Whether the target's response was a success and complete.
    """

    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class _Broken:
    """A request whose connection broke at a target that did not seem to have ended."""

    target: Target
    keys: frozenset[str]
    is_trial: bool
    until: float


class Guard:
    """Withholds requests that made targets crash, and tries out suspect ones.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    request_trial, end_trial : callable
        Request a trial from the coordinator of all entries, and end it.

    Attributes
    ----------
    ledger : Ledger
        The crashes that are known.
    """

    def __init__(
        self,
        ledger: Ledger,
        directory: Directory,
        endings: Endings,
        clock: Callable[[], float],
        request_trial: RequestTrial,
        end_trial: Callable[[str], None],
    ) -> None:
        self.ledger = ledger
        self._directory = directory
        self._endings = endings
        self._clock = clock
        self._request_trial = request_trial
        self._end_trial = end_trial
        self._broken: list[_Broken] = []

    def refusal(self, call: Call) -> NotRun | None:
        """Return the outcome of a request that is quarantined; None for others."""
        match self._verdict(call):
            case Quarantined() as verdict:
                withheld = _withheld(call, verdict)
                return NotRun(str(withheld), withheld.retry_after)
        return None

    def is_suspect(self, call: Call) -> bool:
        """Return whether a request may be withheld, as targets crashed under it."""
        return self._verdict(call) is not None

    @asynccontextmanager
    async def watch(self, call: Call, target: Target) -> AsyncIterator[Run]:
        """Watch a send of a request, which is the body of the ``async with`` block.

        Raises
        ------
        RequestWithheld
            If the request must not be sent.
        """
        trial = await self._admit(call, target)
        run = Run()
        try:
            yield run
        except TargetFailed as exc:
            if may_show_crash(call, exc):
                await self._record_failure(call, target, trial is not None)
            raise
        else:
            if run.is_complete and (
                call.metadata.prompt_parts or not self.ledger.is_empty
            ):
                self.ledger.record_completion(crash_keys(call))
        finally:
            if trial is not None:
                self._end_trial(trial)

    def sweep(self) -> None:
        """Record crashes that show by a later start, and drop old records."""
        now = self._clock()
        for broken in self._broken:
            known = self._directory.get(broken.target.id)
            if known is not None and known.born > broken.target.born:
                self._record_crash(broken.target, broken.keys, broken.is_trial)
        self._broken = [
            broken
            for broken in self._broken
            if broken.until > now
            and (known := self._directory.get(broken.target.id)) is not None
            and known.born == broken.target.born
        ]
        self.ledger.sweep()

    def _verdict(self, call: Call) -> Verdict | None:
        return None if self.ledger.is_empty else self.ledger.verdict(crash_keys(call))

    async def _admit(self, call: Call, target: Target) -> str | None:
        """Return the id of the trial that a send is, or None for an ordinary one."""
        match self._verdict(call):
            case Quarantined() as verdict:
                raise _withheld(call, verdict)
            case Suspect(keys, is_repeated):
                trial, reply = await self._request_trial(
                    keys, target.id, call.time_left
                )
                if reply.wait and not (is_repeated or reply.is_repeat):
                    call.choices.append(f"no trial of {sorted(keys)}, one crash")
                    return None
                if reply.wait:
                    raise RequestWithheld(
                        "may make its target crash, and another trial is under way",
                        round(reply.wait, 2),
                    )
                call.choices.append(f"trial {trial} of {sorted(keys)}")
                return trial
        return None

    async def _record_failure(self, call: Call, target: Target, is_trial: bool) -> None:
        keys = crash_keys(call)
        if not keys:
            return
        if await self._endings.has_ended(target):
            open_keys = self._record_crash(target, keys, is_trial)
            logger.bind(
                request=call.metadata.request_id,
                target=target.id,
                keys=sorted(keys),
                suspects=sorted(open_keys),
            ).warning("request broken off by the end of its target")
        elif self._directory.is_accepting_work(target):
            until = self._clock() + RESTART_SEEN_S
            self._broken.append(_Broken(target, keys, is_trial, until))

    def _record_crash(
        self, target: Target, keys: frozenset[str], is_trial: bool
    ) -> frozenset[str]:
        return self.ledger.record_crash(target, keys, is_trial)


def _withheld(call: Call, verdict: Quarantined) -> RequestWithheld:
    block = verdict.block
    call.choices.append(
        f"quarantined: {sorted(block.keys)}, {len(block.targets)} crashes, "
        f"next probe in {verdict.wait:.1f} s"
    )
    return RequestWithheld(
        f"not run: {len(block.targets)} targets crashed under requests like this",
        float(math.ceil(verdict.wait)),
    )
