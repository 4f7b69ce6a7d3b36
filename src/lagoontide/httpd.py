"""HTTP server based on cheroot, and calls from its threads to the event loop."""

import asyncio
import concurrent.futures
import threading
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from cheroot import wsgi

__all__ = [
    "HttpServer",
    "LoopBridge",
    "WsgiApp",
    "read_body",
    "skip_unread_body",
    "split_address",
]

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class LoopBridge:
    """Runs coroutines on an event loop on behalf of other threads."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def submit(self, coro: Coroutine[Any, Any, Any]) -> concurrent.futures.Future[Any]:
        """Schedule a coroutine on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def call(self, coro: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop; block until it ends and return its result."""
        return self.submit(coro).result()


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpServer:
    """A cheroot WSGI server that runs in threads of its own.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on; port 0 selects a free port.
    app : callable
        WSGI application.
    threads : int
        Number of requests handled at the same time.
    max_header, max_body : int
        Size limits in bytes; larger requests are rejected with 413 or 414.
    timeout : float
        Idle timeout of a connection, in seconds.
    """

    def __init__(
        self,
        address: str,
        app: WsgiApp,
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
        self._server.error_log = _discard_log  # type: ignore[method-assign]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Address that the server listens on, with the actual port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind and start serving; raises OSError if the address is in use."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving after the requests in progress are finished."""
        self._server.stop()


def _discard_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Discard cheroot's error log, which reports every client that disconnects."""


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Read and return the request's body, up to ``limit`` bytes."""
    length = environ.get("CONTENT_LENGTH") or ""
    stream = environ["wsgi.input"]
    return stream.read(min(int(length), limit)) if length else stream.read(limit)


def skip_unread_body(environ: dict[str, Any]) -> None:
    """Mark a body as fully read although the rest of it has not arrived.

    The server would otherwise wait for the rest before it sends the response. It
    closes the connection afterwards, because the read timed out.
    """
    environ["wsgi.input"].remaining = 0
