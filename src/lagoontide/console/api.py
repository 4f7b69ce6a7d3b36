"""The configuration's API on the operators' port, for the command line.

``GET /api/configuration`` gives the newest document, ``POST .../diff`` what a
document would change, ``POST .../apply`` accepts one, ``GET .../history`` who
changed what and ``GET .../force?version=N`` how far a version is in force.
"""

from http import HTTPStatus
from typing import Any

import msgspec

from lagoontide.configuration.acceptance import (
    Acceptance,
    AcceptanceUnknown,
    Current,
    Proposal,
    VersionConflict,
    make_writer,
)
from lagoontide.configuration.diff import Change, diff_documents
from lagoontide.configuration.document import Document
from lagoontide.configuration.force import ReadForce
from lagoontide.configuration.model import dump_document, parse_document
from lagoontide.configuration.record import HistoryEntry
from lagoontide.errors import DocumentError, RequestRejected
from lagoontide.httpd import LoopBridge
from lagoontide.operators.app import (
    OperatorRequest,
    OperatorResponse,
    OperatorsApp,
    send_json,
)

__all__ = ["ApplyAnswer", "ApplyOrder", "ChangeJson", "EntryJson", "mount_api"]

PREFIX = "/api/configuration"
MAX_HISTORY = 1000
MAX_VERSION_DIGITS = 18


class ApplyOrder(msgspec.Struct):
    """A document to compare or to accept.

    Attributes
    ----------
    expected : int
        The version that the operator saw.
    writer : str
        Id of the proposal; sent again with it, it is accepted once.
    """

    document: dict[str, Any]
    expected: int = 0
    writer: str = ""


class ChangeJson(msgspec.Struct):
    """A value that differs."""

    place: str
    before: str
    after: str


class EntryJson(msgspec.Struct):
    """An entry of the history."""

    version: int
    base: int
    at: float
    operator: str
    changes: list[ChangeJson]
    total: int


class ApplyAnswer(msgspec.Struct, omit_defaults=True):
    """What became of an order.

    Attributes
    ----------
    version : int
        Accepted version, or the newest one if the order was not accepted.
    problems : list of str
        Why the document is not valid.
    since : list of EntryJson
        What others changed since the version that the operator saw.
    """

    version: int
    is_accepted: bool = False
    changes: list[ChangeJson] = []
    problems: list[str] = []
    since: list[EntryJson] = []
    detail: str = ""


class ConfigurationApi:
    """Answers requests below the prefix."""

    def __init__(
        self, acceptance: Acceptance, bridge: LoopBridge, read_force: ReadForce
    ) -> None:
        self._acceptance = acceptance
        self._bridge = bridge
        self._read_force = read_force

    def handle(self, req: OperatorRequest) -> OperatorResponse:
        """Answer one request."""
        match req.method, req.path:
            case "GET", "":
                return self._show()
            case "GET", "/history":
                return self._show_history(_read_number(req, "limit", MAX_HISTORY))
            case "GET", "/force":
                return self._show_force(_read_number(req, "version", 0))
            case "POST", "/diff":
                return self._diff(_read_order(req))
            case "POST", "/apply":
                return self._apply(req, _read_order(req))
        raise RequestRejected(
            HTTPStatus.NOT_FOUND, f"no {req.method} {PREFIX}{req.path!s:.80}"
        )

    def _read(self) -> Current:
        return self._bridge.call(self._acceptance.read())

    def _show(self) -> OperatorResponse:
        current = self._read()
        if current.record is None:
            return send_json({"version": 0, "document": None})
        return send_json(
            {
                "version": current.version,
                "document": dump_document(current.record),
            }
        )

    def _show_history(self, limit: int) -> OperatorResponse:
        limit = min(limit, MAX_HISTORY)
        entries = self._bridge.call(self._acceptance.read_history(limit))
        return send_json([_to_entry(entry) for entry in entries])

    def _show_force(self, version: int) -> OperatorResponse:
        domains = self._bridge.call(self._read_force(version))
        return send_json({"version": version, "failure_domains": domains})

    def _diff(self, order: ApplyOrder) -> OperatorResponse:
        current = self._read()
        try:
            document = parse_document(order.document)
        except DocumentError as exc:
            return _send_invalid(current.version, exc)
        changes = _to_changes(diff_documents(current.record, document))
        return send_json(ApplyAnswer(current.version, changes=changes))

    def _apply(self, req: OperatorRequest, order: ApplyOrder) -> OperatorResponse:
        try:
            document = parse_document(order.document)
            return self._accept(req, order, document)
        except DocumentError as exc:
            return _send_invalid(order.expected, exc)

    def _accept(
        self, req: OperatorRequest, order: ApplyOrder, document: Document
    ) -> OperatorResponse:
        writer = order.writer or make_writer()
        proposal = Proposal(order.expected, document, req.operator, writer)
        try:
            accepted = self._bridge.call(self._acceptance.accept(proposal))
        except VersionConflict as exc:
            answer = ApplyAnswer(
                exc.current.version,
                since=[_to_entry(entry) for entry in exc.since],
                changes=_to_changes(diff_documents(exc.current.record, document)),
                detail=exc.message,
            )
            return send_json(answer, HTTPStatus.CONFLICT)
        except AcceptanceUnknown as exc:
            answer = ApplyAnswer(order.expected, detail=exc.message)
            return send_json(answer, HTTPStatus.GATEWAY_TIMEOUT)
        return send_json(ApplyAnswer(accepted.version, is_accepted=True))


def mount_api(
    app: OperatorsApp, acceptance: Acceptance, bridge: LoopBridge, read_force: ReadForce
) -> None:
    """Serve the configuration's API on the operators' port."""
    app.mount(PREFIX, ConfigurationApi(acceptance, bridge, read_force).handle)


def _send_invalid(version: int, exc: DocumentError) -> OperatorResponse:
    answer = ApplyAnswer(
        version, problems=list(map(str, exc.problems)), detail="not a valid document"
    )
    return send_json(answer, HTTPStatus.UNPROCESSABLE_ENTITY)


def _to_changes(changes: tuple[Change, ...]) -> list[ChangeJson]:
    return [ChangeJson(x.place, x.before, x.after) for x in changes]


def _to_entry(entry: HistoryEntry) -> EntryJson:
    return EntryJson(
        entry.version,
        entry.base,
        entry.at,
        entry.operator,
        _to_changes(entry.changes),
        entry.total,
    )


def _read_order(req: OperatorRequest) -> ApplyOrder:
    try:
        return msgspec.json.decode(req.body, type=ApplyOrder)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST, f"the body is no order: {exc}", step="body"
        ) from None


def _read_number(req: OperatorRequest, name: str, default: int) -> int:
    text = req.query.get(name, [str(default)])[0]
    if not text.isascii() or not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
        raise RequestRejected(HTTPStatus.BAD_REQUEST, f"{name} is {text!r}, no number")
    return int(text)
