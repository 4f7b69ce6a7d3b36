"""Commands by which operators see what happens."""

import sys
import time
from pathlib import Path
from typing import Any

from lagoontide.report.flags import (
    check_request,
    check_timeout,
    find_token,
    parse_entries,
    parse_window,
    read_body,
)

__all__ = ["ReportCommands", "WatchCommands"]

WATCH_INTERVAL_S = 2.0
CLEAR = "\x1b[H\x1b[2J"
EXIT_PROBLEM = 1
EXIT_INCOMPLETE = 3


class ReportCommands:
    """Reports on service levels."""

    def burn(
        self,
        entries: str = "",
        token: str = "",
        window: str = "6h",
        html: str = "",
        json: bool = False,
    ) -> None:
        """Show error budgets, burn rates and what spent them.

        Exit code: 0 without an alert, 1 with one, 2 for an error, 3 without an
        alert but with an entry that did not answer.

        Examples
        --------
        lagoontide report burn --entries=10.0.0.1:8081,10.0.0.2:8081 --token=SECRET
        lagoontide report burn --entries=10.0.0.1:8081 --window=30m --json
        lagoontide report burn --entries=10.0.0.1:8081 --html=burn.html

        Parameters
        ----------
        entries
            Operators' ports of the entries to ask, IP:PORT, comma between them;
            else the variable LAGOONTIDE_OPERATORS.
        token
            An operator's bearer token; else the variable LAGOONTIDE_TOKEN.
        window
            What budgets and spending are of: 90s, 5m, 1h, up to 6h.
        html
            A file to write the page to.
        json
            Print JSON in place of text.
        """
        from lagoontide.report.gather import gather_burn

        report = gather_burn(
            parse_entries(entries), find_token(token), parse_window(window)
        )
        if html:
            from lagoontide.report.html import render

            Path(html).write_text(render(report), "utf-8")
        _print_burn(report, json)
        sys.exit(_burn_exit(report))


class WatchCommands:
    """Commands about single requests and the state of entries."""

    def trace(
        self,
        request: str,
        entries: str = "",
        token: str = "",
        json: bool = False,
    ) -> None:
        """Show the story of a recent request by its X-Request-Id.

        Exit code: 0 if it was found, 1 if no entry that answered keeps it, 2 for
        an error, 3 if it was not found and an entry did not answer.

        Example
        -------
        lagoontide trace 3f2a... --entries=10.0.0.1:8081,10.0.0.2:8081
        """
        from lagoontide.report.gather import gather_traces
        from lagoontide.report.text import format_trace

        check_request(request)
        found = gather_traces(parse_entries(entries), find_token(token), request)
        trace = next((value for value in found.values if value), None)
        if trace is not None:
            print(to_json(trace) if json else format_trace(trace))
            return
        _print_errors(found.errors)
        print(f"lagoontide: no entry keeps request {request}", file=sys.stderr)
        sys.exit(EXIT_INCOMPLETE if found.errors else EXIT_PROBLEM)

    def status(
        self,
        entries: str = "",
        token: str = "",
        watch: bool = False,
        json: bool = False,
    ) -> None:
        """Show entries, pools, targets, queues and the store.

        Exit code: 0 if all is well, 1 with a problem, 2 for an error, 3 if an
        entry did not answer. ``--watch`` shows it again every 2 s until Ctrl-C.

        Examples
        --------
        lagoontide status --entries=10.0.0.1:8081 --watch
        lagoontide status --entries=10.0.0.1:8081 --json
        """
        addresses, secret = parse_entries(entries), find_token(token)
        code = _show_status(addresses, secret, json, "")
        try:
            while watch:
                time.sleep(WATCH_INTERVAL_S)
                code = _show_status(addresses, secret, json, "" if json else CLEAR)
        except KeyboardInterrupt:
            pass
        sys.exit(code)

    def request(
        self,
        route: str,
        entry: str = "",
        token: str = "",
        body: str = "{}",
        key: str = "",
        timeout: float = 0.0,
        priority: str = "",
        stream: bool = False,
    ) -> None:
        """Send one request to an entry's callers' port, as a caller does.

        Exit code: 0 with the answer, 1 if it was not run, 2 for an error, 3 if
        it failed, 4 if nobody knows whether it ran.

        Examples
        --------
        lagoontide request reseller-query --entry=10.0.0.1:8080 --token=SECRET \
            --body='{"question": "..."}' --timeout=2
        lagoontide request issue-credit --entry=10.0.0.1:8080 --body=@credit.json \
            --key=order-17
        """
        from lagoontide.report.caller import (
            EXIT_BY_OUTCOME,
            send_request,
            stream_request,
        )

        (address,) = parse_entries(entry, "entry")[:1]
        headers = {"Authorization": f"Bearer {find_token(token)}"}
        headers |= {"Idempotency-Key": key} if key else {}
        headers |= {"Priority": priority} if priority else {}
        data, limit = read_body(body), check_timeout(timeout)
        outcome = ""
        if stream:
            for reply in stream_request(address, route, data, headers, limit):
                print(reply.text, flush=True)
                outcome = reply.outcome
        else:
            reply = send_request(address, route, data, headers, limit)
            outcome = reply.outcome
            print(reply.text)
            print(f"request {reply.request or '(no id)'}", file=sys.stderr)
        sys.exit(EXIT_BY_OUTCOME.get(outcome, EXIT_BY_OUTCOME["unknown"]))


def to_json(value: Any) -> str:
    """Return a value as JSON with line breaks."""
    import msgspec

    return msgspec.json.format(msgspec.json.encode(value)).decode()


def _print_errors(errors: dict[str, Any]) -> None:
    for address, exc in errors.items():
        print(f"lagoontide: {address} did not answer: {exc}", file=sys.stderr)


def _print_burn(report: Any, as_json: bool) -> None:
    from lagoontide.report.text import format_burn

    print(to_json(report) if as_json else format_burn(report))


def _burn_exit(report: Any) -> int:
    from lagoontide.report.burn import Alert
    from lagoontide.report.summary import SourceState

    lines = (report.total, *report.routes, *report.accounts)
    if any(line.alert is not Alert.NONE for line in lines):
        return EXIT_PROBLEM
    if any(source.state is SourceState.MISSING for source in report.sources):
        return EXIT_INCOMPLETE
    return 0


def _show_status(
    addresses: tuple[str, ...], token: str, as_json: bool, before: str
) -> int:
    from lagoontide.report.gather import gather_status
    from lagoontide.report.text import format_status

    found = gather_status(addresses, token)
    text = to_json(found.values) if as_json else format_status(found.values)
    print(f"{before}{text}", flush=True)
    _print_errors(found.errors)
    if any(problem for status in found.values for problem in status.problems()):
        return EXIT_PROBLEM
    return EXIT_INCOMPLETE if found.errors else 0
