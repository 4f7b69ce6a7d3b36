"""Commands on log files."""

import sys

from lagoontide.errors import UsageError
from lagoontide.logbook.calls import describe_calls
from lagoontide.logbook.read import read_files
from lagoontide.logbook.story import summarize, tell_story
from lagoontide.logbook.waits import describe_waits

__all__ = ["LogCommands"]

EXIT_NOTHING = 3


class LogCommands:
    """What the logs of several processes say together."""

    def trace(self, request: str, *files: str) -> None:
        """Tell one request's story: ``lagoontide logs trace ID FILE...``."""
        is_found = False
        for text in tell_story(read_files(files), str(request)):
            is_found = True
            print(text)
        if not is_found:
            print(f"no line about {request} in {', '.join(files)}", file=sys.stderr)
            sys.exit(EXIT_NOTHING)

    def summary(self, *files: str) -> None:
        """Count outcomes and their causes: ``lagoontide logs summary FILE...``."""
        for text in summarize(read_files(files)):
            print(text)

    def calls(self, *files: str, since: str = "", until: str = "") -> None:
        """Count calls by stage target: ``lagoontide logs calls FILE... --since=T``."""
        try:
            for text in describe_calls(read_files(files), str(since), str(until)):
                print(text)
        except ValueError as exc:
            raise UsageError(f"--since or --until: {exc}", step="logs") from exc

    def waits(
        self, *files: str, by: str = "route", since: str = "", until: str = ""
    ) -> None:
        """Show who waits and who is refused: ``lagoontide logs waits FILE... --by=X``.

        X is ``route``, ``account``, ``entry``, ``target``, ``reason`` (of the choice of
        a target), ``verdict`` (of the forecast) or ``bottleneck`` (its service).
        """
        try:
            for text in describe_waits(read_files(files), by, str(since), str(until)):
                print(text)
        except ValueError as exc:
            raise UsageError(f"--by, --since or --until: {exc}", step="logs") from exc
