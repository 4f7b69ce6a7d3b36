"""A simulated fleet of entries on a virtual clock, without requests.

Entries run the production code from ``PeerSync`` down, including the mesh and the hubs.
Connections are calls with latency. The store is a fake, which each entry reaches
through a client that records its calls.
"""

import asyncio
import contextlib
import random
from types import SimpleNamespace

import msgspec

from lagoontide.errors import PeerError, PeerTimeout, WireError
from lagoontide.forward.call import ForwardingState
from lagoontide.gateway.peer_sync import PeerSync
from lagoontide.gateway.store_view import Decoders, StoreView
from lagoontide.mesh.peers import Mesh
from lagoontide.mesh.registration import EntryRecord, Registration
from lagoontide.origins.ledger import Origins
from lagoontide.pieces.demand import Demand
from lagoontide.quarantine.ledger import Ledger
from lagoontide.routes.records import RoutingConfig
from lagoontide.store.follower import Follower
from lagoontide.targets.directory import Directory
from lagoontide.targets.load import Loads
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.records import Target, TargetState
from lagoontide.wire.router import Router
from tests.mesh.fake_store import Store, StoreClient

CONFIG_KEY = "plan"
TARGET_PREFIX = "targets/"
DOMAINS = ("north", "east", "south", "west")
LATENCY_S = 0.002


def decode_config(value):
    return RoutingConfig(version=int(value), routes=(), services={}, accounts=())


def target_id(key):
    return key.removeprefix(TARGET_PREFIX) if key.startswith(TARGET_PREFIX) else None


def decode_target(name, value, revision):
    if not value:
        raise WireError("empty", step="test")
    state = TargetState(value.decode())
    return Target(name, "engine", "h", 1, "north", state, revision=revision)


def address_of(name):
    """Return the address of the entry with a name such as ``e7``."""
    return f"10.0.{int(name[1:]) // 256}.{int(name[1:]) % 256}:7"


def name_at(address):
    """Return the name of the entry at an address."""
    *_, high, low = address.removesuffix(":7").split(".")
    return f"e{int(high) * 256 + int(low)}"


class Link:
    """A simulated connection to another entry; see ``lagoontide.wire.conn.Conn``."""

    def __init__(self, fleet, source, address):
        self._fleet = fleet
        self._source = source
        self._address = name_at(address.removeprefix("tcp://"))

    def tell_now(self, message):
        self._fleet.deliver(self._source, self._address, message, None)

    async def ask(self, message, timeout):
        reply = asyncio.get_running_loop().create_future()
        self._fleet.deliver(self._source, self._address, message, reply)
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            raise PeerTimeout("no reply", step="ask", peer=self._address) from None

    def close(self):
        pass


class Entry:
    """One entry, without the parts that handle requests."""

    def __init__(self, fleet, name, capacity, domain):
        loop = asyncio.get_running_loop()
        self.name = name
        self.domain = domain
        self.capacity = capacity
        self.is_paused = False
        self.held = []
        self.unsent = []
        self.store_client = StoreClient(fleet.store)
        self.lost = []
        self.seen = []
        own = EntryRecord(address_of(name), capacity, domain)
        self.state = ForwardingState(
            domain,
            None,
            Directory(loop.time),
            None,
            Loads(loop.time),
            Loads(loop.time),
            *(None, None, SimpleNamespace(ledger=Ledger(loop.time)), None),
            RateLimits(loop.time),
            *(None, None, None, None, Origins(loop.time)),
        )
        self.store_view = StoreView(
            self.state,
            Decoders(
                CONFIG_KEY, decode_config, target_id, decode_target, lambda key: None
            ),
            lambda: self.follower.outage_end,
            loop.time,
        )
        self.follower = Follower(
            self.store_client, "", self.store_view, lambda: self.peer_sync.is_relayed()
        )
        self.demand = Demand(loop.time, lambda: self.mesh.extrapolation_factor())
        self.peer_sync = PeerSync(
            self.state,
            self.store_view,
            self.follower,
            self.demand,
            own.address,
            loop.time,
        )
        self.follower.relay = self.peer_sync.relay
        self.mesh = self.peer_sync.mesh = Mesh(
            name,
            own,
            lambda address: Link(fleet, name, address),
            self.peer_sync.make_status,
            self.peer_sync.record_status,
            self.lost.append,
            self.peer_sync.record_sums,
            self.peer_sync.record_crashes,
            self.store_view.entries,
            self.peer_sync.is_cut_off,
        )
        self.router = Router()
        self.mesh.register(self.router)
        self.peer_sync.register(self.router)
        self.registration = Registration(self.store_client, name, own, 1.0)
        self.tasks = [
            loop.create_task(work)
            for work in (
                self.follower.run(),
                self.mesh.run(),
                self.registration.run(),
                self._sweep(),
            )
        ]

    @property
    def version(self):
        route_table = self.state.route_table
        return route_table.version if route_table else 0

    def ready(self):
        return {target.id for target in self.state.directory.ready("engine")}

    def stop(self):
        for task in self.tasks:
            task.cancel()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.25)
            self.store_view.sweep()
            self.state.directory.remove_expired()
            entries = self.store_view.entries.values()
            self.mesh.add_addresses(entry.address for entry in entries)
            self.seen.append((self.follower.as_of, self.version))


