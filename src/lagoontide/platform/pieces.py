"""Calls to the platform's stage services."""

import asyncio
from collections.abc import Callable

import msgspec

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.http1.client import BadAnswer, TargetConn
from lagoontide.http1.messages import RequestHead, Response
from lagoontide.pieces.records import Failure, Piece, PieceResult
from lagoontide.platform.fields import MISDIRECTED, MS_PER_S, NOT_RUN, TARGET
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target

__all__ = ["PlatformPieces"]

MAKE = b"/lagoontide/stage-run"
FREE = b"/lagoontide/stage-free"
REPORT = b"/lagoontide/report"
BYTES_PER_MB = 1e6
FREE_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 0.3
# One way takes a few ms; a target that does not accept in this time is silent.
CONNECT_S = 0.3
OK = 200
RESULT_MARK = b'"handle"'
REASONS = {
    "late": Failure.LATE,
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
    free_mb: float
    busy: bool = False
    queued: int = 0


class _Results(msgspec.Struct):
    items: list[_Result]


class PlatformPieces:
    """See lagoontide.pieces.records.PieceTargets.

    Parameters
    ----------
    pool_of : callable
        Returns the connections to a target.
    """

    def __init__(self, pool_of: Callable[[Target], ConnPool]) -> None:
        self._pool_of = pool_of

    async def make(
        self, target: Target, pieces: tuple[Piece, ...], timeout: float
    ) -> tuple[PieceResult, ...]:
        """See PieceTargets."""
        body = msgspec.json.encode({"items": [_to_wire(piece) for piece in pieces]})
        answer = await self._send(target, b"POST", MAKE, body, timeout)
        marks = {key.lower() for key, _ in answer.fields}
        if NOT_RUN.lower() in marks or answer.status == MISDIRECTED:
            raise TargetUnreachable(
                f"status {answer.status}, not run", step="make", peer=target.id
            )
        if answer.status != OK:
            raise TargetFailed(f"status {answer.status}", step="make", peer=target.id)
        try:
            items = msgspec.json.decode(answer.body, type=_Results).items
        except msgspec.DecodeError as exc:
            raise TargetFailed(
                f"bad answer: {exc}", step="make", peer=target.id
            ) from exc
        if len(items) != len(pieces):
            raise TargetFailed(
                f"{len(items)} results of {len(pieces)}", step="make", peer=target.id
            )
        return tuple(map(_from_wire, items))

    async def free(self, target: Target, handles: tuple[str, ...]) -> None:
        """See PieceTargets."""
        body = msgspec.json.encode({"handles": handles})
        answer = await self._send(target, b"POST", FREE, body, FREE_TIMEOUT_S)
        if answer.status != OK:
            raise TargetFailed(f"status {answer.status}", step="free", peer=target.id)

    async def is_at_work(self, target: Target) -> bool:
        """See PieceTargets."""
        # Kept connections may have gone silent together.
        self._pool_of(target).forget_idle()
        try:
            report = await self._report(target, ASK_TIMEOUT_S)
        except (TargetUnreachable, TargetFailed):
            return False
        return report.busy or report.queued > 0

    async def free_room(self, target: Target) -> float:
        """See PieceTargets."""
        report = await self._report(target, FREE_TIMEOUT_S)
        # Whole megabytes, cut off: there may be up to one more.
        return (report.free_mb + 1.0) * BYTES_PER_MB

    async def _report(self, target: Target, timeout: float) -> _Report:
        answer = await self._send(target, b"GET", REPORT, b"", timeout)
        try:
            return msgspec.json.decode(answer.body, type=_Report)
        except msgspec.DecodeError as exc:
            raise TargetFailed(
                f"bad report: {exc}", step="report", peer=target.id
            ) from exc

    def maker_of(self, handle: str) -> str:
        """See PieceTargets."""
        return handle.partition("/")[0]

    async def _send(
        self, target: Target, method: bytes, path: bytes, body: bytes, timeout: float
    ) -> Response:
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
        conn = await pool.take(CONNECT_S)
        is_kept = False
        try:
            async with asyncio.timeout(timeout):
                answer = await conn.call(head, body)
            _check_not_doubled(conn, path, answer.body)
            is_kept = conn.rest()
        except (OSError, BadAnswer, TimeoutError) as exc:
            raise TargetFailed(
                f"no answer: {exc!r}", step=path.decode(), peer=target.id
            ) from exc
        finally:
            pool.give_back(conn, is_kept)
        return answer


def _check_not_doubled(conn: TargetConn, path: bytes, body: bytes) -> None:
    """Raise BadAnswer for a second copy of the answer before it.

    Calls have no id, but no two of them yield the same results.
    """
    if path != MAKE:
        return
    if body == conn.last_body and RESULT_MARK in body:
        raise BadAnswer("a second copy of the answer before")
    conn.last_body = body


def _to_wire(piece: Piece) -> _Piece:
    return _Piece(
        id=piece.request_id,
        stage=piece.stage,
        piece=piece.number,
        left_ms=max(1, int(piece.time_left * MS_PER_S)),
        key=None if piece.inputs else piece.key,
        inputs=piece.inputs or None,
    )


def _from_wire(item: _Result) -> PieceResult:
    if item.handle:
        return PieceResult(item.handle)
    return PieceResult(failure=REASONS.get(item.reason, Failure.ERROR))
