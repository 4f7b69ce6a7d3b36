"""A browser without script: a WSGI client that keeps cookies."""

import io
import re
from dataclasses import dataclass
from html import unescape
from urllib.parse import urlencode


@dataclass
class Page:
    status: int
    headers: dict
    body: bytes

    @property
    def text(self):
        return self.body.decode()


class Browser:
    def __init__(self, app, cookie=""):
        self._app = app
        self._cookie = cookie

    def move(self, app):
        """Return the same browser at another entry."""
        return Browser(app, self._cookie)

    def get(self, url, headers=None):
        return self._ask("GET", url, b"", headers)

    def post(self, url, headers=None, **fields):
        return self._ask("POST", url, urlencode(fields, doseq=True).encode(), headers)

    def send(self, url, body, headers):
        """Send a body that is no form."""
        return self._ask("POST", url, body, headers)

    def sign_in(self, token, **fields):
        answer = self.post("/sign-in", token=token, **fields)
        self._cookie = answer.headers.get("Set-Cookie", "").partition(";")[0]
        return answer

    def read_csrf(self):
        return read_fields(self.get("/sign-in").text)["csrf"][0]

    def _ask(self, method, url, body, headers):
        path, _, query = url.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_TYPE": "application/x-www-form-urlencoded",
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_ACCEPT": "text/html",
            "HTTP_HOST": "entry.test",
            "HTTP_COOKIE": self._cookie,
            "wsgi.input": io.BytesIO(body),
            **(headers or {}),
        }
        heads = []
        chunks = self._app(environ, lambda *head: heads.append(head))
        ((status, fields),) = heads
        return Page(int(status.split()[0]), dict(fields), b"".join(chunks))


def read_fields(text):
    """Return the values of a page's fields by name, as a browser would send them."""
    fields = {}
    for tag in re.findall(r"<input\b[^>]*>", text):
        attributes = dict(re.findall(r'(\w+)="([^"]*)"', tag))
        if attributes.get("type") == "checkbox" and " checked" not in tag:
            continue
        if "name" in attributes:
            value = unescape(attributes.get("value", "on"))
            fields.setdefault(unescape(attributes["name"]), []).append(value)
    for name, value in re.findall(
        r'<textarea\b[^>]*name="([^"]*)"[^>]*>(.*?)</textarea>', text, re.S
    ):
        fields.setdefault(unescape(name), []).append(unescape(value).lstrip("\n"))
    for name, body in re.findall(
        r'<select\b[^>]*name="([^"]*)"[^>]*>(.*?)</select>', text, re.S
    ):
        chosen = re.findall(r'<option value="([^"]*)" selected', body)
        fields.setdefault(unescape(name), []).extend(map(unescape, chosen))
    return fields
