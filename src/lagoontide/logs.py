"""Logging through loguru, as text or JSON lines."""

import sys
import traceback
from typing import Any

import msgspec
from loguru import logger

from lagoontide.settings import LogSettings

__all__ = ["configure_logging", "format_traceback"]

MAX_TRACEBACK_FRAMES = 12
MAX_TRACEBACK_CHARS = 4000
CONTEXT_FIELDS = ("request", "stage", "step", "peer")


def configure_logging(settings: LogSettings, process: str) -> None:
    """Configure loguru to write this process's log to standard error."""
    logger.remove()
    logger.configure(extra={"process_name": process})
    if settings.format == "json":
        logger.add(_write_json, level=settings.level)
        return
    logger.add(
        sys.stderr,
        level=settings.level,
        format=_format_text,
        backtrace=False,
        diagnose=False,
    )


def _format_text(record: Any) -> str:
    context = " ".join(
        f"{name}={{extra[{name}]}}"
        for name in CONTEXT_FIELDS
        if record["extra"].get(name)
    )
    head = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process_name]}"
    return f"{head} {context} {{message}}\n{{exception}}".replace("  ", " ")


def _write_json(message: Any) -> None:
    record = message.record
    extra = record["extra"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "process": extra["process_name"],
        "message": record["message"],
        **{name: extra[name] for name in CONTEXT_FIELDS if extra.get(name)},
    }
    if record["exception"] is not None:
        line["exception"] = "".join(traceback.format_exception(*record["exception"]))
    print(msgspec.json.encode(line).decode(), file=sys.stderr, flush=True)


def format_traceback(exc: BaseException) -> str:
    """Return the last frames of an exception's traceback, without any values."""
    lines = traceback.format_exception(exc, limit=-MAX_TRACEBACK_FRAMES)
    return "".join(lines)[-MAX_TRACEBACK_CHARS:]
