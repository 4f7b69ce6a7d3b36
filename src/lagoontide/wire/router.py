"""Hands the messages of one server socket to the slices that they belong to."""

from typing import Any

import msgspec
from loguru import logger

from lagoontide.wire.server import Handler, Send

__all__ = ["Router"]


class Router:
    """Handlers by message type; its ``handle`` is a server's handler."""

    def __init__(self) -> None:
        self._handlers: dict[type[msgspec.Struct], Handler] = {}

    def register(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Hand messages of a type to ``handler``.

        Raises
        ------
        ValueError
            If the type has a handler already.
        """
        if kind in self._handlers:
            raise ValueError(f"{kind.__name__} has a handler already")
        self._handlers[kind] = handler

    async def handle(self, peer: str, message: Any, send: Send) -> None:
        """Hand one message over; one that nobody takes is logged and dropped."""
        handler = self._handlers.get(type(message))
        if handler is None:
            logger.bind(peer=peer).warning("unexpected {!r:.80}", message)
            return
        await handler(peer, message, send)
