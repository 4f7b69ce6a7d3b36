"""A form's way: fill, merge, validate, review the difference, accept."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from http import HTTPStatus

from lagoontide.configuration.acceptance import (
    Acceptance,
    AcceptanceUnknown,
    Proposal,
    VersionConflict,
)
from lagoontide.configuration.diff import diff_documents
from lagoontide.configuration.document import Document
from lagoontide.configuration.model import dump_document
from lagoontide.configuration.record import HistoryEntry
from lagoontide.console.edit import (
    NEW_ITEM,
    Edit,
    find_item,
    make_document,
    merge_edit,
    read_edit,
    start_edit,
)
from lagoontide.console.forms import Form, make_form
from lagoontide.console.seen import Seen
from lagoontide.errors import DocumentError, Problem, RequestRejected, StoreUnavailable
from lagoontide.httpd import LoopBridge
from lagoontide.operators.app import OperatorRequest, OperatorResponse
from lagoontide.operators.pages import Pages, redirect

__all__ = ["Editor"]

MAX_SINCE = 50


@dataclass(slots=True)
class Visit:
    """A form on a page, while a request is answered.

    Attributes
    ----------
    since : tuple of HistoryEntry
        What others changed since the form was filled.
    notices : list of str
        What stands above the form.
    """

    req: OperatorRequest
    seen: Seen
    section: str
    title: str
    form: Form
    edit: Edit
    is_new: bool
    since: tuple[HistoryEntry, ...] = ()
    notices: list[str] = field(default_factory=list)


class Editor:
    """Shows forms and takes them back."""

    def __init__(
        self,
        acceptance: Acceptance,
        bridge: LoopBridge,
        pages: Pages,
        list_targets: Callable[[str], tuple[str, ...]],
    ) -> None:
        self._acceptance = acceptance
        self._bridge = bridge
        self._pages = pages
        self._list_targets = list_targets

    def show(
        self, req: OperatorRequest, seen: Seen, section: str, name: str, title: str
    ) -> OperatorResponse:
        """Show a form as the document has it."""
        form = self._make_form(section, name, seen.document)
        item = find_item(dump_document(seen.document), form.place)
        is_new = name == NEW_ITEM
        if item is None and not is_new:
            raise RequestRejected(HTTPStatus.NOT_FOUND, f"no {name!r} in {section}")
        edit = start_edit(form, "" if is_new else name, seen.version, item or {})
        visit = Visit(req, seen, section, title, form, edit, is_new)
        return self._send_form(visit, HTTPStatus.OK)

    def take(
        self, req: OperatorRequest, seen: Seen, section: str, name: str, title: str
    ) -> OperatorResponse:
        """Take a sent form one step further."""
        blank = self._make_form(section, name, seen.document)
        edit = read_edit(blank, name, req.form)
        form = self._make_form(section, edit.name, seen.document)
        visit = Visit(req, seen, section, title, form, edit, name == NEW_ITEM)
        match req.form.get("step", ["review"])[0]:
            case "accept":
                return self._accept(visit)
            case "edit":
                return self._send_form(visit, HTTPStatus.OK)
        return self._review(visit)

    def _make_form(self, section: str, name: str, document: Document) -> Form:
        targets = self._list_targets(name) if section == "services" else ()
        form = make_form(section, name, document, targets)
        if form is None:
            raise RequestRejected(HTTPStatus.NOT_FOUND, f"no section {section!r}")
        return form

    def _review(self, visit: Visit) -> OperatorResponse:
        if visit.edit.version != visit.seen.version:
            return self._send_conflict(visit)
        try:
            document = self._build(visit)
        except DocumentError as exc:
            return self._send_form(visit, HTTPStatus.UNPROCESSABLE_ENTITY, exc.problems)
        return self._send_review(visit, document, HTTPStatus.OK)

    def _accept(self, visit: Visit) -> OperatorResponse:
        """Accept what was reviewed; a proposal sent twice is accepted once."""
        try:
            document = self._build(visit)
        except DocumentError as exc:
            # Only an older version can be the cause; it may be our own acceptance.
            document, problems = visit.seen.document, exc.problems
            if visit.edit.version == visit.seen.version:
                return self._send_form(visit, HTTPStatus.UNPROCESSABLE_ENTITY, problems)
        edit = visit.edit
        proposal = Proposal(edit.version, document, visit.req.operator, edit.writer)
        try:
            accepted = self._bridge.call(self._acceptance.accept(proposal))
        except VersionConflict as exc:
            return self._send_conflict(visit, exc)
        except (AcceptanceUnknown, StoreUnavailable) as exc:
            visit.notices.append(exc.message)
            return self._send_review(visit, document, HTTPStatus.SERVICE_UNAVAILABLE)
        except DocumentError as exc:
            return self._send_form(visit, HTTPStatus.UNPROCESSABLE_ENTITY, exc.problems)
        return redirect(f"/force?version={accepted.version}")

    def _build(self, visit: Visit) -> Document:
        if visit.is_new and find_item(
            dump_document(visit.seen.document), visit.form.place
        ):
            problem = f"{visit.edit.name!r} is there already"
            raise DocumentError((Problem("item_name", problem),))
        return make_document(visit.form, visit.edit, visit.seen.document)

    def _send_conflict(
        self, visit: Visit, exc: VersionConflict | None = None
    ) -> OperatorResponse:
        """Show the form over the newer document, with all that was typed."""
        if exc is not None and exc.current.record is not None:
            visit.seen = Seen(exc.current.version, exc.current.record)
            visit.since = exc.since
        else:
            visit.since = self._read_since(visit.edit.version)
        item = find_item(dump_document(visit.seen.document), visit.form.place)
        if item is None and not visit.is_new:
            visit.notices.append("Others removed it; accepting puts it back.")
        merged = merge_edit(
            visit.form, visit.edit, visit.seen.version, None if visit.is_new else item
        )
        visit.edit = replace(merged, is_removal=visit.edit.is_removal)
        visit.notices.append(
            "The document changed while you were typing. Fields that you left alone "
            "have the new values; yours are kept. Look at both, then go on."
        )
        try:
            self._build(visit)
            problems: tuple[Problem, ...] = ()
        except DocumentError as wrong:
            problems = wrong.problems
        return self._send_form(visit, HTTPStatus.CONFLICT, problems)

    def _read_since(self, version: int) -> tuple[HistoryEntry, ...]:
        try:
            entries = self._bridge.call(self._acceptance.read_history(MAX_SINCE))
        except StoreUnavailable:
            return ()
        return tuple(entry for entry in entries if entry.version > version)

    def _send_review(
        self, visit: Visit, document: Document, status: HTTPStatus
    ) -> OperatorResponse:
        changes = diff_documents(visit.seen.document, document)
        return self._pages.send(
            visit.req, "review.html", status, visit=visit, changes=changes
        )

    def _send_form(
        self, visit: Visit, status: HTTPStatus, problems: Iterable[Problem] = ()
    ) -> OperatorResponse:
        beside, above = _sort_problems(visit.form, problems)
        return self._pages.send(
            visit.req, "form.html", status, visit=visit, beside=beside, above=above
        )


def _sort_problems(
    form: Form, problems: Iterable[Problem]
) -> tuple[dict[str, list[str]], list[Problem]]:
    """Return problems by the field beside which they stand, and the others."""
    fields = {form.name_place(item.name): item.name for item in form.list_fields()}
    beside: dict[str, list[str]] = defaultdict(list)
    above = []
    for problem in problems:
        place = _find_place(problem.place, fields)
        if place:
            rest = problem.place.removeprefix(place).strip(".")
            text = f"{rest}: {problem.text}" if rest else problem.text
            beside[fields[place]].append(text)
        else:
            above.append(problem)
    return dict(beside), above


def _find_place(place: str, fields: dict[str, str]) -> str:
    """Return the field's place that a problem's place is or lies in."""
    parts = place.split(".")
    heads = (".".join(parts[:count]) for count in range(len(parts), 0, -1))
    return next((head for head in heads if head in fields), "")
