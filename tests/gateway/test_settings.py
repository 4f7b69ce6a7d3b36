"""Reload of settings while an entry runs."""

import asyncio
import os
import signal
from dataclasses import replace

from lagoontide.errors import SettingsError
from lagoontide.gateway.daemon import watch_settings
from lagoontide.gateway.settings import Bounds
from lagoontide.platform.standins.deployment import send, start_deployment
from tests.support.waiting import wait_for


def test_settings_reload_keeps_requests_running_and_rejects_invalid_settings():
    async def main():
        async with start_deployment() as small:
            gateway = small.gateways[0]
            old = gateway.cfg
            answers = [
                replace(old, bounds=Bounds(grace_period=5.0)),
                SettingsError("broken"),
            ]
            loaded = []

            def load():
                answer = answers[min(len(loaded), 1)]
                loaded.append(answer)
                if isinstance(answer, Exception):
                    raise answer
                return answer

            watching = asyncio.create_task(watch_settings(gateway, load))
            await asyncio.sleep(0)
            running = asyncio.create_task(send(small.ports[0], "/events/a", "r1"))
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_for(lambda: gateway.cfg.bounds.grace_period == 5.0)
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_for(lambda: len(loaded) == 2)
            assert gateway.cfg.bounds.grace_period == 5.0
            assert (await running).status == 200
            watching.cancel()
            asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)

    asyncio.run(main())
