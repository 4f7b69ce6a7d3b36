"""HTTP client for the platform's stage services."""

import contextlib
import re
from collections.abc import AsyncIterator, Callable

import msgspec

from lagoontide.decoding import Int64, JsonDecoder, Number
from lagoontide.errors import TargetFailed, TargetUnreachable, WireError
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead, Response, field_values
from lagoontide.pieces.records import Failure, Piece, PieceResult
from lagoontide.platform.fields import (
    MISDIRECTED_STATUS,
    MS_PER_S,
    NOT_RUN,
    REQUEST_ID,
    TARGET,
    decode_leaving,
    decode_pause,
    decode_rate_limit,
)
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target
from lagoontide.timers import run_timeout

__all__ = ["PlatformPieceClient"]

RUN_PATH = b"/lagoontide/stage-run"
FREE_PATH = b"/lagoontide/stage-free"
REPORT_PATH = b"/lagoontide/report"
BYTES_PER_MB = 1e6
FREE_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.3
# One network hop takes a few ms; a target that has not accepted by then is silent.
CONNECT_TIMEOUT_S = 0.3
OK = 200
# Handles are sent to targets in a field of their own, separated by commas.
HANDLE = re.compile(r"[!-+\--~]{1,200}")
# The first handle of a response, which no response to another call holds.
FIRST_HANDLE = re.compile(rb'"handle"\s*:\s*"([^"]+)"')
# Any response to a call that frees results serves for another one.
FREE_LANE = "free"
# A report has a connection of its own, as nothing tells it from an earlier one.
REPORT_LANE = "report"
FAILURE_BY_REASON = {
    "late": Failure.DEADLINE_EXCEEDED,
    "gone": Failure.INPUT_GONE,
    "room": Failure.NO_ROOM,
    "error": Failure.ERROR,
}


class _Piece(msgspec.Struct, omit_defaults=True):
    id: str
    stage: int
    piece: int
    left_ms: int
    key: str | None = None
    inputs: tuple[str, ...] | None = None


