"""HTTP client that runs blocking urllib3 calls in a bounded thread pool."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3

__all__ = ["HttpPool"]

CONNECT_TIMEOUT_S = 1.0


class HttpPool:
    """An HTTP client whose calls run in a thread pool and never block the event loop.

    Parameters
    ----------
    threads : int
        Maximum number of concurrent calls.
    """

    def __init__(self, threads: int) -> None:
        self._http = urllib3.PoolManager(maxsize=threads, retries=False, block=False)
        self._threads = ThreadPoolExecutor(threads, thread_name_prefix="http")

    def send(
        self, method: str, url: str, timeout: float, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Send a request from the current thread; see ``urllib3.PoolManager``."""
        limits = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout), read=timeout)
        return self._http.request(method, url, timeout=limits, **options)

    async def run(self, work: Any, *args: Any) -> Any:
        """Run a blocking callable in the thread pool and return its result."""
        return await asyncio.get_running_loop().run_in_executor(
            self._threads, work, *args
        )

    async def request(
        self, method: str, url: str, timeout: float, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Send a request in the thread pool; return the fully read response."""
        return await self.run(lambda: self.send(method, url, timeout, **options))

    def close(self) -> None:
        """Cancel queued calls, stop the threads and close idle connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._http.clear()
