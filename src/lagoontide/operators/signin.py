"""Signing in to the console with an operator's token, and out again."""

from http import HTTPStatus

from lagoontide.errors import RequestRejected
from lagoontide.operators.app import OperatorRequest, OperatorResponse, OperatorsApp
from lagoontide.operators.pages import Pages, make_pages, redirect
from lagoontide.operators.sessions import COOKIE, SESSION_S, Sessions

__all__ = ["mount_sign_in"]

COOKIE_ATTRIBUTES = "Path=/; HttpOnly; SameSite=Strict"


class SignIn:
    """Pages ``/sign-in`` and ``/sign-out``."""

    def __init__(self, sessions: Sessions, pages: Pages) -> None:
        self._sessions = sessions
        self._pages = pages

    def sign_in(self, req: OperatorRequest) -> OperatorResponse:
        """Show the form, or open a session."""
        match req.method:
            case "GET":
                return self._show(req, req.query.get("next", ["/"])[0])
            case "POST":
                return self._open(req)
        raise RequestRejected(HTTPStatus.METHOD_NOT_ALLOWED, "use GET or POST")

    def sign_out(self, req: OperatorRequest) -> OperatorResponse:
        """Take the cookie away."""
        if req.method != "POST":
            raise RequestRejected(HTTPStatus.METHOD_NOT_ALLOWED, "use POST")
        cookie = f"{COOKIE}=; Max-Age=0; {COOKIE_ATTRIBUTES}"
        return redirect("/sign-in", ("Set-Cookie", cookie))

    def _open(self, req: OperatorRequest) -> OperatorResponse:
        target = _check_path(req.form.get("next", ["/"])[0])
        token = req.form.get("token", [""])[0].strip()
        value = self._sessions.open(token)
        if not value:
            problem = "no operator has this token"
            return self._show(req, target, HTTPStatus.UNAUTHORIZED, problem)
        cookie = f"{COOKIE}={value}; Max-Age={SESSION_S}; {COOKIE_ATTRIBUTES}"
        return redirect(target, ("Set-Cookie", cookie))

    def _show(
        self,
        req: OperatorRequest,
        target: str,
        status: HTTPStatus = HTTPStatus.OK,
        problem: str = "",
    ) -> OperatorResponse:
        return self._pages.send(
            req, "sign_in.html", status, target=_check_path(target), problem=problem
        )


def mount_sign_in(app: OperatorsApp) -> None:
    """Add the pages for signing in and out."""
    pages = SignIn(app.sessions, make_pages("lagoontide.operators"))
    app.mount("/sign-in", pages.sign_in, is_open=True)
    app.mount("/sign-out", pages.sign_out)


def _check_path(path: str) -> str:
    """Return a path of this site; anything else becomes the overview."""
    is_local = path.startswith("/") and not path.startswith(("//", "/\\"))
    return path if is_local and path.isprintable() else "/"
