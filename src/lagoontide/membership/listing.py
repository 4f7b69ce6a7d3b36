"""Reading the platform's list of instances, at a pace that fits its size."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import StoreError
from lagoontide.membership.pace import list_interval, spread
from lagoontide.store.instances import Instance, InstanceSource

__all__ = ["OnList", "follow_list"]

# Bytes of one instance in the platform's answer.
LISTED_BYTES = 150

OnList = Callable[[tuple[Instance, ...]], None]


async def follow_list(
    instances: InstanceSource, on_list: OnList, rng: random.Random
) -> None:
    """Hand over the platform's list, again and again until cancelled."""
    size = 0
    while True:
        try:
            listed = await instances.list()
            size = LISTED_BYTES * len(listed)
            on_list(listed)
        except StoreError as exc:
            logger.bind(step="instances").warning("{}", exc)
        await asyncio.sleep(spread(list_interval(size), rng))
