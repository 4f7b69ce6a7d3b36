"""Who an operator is: bearer tokens, and signed cookies that no instance keeps.

A cookie names the operator and the time of its end and is signed with a key that
follows from the settings, which all entries share: any entry may answer, and
taking a token out of the settings ends its sessions.
"""

import hashlib
import hmac
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http.cookies import CookieError, SimpleCookie

__all__ = ["COOKIE", "SESSION_S", "Session", "Sessions"]

COOKIE = "lagoontide_session"
SESSION_S = 8 * 3600


@dataclass(frozen=True, slots=True)
class Session:
    """A signed-in browser.

    Attributes
    ----------
    csrf : str
        What each of its forms has to send along.
    """

    operator: str
    csrf: str


class Sessions:
    """Checks bearer tokens and cookies.

    Parameters
    ----------
    tokens : dict of str to str
        Operators' names by the SHA-256 hex digest of their bearer token.
    secret : str
        Key of the cookies; the same at all entries. Without one the digests alone
        are the key, and whoever reads the settings can make a cookie.
    now : callable
        Returns the wall clock's seconds.
    """

    def __init__(
        self,
        tokens: dict[str, str],
        secret: str = "",
        now: Callable[[], float] = time.time,
    ) -> None:
        self._tokens = tokens
        self._secret = secret.encode()
        self._now = now

    def identify(self, token: str) -> str:
        """Return the operator of a token, or an empty string."""
        return self._tokens.get(self._find_digest(token), "")

    def open(self, token: str) -> str:
        """Return the cookie's value for a token, or an empty string."""
        digest = self._find_digest(token)
        if not digest:
            return ""
        text = f"{self._tokens[digest]}.{int(self._now()) + SESSION_S}"
        return f"{text}.{_sign(self._make_key(digest), text)}"

    def read(self, header: str) -> Session | None:
        """Return the session of a ``Cookie`` header, or None."""
        value = _find_cookie(header)
        text, _, mark = value.rpartition(".")
        operator, _, end = text.partition(".")
        if not end.isascii() or not end.isdigit() or int(end) <= self._now():
            return None
        for key in self._make_keys(operator):
            if hmac.compare_digest(_sign(key, text).encode(), mark.encode()):
                return Session(operator, _sign(key, f"csrf {value}"))
        return None

    def _find_digest(self, token: str) -> str:
        digest = hashlib.sha256(token.encode()).hexdigest()
        matches = (x for x in self._tokens if hmac.compare_digest(x, digest))
        return next(matches, "")

    def _make_keys(self, operator: str) -> Iterator[bytes]:
        for digest, name in self._tokens.items():
            if name == operator:
                yield self._make_key(digest)

    def _make_key(self, digest: str) -> bytes:
        return hmac.digest(self._secret or b"-", digest.encode(), "sha256")


def _sign(key: bytes, text: str) -> str:
    return hmac.new(key, text.encode(), "sha256").hexdigest()


def _find_cookie(header: str) -> str:
    try:
        morsel = SimpleCookie(header).get(COOKIE)
    except CookieError:
        return ""
    return morsel.value if morsel else ""
