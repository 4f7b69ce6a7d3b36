"""Commands for the configuration document.

Like all commands they import what they need when they run: the daemons start by
the same command line and stay small.
"""

import os
import secrets
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from lagoontide.errors import SettingsError

if TYPE_CHECKING:
    from lagoontide.operators.client import OperatorsClient

__all__ = ["ConfigCommands"]

ADDRESS_VARIABLE = "LAGOONTIDE_OPERATORS"
TOKEN_VARIABLE = "LAGOONTIDE_TOKEN"
API = "/api/configuration"
STATUS_CONFLICT = 409
STATUS_INVALID = 422
STATUS_UNKNOWN = 504
EXIT_DIFFERENT = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXITS = {
    STATUS_CONFLICT: EXIT_CONFLICT,
    STATUS_INVALID: EXIT_INVALID,
    STATUS_UNKNOWN: EXIT_UNKNOWN,
}


class ConfigCommands:
    """The configuration document.

    All but ``validate`` ask an entry: give ``--address=IP:PORT`` of its operators'
    port or set LAGOONTIDE_OPERATORS, and the operator's token in LAGOONTIDE_TOKEN.
    """

    def validate(self, file: str) -> None:
        """Check a document and print every problem in it."""
        from lagoontide.configuration.model import load_document

        document = load_document(Path(file))
        print(
            f"{file}: valid; {len(document.routes)} routes, "
            f"{len(document.services)} services, {len(document.accounts)} accounts"
        )

    def show(self, address: str = "", json: bool = False) -> None:
        """Print the newest accepted document as TOML; its version as a comment."""
        from lagoontide.configuration.toml import render_toml

        answer = _connect(address).ask("GET", API)
        if json:
            print(msgspec.json.encode(answer).decode())
            return
        print(f"# version {answer['version']}")
        if answer["document"] is not None:
            print(render_toml(answer["document"]), end="")

    def diff(self, file: str, address: str = "") -> None:
        """Print what a document would change; exit 1 if it changes anything."""
        answer = _send(address, "diff", {"document": _read_document(file)})
        _print_changes(answer.get("changes", []))
        print(f"{len(answer.get('changes', []))} changes over {answer['version']}")
        sys.exit(EXIT_DIFFERENT if answer.get("changes") else 0)

    def apply(
        self, file: str, expected: int, address: str = "", writer: str = ""
    ) -> None:
        """Accept a document over the version that you saw.

        Exits 0 when it is accepted, 2 when it is not valid, 3 when others changed
        the document since, 4 when it is not known; then apply it again with the
        printed ``--writer``.
        """
        writer = writer or secrets.token_hex(8)
        order = {
            "document": _read_document(file),
            "expected": expected,
            "writer": writer,
        }
        answer = _send(address, "apply", order)
        print(f"accepted as version {answer['version']}")

    def history(self, address: str = "", limit: int = 20, json: bool = False) -> None:
        """Print who changed what, newest first."""
        entries = _connect(address).ask("GET", f"{API}/history?limit={int(limit)}")
        if json:
            print(msgspec.json.encode(entries).decode())
            return
        for entry in entries:
            _print_entry(entry)


def _connect(address: str) -> "OperatorsClient":
    from lagoontide.operators.client import OperatorsClient

    address = address or os.environ.get(ADDRESS_VARIABLE, "")
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not address:
        raise SettingsError(f"give --address=IP:PORT or set {ADDRESS_VARIABLE}")
    if not token:
        raise SettingsError(f"set {TOKEN_VARIABLE} to your operator token")
    return OperatorsClient(address, token)


def _read_document(file: str) -> dict[str, Any]:
    from lagoontide.configuration.model import dump_document, load_document

    return dump_document(load_document(Path(file)))


def _send(address: str, step: str, order: dict[str, Any]) -> dict[str, Any]:
    """Send an order; print why and exit if it is not accepted."""
    from lagoontide.operators.client import Refusal

    try:
        return _connect(address).ask("POST", f"{API}/{step}", order)
    except Refusal as exc:
        if exc.status not in EXITS:
            raise
        print(exc.message, file=sys.stderr)
        _print_refusal(exc.answer)
        if exc.status == STATUS_UNKNOWN:
            print(f"--writer={order['writer']}", file=sys.stderr)
        sys.exit(EXITS[exc.status])


def _print_refusal(answer: dict[str, Any]) -> None:
    for problem in answer.get("problems", []):
        print(problem, file=sys.stderr)
    for entry in answer.get("since", []):
        _print_entry(entry)
    if answer.get("changes"):
        print("your document against the newest one:")
        _print_changes(answer["changes"])


def _print_entry(entry: dict[str, Any]) -> None:
    at, operator = _show_time(entry["at"]), entry["operator"] or "-"
    print(f"version {entry['version']} {at} {operator}: {entry['total']} changes")
    _print_changes(entry["changes"])


def _show_time(at: float) -> str:
    """Return seconds since the epoch as UTC; nothing for 0."""
    if not at:
        return "-"
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _print_changes(changes: list[dict[str, str]]) -> None:
    for change in changes:
        place, before, after = change["place"], change["before"], change["after"]
        if not before:
            print(f"  + {place} = {after}")
        elif not after:
            print(f"  - {place} (was {before})")
        else:
            print(f"  ~ {place}: {before} -> {after}")