class Fleet:
    """The entries, the network between them and the store."""

    def __init__(self, number, seed=1):
        self.rng = random.Random(seed)
        self.store = Store()
        self.store.put(CONFIG_KEY, b"1")
        self.cut = set()
        self.messages = 0
        self.size = 0
        self.entries = {}
        self.ended = []
        for place in range(number):
            self.start(f"e{place}")

    def start(self, name):
        place = int(name[1:])
        capacity = (0.4, 0.8, 1.2, 2.0)[place % 4]
        # Each domain gets entries of every capacity.
        domain = DOMAINS[(place // 4) % len(DOMAINS)]
        self.entries[name] = Entry(self, name, capacity, domain)

    def kill(self, name):
        entry = self.entries.pop(name)
        entry.stop()
        self.ended.append(entry)

    def deliver(self, source, target, message, reply):
        if (source, target) in self.cut or source not in self.entries:
            return
        sender = self.entries[source]
        if sender.is_paused:
            sender.unsent.append((target, message, reply))
            return
        entry = self.entries.get(target)
        if entry is None:
            raise PeerError("no connection", step="send", peer=target)
        self.messages += 1
        self.size += len(msgspec.msgpack.encode(message))
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._arrive, entry, source, message, reply)

    def _arrive(self, entry, source, message, reply):
        if entry.is_paused:
            entry.held.append((source, message, reply))
            return

        async def send(answer):
            if reply is not None and not reply.done():
                reply.set_result(answer)

        task = asyncio.get_running_loop().create_task(
            entry.router.handle(source, message, send)
        )
        entry.tasks.append(task)
        task.add_done_callback(entry.tasks.remove)

    def pause(self, name):
        """Suspend an entry: hold back its messages and time out its store calls."""
        entry = self.entries[name]
        entry.is_paused = True
        entry.store_client.trouble = "silent"

    def resume(self, name):
        """Resume an entry: deliver the held messages, which are stale by now."""
        entry = self.entries[name]
        entry.is_paused = False
        entry.store_client.trouble = ""
        unsent, entry.unsent = entry.unsent, []
        for target, message, reply in unsent:
            with contextlib.suppress(PeerError):
                self.deliver(name, target, message, reply)
        held, entry.held = entry.held, []
        for source, message, reply in held:
            self._arrive(entry, source, message, reply)

    def calls(self):
        return sum(len(entry.store_client.calls) for entry in self.all())

    def all(self):
        return [*self.entries.values(), *self.ended]

    def watchers(self):
        """Return the entries that have watched the store since ``clear_calls``."""
        entries = self.entries.values()
        return [item.name for item in entries if "watch" in item.store_client.calls]

    def clear_calls(self):
        for entry in self.all():
            entry.store_client.calls.clear()

    async def settle(self, seconds=8.0):
        await asyncio.sleep(seconds)
        self.clear_calls()
        self.messages = self.size = 0
