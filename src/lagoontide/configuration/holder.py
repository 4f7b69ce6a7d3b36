"""The version in force in this process; it only rises."""

from collections.abc import Callable

from loguru import logger

from lagoontide.configuration.document import Document, decode_document

__all__ = ["Holder"]


class Holder:
    """Holds the newest document that this process has seen.

    Attributes
    ----------
    version : int
        Version in force; 0 before the first document.
    """

    def __init__(self) -> None:
        self.version = 0
        self._document: Document | None = None
        self._listeners: list[Callable[[Document], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether a document is in force."""
        return self._document is not None

    @property
    def document(self) -> Document:
        """The document in force; only to be read when ready."""
        if self._document is None:
            raise RuntimeError("no configuration is in force yet")
        return self._document

    def subscribe(self, listener: Callable[[Document], None]) -> None:
        """Call ``listener`` with each document that comes into force."""
        self._listeners.append(listener)

    def adopt(self, version: int, document: Document) -> bool:
        """Put a document in force unless one as new is already; return whether."""
        if version <= self.version:
            return False
        self.version = version
        self._document = document
        logger.info("configuration version {} is in force", version)
        for listener in self._listeners:
            listener(document)
        return True

    def put(self, version: int, data: bytes) -> None:
        """Put an encoded document in force; raises msgspec.DecodeError."""
        self.adopt(version, decode_document(data))
