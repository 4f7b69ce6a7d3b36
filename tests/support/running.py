"""An embedded deployment on a loop of its own thread."""

import asyncio
import threading
from concurrent.futures import Future

import msgspec
import urllib3

from lagoontide.deployments import (
    load_deployment,
    make_account_token,
    make_sample_request,
)
from lagoontide.httpd import LoopBridge
from lagoontide.local import start_local
from lagoontide.standins.compute import compute_answer

TIMEOUT_S = 30.0


class Running:
    """A deployment that runs until it is stopped."""

    def __init__(self, name):
        self.document = load_deployment(name)
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._started = Future()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self.local, self._loop, self._stop = self._started.result(TIMEOUT_S)
        self.bridge = LoopBridge(self._loop)

    def _run(self):
        asyncio.run(self._main())

    async def _main(self):
        try:
            async with start_local(self.document, seed=1) as local:
                await local.wait_ready()
                stop = asyncio.Event()
                self._started.set_result((local, asyncio.get_running_loop(), stop))
                await stop.wait()
        except BaseException as exc:
            if not self._started.done():
                self._started.set_exception(exc)
            raise

    def stop(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(TIMEOUT_S)

    def call(self, function, *args):
        """Call a function on the deployment's loop."""

        async def run():
            return function(*args)

        return self.bridge.call(run())

    def url(self, route, entry=0):
        return f"http://{self.local.entries[entry].http.address}/v1/routes/{route}"

    def ask(self, sample, entry=0, **headers):
        return self.http.request(
            "POST",
            self.url(sample.route.name, entry),
            headers={
                "Authorization": f"Bearer {make_account_token(sample.account.name)}",
                "Priority": sample.priority.value,
                **headers,
            },
            body=msgspec.json.encode(sample.body),
        )

    def make_sample_request(self, account_name, route_name, mark):
        account = self.document.accounts[account_name]
        return make_sample_request(account, self.document.routes[route_name], mark)

    def wanted(self, sample):
        return compute_answer(self.document, sample.route, sample.body)
