"""Events of stand-in targets, and silences between and within them."""

import asyncio

from lagoontide.http1.server import ResponseWriter
from lagoontide.platform.standins.runs import SilentAt

__all__ = ["make_event", "send_late"]


def make_event(number: int, version: str, has_id: bool = True) -> bytes:
    """Return the event of a number, with or without an ``id:`` line."""
    name = b"id: %d\n" % number if has_id else b""
    return b"%sdata: %s token %d\n\n" % (name, version.encode(), number)


async def send_late(
    reply: ResponseWriter, event: bytes, silence: float, silent_at: SilentAt
) -> None:
    """Send an event, silent before or within it for ``silence`` seconds."""
    if silent_at is SilentAt.BETWEEN:
        await asyncio.sleep(silence)
    if silent_at is SilentAt.WITHIN:
        middle = len(event) // 2
        await reply.send_data(event[:middle])
        await asyncio.sleep(silence)
        event = event[middle:]
    await reply.send_data(event)
