"""Stand-ins of targets that pause, and that say in their answers that they leave."""

import asyncio
from dataclasses import dataclass, field

from lagoontide.http1.messages import Response, field_value
from lagoontide.http1.server import Request, ResponseWriter
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID, RETRY_AFTER, TARGET
from lagoontide.platform.pieces import FREE_PATH, REPORT_PATH, RUN_PATH
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["LEAVES", "Pause", "SignallingTarget"]

LEAVES = ("1",)


@dataclass(frozen=True, slots=True)
class Pause:
    """A refusal that asks for no requests for some seconds, at an event loop time."""

    at: float
    request_id: str
    seconds: float


@dataclass
class SignallingTarget(TargetStandin):
    """A target that keeps what it has said of itself, and to which requests.

    Attributes
    ----------
    retry_after : str
        Text of the field in its refusals.
    pause_s : float
        What the text means; 0 for nothing.
    pauses_left : int
        Number of requests and calls that it refuses so.
    reached : list of tuple
        Event loop time and id of each request that was meant for it.
    paused : list of Pause
        Its refusals of requests that mean a pause.
    said_leaving : list of tuple
        Event loop time and id of each request whose answer says that it leaves.
    """

    retry_after: str = ""
    pause_s: float = 0.0
    pauses_left: int = 0
    reached: list[tuple[float, str]] = field(default_factory=list)
    paused: list[Pause] = field(default_factory=list)
    said_leaving: list[tuple[float, str]] = field(default_factory=list)

    async def _handle(self, req: Request, reply: ResponseWriter) -> None:
        fields = req.head.fields
        request_id = (field_value(fields, REQUEST_ID.lower()) or b"").decode()
        expected_id = (field_value(fields, TARGET.lower()) or b"").decode()
        is_call = req.head.path == RUN_PATH
        if req.head.path in (FREE_PATH, REPORT_PATH) or (
            not is_call and expected_id not in ("", self.id)
        ):
            await TargetStandin._handle(self, req, reply)
            return
        now = asyncio.get_running_loop().time()
        if not is_call:
            self.reached.append((now, request_id))
            # Other faults may leave the request without an answer.
            if self.leaving == LEAVES and self.faults_left <= 0:
                self.said_leaving.append((now, request_id))
        if self.pauses_left <= 0:
            await TargetStandin._handle(self, req, reply)
            return
        self.pauses_left -= 1
        self.arrived_at.append(now)
        if self.pause_s and not is_call:
            self.paused.append(Pause(now, request_id, self.pause_s))
        response_fields = [
            (REQUEST_ID, request_id.encode()),
            (NOT_RUN, b"1"),
            (RETRY_AFTER, self.retry_after.encode()),
            *self._state_fields,
        ]
        await reply.send(Response(503, response_fields))
