"""The console: pages over the one document."""

from collections.abc import Callable
from http import HTTPStatus

from lagoontide.configuration.acceptance import Acceptance
from lagoontide.configuration.force import ReadForce
from lagoontide.configuration.holder import Holder
from lagoontide.configuration.model import dump_document
from lagoontide.console.edit import NEW_ITEM
from lagoontide.console.editor import Editor
from lagoontide.console.seen import Seen, read_seen
from lagoontide.errors import RequestRejected
from lagoontide.httpd import LoopBridge
from lagoontide.operators.app import OperatorRequest, OperatorResponse, OperatorsApp
from lagoontide.operators.pages import Pages, make_pages

__all__ = ["Console", "ListTargets", "mount_console"]

SECTIONS = {"routes": "Routes", "services": "Services", "accounts": "Accounts"}
SINGLES = {"policies": "Policies", "failure-domains": "Failure domains"}
MAX_LISTED = 200
HISTORY_LISTED = 200
MAX_VERSION_DIGITS = 18

# Names of the targets of a service that this process knows.
ListTargets = Callable[[str], tuple[str, ...]]


class Console:
    """Serves the console's pages to signed-in operators."""

    def __init__(
        self,
        acceptance: Acceptance,
        holder: Holder,
        bridge: LoopBridge,
        read_force: ReadForce,
        list_targets: ListTargets,
    ) -> None:
        self._acceptance = acceptance
        self._holder = holder
        self._bridge = bridge
        self._read_force = read_force
        self._pages: Pages = make_pages("lagoontide.console")
        self._editor = Editor(acceptance, bridge, self._pages, list_targets)

    def handle(self, req: OperatorRequest) -> OperatorResponse:
        """Answer a request below the root."""
        match req.method, req.path.split("/"):
            case "GET", [""]:
                return self._show_overview(req)
            case "GET", ["history"]:
                return self._show_history(req)
            case "GET", ["force"]:
                return self._show_force(req)
            case "GET", [section] if section in SECTIONS:
                return self._show_list(req, section)
            case (("GET" | "POST"), [section]) if section in SINGLES:
                return self._edit(req, section, "", SINGLES[section])
            case (("GET" | "POST"), [section, name]) if section in SECTIONS and name:
                title = f"New in {SECTIONS[section].lower()}"
                return self._edit(
                    req, section, name, title if name == NEW_ITEM else name
                )
        raise RequestRejected(HTTPStatus.NOT_FOUND, f"no page {req.path!r}")

    def _read(self) -> Seen:
        return read_seen(self._acceptance, self._holder, self._bridge)

    def _edit(
        self, req: OperatorRequest, section: str, name: str, title: str
    ) -> OperatorResponse:
        seen = self._read()
        if req.method == "GET":
            return self._editor.show(req, seen, section, name, title)
        return self._editor.take(req, seen, section, name, title)

    def _show_overview(self, req: OperatorRequest) -> OperatorResponse:
        seen = self._read()
        return self._pages.send(
            req,
            "overview.html",
            seen=seen,
            own_version=self._holder.version,
            domains=self._bridge.call(self._read_force(seen.version)),
        )

    def _show_list(self, req: OperatorRequest, section: str) -> OperatorResponse:
        seen = self._read()
        word = req.query.get("q", [""])[0].strip()
        items = {
            name: item
            for name, item in dump_document(seen.document)[section].items()
            if word in name
        }
        return self._pages.send(
            req,
            "list.html",
            seen=seen,
            section=section,
            heading=SECTIONS[section],
            items=dict(sorted(items.items())[:MAX_LISTED]),
            total=len(items),
            word=word,
        )

    def _show_history(self, req: OperatorRequest) -> OperatorResponse:
        entries = self._bridge.call(self._acceptance.read_history(HISTORY_LISTED))
        return self._pages.send(req, "history.html", entries=entries)

    def _show_force(self, req: OperatorRequest) -> OperatorResponse:
        text = req.query.get("version", [""])[0]
        if not text.isascii() or not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
            raise RequestRejected(HTTPStatus.BAD_REQUEST, f"no version {text!r}")
        version = int(text)
        domains = self._bridge.call(self._read_force(version))
        return self._pages.send(
            req,
            "force.html",
            version=version,
            domains=domains,
            is_everywhere=all(x.known and x.reached == x.known for x in domains),
        )


def mount_console(
    app: OperatorsApp,
    acceptance: Acceptance,
    holder: Holder,
    bridge: LoopBridge,
    read_force: ReadForce,
    list_targets: ListTargets,
) -> None:
    """Serve the console at the root of the operators' port."""
    console = Console(acceptance, holder, bridge, read_force, list_targets)
    app.mount("/", console.handle)
