"""How a new agent becomes known before the entries read the list again."""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from lagoontide.errors import PeerError
from lagoontide.membership.messages import Joined
from lagoontide.membership.pace import connect_pause
from lagoontide.membership.subset import SUBSET_SIZE, pick_subset
from lagoontide.store.instances import Instance, Role
from lagoontide.wire.conn import Conn

__all__ = ["announce", "is_in_view"]

ANSWER_S = 2.0


def is_in_view(agent: Instance, entry: str, pool: Iterable[Instance]) -> bool:
    """Return whether an entry's view of a pool has an agent."""
    view = pick_subset(entry, pool, SUBSET_SIZE)
    return any(item.name == agent.name for item in view)


async def announce(
    agent: Instance,
    instances: tuple[Instance, ...],
    connect: Callable[[str], Conn],
    rng: random.Random,
) -> None:
    """Tell the entries in whose view an agent is that it is there.

    An entry that does not answer is passed over: it will read the list.
    """
    others = (
        item
        for item in instances
        if item.role is Role.AGENT
        and item.service == agent.service
        and item.name != agent.name
    )
    pool = [agent, *others]
    entries = [item for item in instances if item.role is Role.ENTRY]
    for entry in rng.sample(entries, len(entries)):
        await asyncio.sleep(0)
        if is_in_view(agent, entry.name, pool):
            await _tell(agent, entry, connect)
            await asyncio.sleep(connect_pause(rng))


async def _tell(
    agent: Instance, entry: Instance, connect: Callable[[str], Conn]
) -> None:
    conn = connect(entry.address)
    try:
        await conn.ask(Joined(agent), ANSWER_S)
    except PeerError as exc:
        logger.bind(step="announce", peer=entry.name).debug("{}", exc)
    finally:
        conn.close()
