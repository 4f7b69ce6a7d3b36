"""An in-process network between entries and agents, with faults of its own."""

import asyncio
import random
from dataclasses import dataclass, field
from itertools import count

from lagoontide.errors import PeerError
from lagoontide.wire.conn import Exchange


@dataclass
class Weather:
    """How messages fare on their way.

    Delays are in seconds; the other values are probabilities.
    """

    delay: float = 0.001
    spread: float = 0.0
    drop: float = 0.0
    double: float = 0.0


@dataclass
class Network:
    """Carries messages to handlers by address and their replies back.

    Messages to and from a paused end wait until it goes on; those of an end that
    has died are lost.
    """

    rng: random.Random
    weather: Weather = field(default_factory=Weather)
    handlers: dict = field(default_factory=dict)
    cut: set = field(default_factory=set)
    paused: set = field(default_factory=set)
    tasks: set = field(default_factory=set)

    def connect(self, address, name="entry"):
        return LocalConn(self, address, name)

    def carry(self, ends, deliver):
        """Deliver after a while, perhaps never, perhaps twice."""
        copies = 2 if self.rng.random() < self.weather.double else 1
        for _ in range(copies):
            if self.cut & set(ends) or self.rng.random() < self.weather.drop:
                continue
            wait = self.weather.delay + self.rng.random() * self.weather.spread
            self._start(self._deliver_later(ends, wait, deliver))

    async def pass_pause(self, *ends):
        while self.paused & set(ends):
            await asyncio.sleep(0.05)

    async def _deliver_later(self, ends, wait, deliver):
        await self.pass_pause(*ends)
        await asyncio.sleep(wait)
        await self.pass_pause(*ends)
        result = deliver()
        if asyncio.iscoroutine(result):
            await result

    def _start(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class LocalConn:
    """Stands for a Conn; has the same methods."""

    def __init__(self, network, address, name):
        self.peer = address
        self.dropped = 0
        self.closed = False
        self._network = network
        self._name = name
        self._numbers = count(1)
        self._exchanges = {}

    async def open(self, message):
        if self.closed:
            raise PeerError("closed", step="send", peer=self.peer)
        number = next(self._numbers)
        exchange = Exchange(self, number)
        self._exchanges[number] = exchange
        self._send(number, message)
        return exchange

    async def ask(self, message, timeout):
        with await self.open(message) as exchange:
            return await exchange.next(timeout)

    async def tell(self, message):
        self._send(0, message)

    def forget(self, number):
        self._exchanges.pop(number, None)

    def close(self):
        self.closed = True
        self._exchanges.clear()

    def _send(self, number, message):
        if self.closed:
            return
        network = self._network
        ends = (self.peer, self._name)

        def deliver():
            handler = network.handlers.get(self.peer)
            if handler is None:
                return None

            async def reply(answer):
                # A process that has died meanwhile says nothing more.
                if network.handlers.get(self.peer) == handler:
                    network.carry(ends, lambda: self._arrive(number, answer))

            return handler(self._name, message, reply)

        network.carry(ends, deliver)

    def _arrive(self, number, answer):
        exchange = self._exchanges.get(number)
        if exchange is None:
            self.dropped += 1
        else:
            exchange.put(answer)