class _Result(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _Report(msgspec.Struct):
    free_mb: Number
    busy: bool = False
    queued: Int64 = 0


class _Results(msgspec.Struct):
    items: list[_Result]


_results_decoder = JsonDecoder(_Results, "response", "make")
_report_decoder = JsonDecoder(_Report, "report", "report")


class PlatformPieceClient:
    """Implements lagoontide.pieces.records.PieceClient.

    Parameters
    ----------
    pool_of : callable
        Returns the connection pool of a target.
    rate_shares : RateShares
        What this entry may send within the rate limits that targets name.
    directory : Directory
        Is told of targets that say that they are leaving.
    """

    def __init__(
        self,
        pool_of: Callable[[Target], ConnPool],
        rate_shares: RateShares,
        endings: Endings,
        directory: Directory,
    ) -> None:
        self._pool_of = pool_of
        self._rate_shares = rate_shares
        self._endings = endings
        self._directory = directory

    async def make(
        self, target: Target, pieces: tuple[Piece, ...], timeout: float
    ) -> tuple[PieceResult, ...]:
        """See PieceClient."""
        body = msgspec.json.encode({"items": [_to_item(piece) for piece in pieces]})
        async with self._call(target, b"POST", RUN_PATH, body, timeout) as answer:
            items = _read_results(target, answer)
            if len(items) != len(pieces):
                raise TargetFailed(
                    f"got {len(items)} results for {len(pieces)} pieces",
                    step="make",
                    peer=target.id,
                )
        return tuple(map(_to_result, items))

    async def free(self, target: Target, handles: tuple[str, ...]) -> None:
        """See PieceClient."""
        body = msgspec.json.encode({"handles": handles})
        self._rate_shares.charge(target)
        call = self._call(target, b"POST", FREE_PATH, body, FREE_TIMEOUT_S, FREE_LANE)
        async with call as answer:
            if answer.status != OK:
                raise TargetFailed(
                    f"unexpected status {answer.status}", step="free", peer=target.id
                )

    async def is_busy(self, target: Target) -> bool:
        """See PieceClient."""
        if not self._rate_shares.take(target):
            return True
        # All idle connections may be dead at once, so the probe opens a new one.
        self._pool_of(target).close_idle()
        try:
            report = await self._fetch_report(target, PROBE_TIMEOUT_S)
        except (TargetUnreachable, TargetFailed):
            return False
        return report.busy or report.queued > 0

    async def has_ended(self, target: Target) -> bool:
        """See PieceClient."""
        return await self._endings.has_ended(target)

    async def query_free_bytes(self, target: Target) -> float:
        """See PieceClient."""
        self._rate_shares.charge(target)
        report = await self._fetch_report(target, FREE_TIMEOUT_S)
        # free_mb is rounded down to whole megabytes: up to one more may be free.
        return (report.free_mb + 1.0) * BYTES_PER_MB

    async def _fetch_report(self, target: Target, timeout: float) -> _Report:
        call = self._call(target, b"GET", REPORT_PATH, b"", timeout, REPORT_LANE)
        async with call as answer:
            try:
                return _report_decoder.decode(answer.body)
            except WireError as exc:
                raise TargetFailed(str(exc), step="report", peer=target.id) from exc

    def address_of(self, handle: str) -> str:
        """See PieceClient."""
        return handle.partition("/")[0]

    @contextlib.asynccontextmanager
    async def _call(
        self,
        target: Target,
        method: bytes,
        path: bytes,
        body: bytes,
        timeout: float,
        lane: str = "",
    ) -> AsyncIterator[Response]:
        """Call a target; the connection is reused unless the block raises.

        Calls carry no id. But for those that free results, a connection is reused only
        after an answer with a handle, as only a copy of that is recognized.
        """
        head = RequestHead(
            method,
            path,
            [
                (b"Host", target.address.encode()),
                (b"Content-Type", b"application/json"),
                (TARGET, target.id.encode()),
            ],
        )
        pool = self._pool_of(target)
        conn = await pool.acquire(CONNECT_TIMEOUT_S, lane=lane)
        is_reusable = False
        try:
            try:
                async with run_timeout(timeout):
                    answer = await conn.call(
                        head, body, is_match=lambda found: _is_first_copy(conn, found)
                    )
            except (OSError, InvalidResponse, TimeoutError) as exc:
                raise TargetFailed(
                    f"no usable response: {exc!r}", step=path.decode(), peer=target.id
                ) from exc
            if answer.status != MISDIRECTED_STATUS:
                self._observe_state(target, answer)
            yield answer
            mark = FIRST_HANDLE.search(answer.body)
            if mark is not None:
                conn.answer_marks.append(mark[1])
            is_told_apart = mark is not None or lane == FREE_LANE
            is_reusable = is_told_apart and conn.prepare_reuse()
        finally:
            pool.release(conn, is_reusable)

    def _observe_state(self, target: Target, answer: Response) -> None:
        """Record what a target says of its rate limit, pauses and leaving."""
        self._rate_shares.limits.observe(target, *decode_rate_limit(answer.fields))
        pause = decode_pause(answer.status, answer.fields)
        self._rate_shares.limits.pauses.observe(target, pause, "stage call")
        if decode_leaving(answer.fields):
            self._directory.mark_leaving(target, "its answer says so")


def _is_first_copy(conn: TargetConn, answer: Response) -> bool:
    """Return whether an answer can be that to the call of a stage just sent.

    It is not if it repeats an earlier answer on the connection, or names a request.
    """
    mark = FIRST_HANDLE.search(answer.body)
    is_known = mark is not None and mark[1] in conn.answer_marks
    return not is_known and not any(field_values(answer.fields, REQUEST_ID.lower()))


def _read_results(target: Target, answer: Response) -> list[_Result]:
    """Return the results of an answer to a call that makes pieces.

    Raises
    ------
    TargetUnreachable
        If the target did not run the call.
    TargetFailed
        If there are no results that can be read.
    """
    field_names = {key.lower() for key, _ in answer.fields}
    if NOT_RUN.lower() in field_names or answer.status == MISDIRECTED_STATUS:
        raise TargetUnreachable(
            f"status {answer.status}: the target did not run the call",
            step="make",
            peer=target.id,
        )
    if answer.status != OK:
        raise TargetFailed(
            f"unexpected status {answer.status}", step="make", peer=target.id
        )
    try:
        return _results_decoder.decode(answer.body).items
    except WireError as exc:
        raise TargetFailed(str(exc), step="make", peer=target.id) from exc


def _to_item(piece: Piece) -> _Piece:
    return _Piece(
        id=piece.request_id,
        stage=piece.stage,
        piece=piece.number,
        left_ms=max(1, int(piece.time_left * MS_PER_S)),
        key=None if piece.inputs else piece.key,
        inputs=piece.inputs or None,
    )


def _to_result(item: _Result) -> PieceResult:
    if HANDLE.fullmatch(item.handle):
        return PieceResult(item.handle)
    return PieceResult(failure=FAILURE_BY_REASON.get(item.reason, Failure.ERROR))
