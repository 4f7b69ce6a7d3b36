"""The document that a page shows, also while the store does not answer."""

from dataclasses import dataclass

from lagoontide.configuration.acceptance import Acceptance
from lagoontide.configuration.document import Document
from lagoontide.configuration.holder import Holder
from lagoontide.errors import StoreError, StoreUnavailable
from lagoontide.httpd import LoopBridge

__all__ = ["Seen", "read_seen"]


@dataclass(frozen=True, slots=True)
class Seen:
    """A document and its version.

    Attributes
    ----------
    notice : str
        Why it is not the newest accepted one; empty if it is.
    """

    version: int
    document: Document
    notice: str = ""


def read_seen(acceptance: Acceptance, holder: Holder, bridge: LoopBridge) -> Seen:
    """Return the newest accepted document, or the one in force without a store.

    Raises
    ------
    StoreError
        If there is neither.
    """
    try:
        current = bridge.call(acceptance.read())
    except StoreUnavailable as exc:
        if not holder.is_ready:
            raise
        notice = f"The store does not answer ({exc.message}); this is in force here."
        return Seen(holder.version, holder.document, notice)
    if current.record is None:
        raise StoreError("no document has been accepted yet", step="read")
    return Seen(current.version, current.record)
