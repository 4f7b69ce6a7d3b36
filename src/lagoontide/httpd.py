"""HTTP by cheroot: a server in a thread and the bridge to the event loop."""

import asyncio
import concurrent.futures
import threading
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from cheroot import wsgi

__all__ = [
    "Bridge",
    "HttpServer",
    "Wsgi",
    "give_up_body",
    "read_body",
    "split_address",
]

Wsgi = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Bridge:
    """Calls coroutines of an event loop from other threads."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def submit(self, coro: Coroutine[Any, Any, Any]) -> concurrent.futures.Future[Any]:
        """Start a coroutine on the loop."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def call(self, coro: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop and return its result."""
        return self.submit(coro).result()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpServer:
    """A cheroot server that runs in its own threads.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen at; port 0 takes a free one.
    app : callable
        WSGI application.
    threads : int
        Requests handled at the same time.
    max_header, max_body : int
        Bytes accepted; more is refused with 413 or 414.
    timeout : float
        Seconds that a connection may be silent.
    """

    def __init__(
        self,
        address: str,
        app: Wsgi,
        *,
        threads: int,
        max_header: int = 16 << 10,
        max_body: int = 8 << 20,
        timeout: float = 10.0,
    ) -> None:
        self._server = wsgi.Server(
            split_address(address),
            app,
            numthreads=threads,
            server_name="lagoontide",
            timeout=timeout,  # type: ignore[arg-type]
            shutdown_timeout=1,
            request_queue_size=512,
        )
        self._server.max_request_header_size = max_header
        self._server.max_request_body_size = max_body
        self._server.error_log = _ignore  # type: ignore[method-assign]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Where the server listens, with the port that was taken."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind and begin to serve; raises OSError if the address is taken."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests under way are finished."""
        self._server.stop()


def _ignore(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Leave out cheroot's own log: clients that go away are no event."""


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Return the request's body, of at most ``limit`` bytes."""
    length = environ.get("CONTENT_LENGTH") or ""
    stream = environ["wsgi.input"]
    return stream.read(min(int(length), limit)) if length else stream.read(limit)


def give_up_body(environ: dict[str, Any]) -> None:
    """Leave the rest of a body that does not come unread.

    The server would otherwise wait for it before it sends the answer; it closes
    the connection afterwards, as reading has timed out.
    """
    environ["wsgi.input"].remaining = 0
