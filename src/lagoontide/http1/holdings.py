"""Bounds on what the connections of callers may occupy together.

Callers need not keep to any limit. Each connection accounts for what it occupies by
itself and for the bytes that are held for it, from its first byte until its socket is
closed; beyond the bound, the connections that hold most for longest are given up.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from loguru import logger

__all__ = [
    "PROBE_CONN_LIMITS",
    "ConnLimits",
    "Holding",
    "Holdings",
    "Phase",
    "make_conn_limits",
]

MB = 1 << 20
# What an entry needs without callers: code, configuration, targets, peers.
RESERVED_BYTES = 48 * MB
# A byte of a request is held up to five times: as received, on its way to the target,
# in an answer as long, on its way to the caller, and in a copy that is being made.
COPIES = 5
MIN_HELD_BYTES = 8 * MB
# A connection by itself: its socket, its tasks and the parser of its request.
CONN_BYTES = 32 << 10
# The kernel keeps up to twice the size of a receive buffer that was set, and so much of
# each connection that has not been accepted yet.
KERNEL_FACTOR = 2
RECEIVE_BUFFER_BYTES = 16 << 10
ACCEPT_QUEUE = (64, 1024)
# Shares of the memory beyond the reserved part: of connections, and of those of them
# that have not been accepted yet.
CONNECTIONS_SHARE = 0.5
ACCEPT_QUEUE_SHARE = 0.15
# Descriptors for files and the like (DEPLOY, Machines).
RESERVED_FDS = 200
# The others are shared with connections to targets, peers and the store.
CALLERS_FD_SHARE = 0.6
MIN_CONNECTIONS = 32
# Connections are given up until this share of the bound is held.
LOW_WATER_SHARE = 0.9
# A connection that holds less is given up only beyond a bound larger by this share, so
# that a few large requests do not crowd out ordinary ones.
SMALL_BYTES = 32 << 10
SMALL_EXTRA_SHARE = 0.25
# Share of the bound that answers may take which are kept until they are complete: their
# requests may have run, so that they cannot be given up for others.
ANSWERS_SHARE = 0.4
# Added to the time for which bytes are held, so that of new ones the largest count.
MIN_AGE_S = 0.1
LOG_INTERVAL_S = 1.0


class Phase(Enum):
    """What a connection is waiting for."""

    REQUEST = "its request"
    ANSWER = "its answer"
    READER = "its reader"
    CLOSE = "its close"


@dataclass(frozen=True, slots=True)
class ConnLimits:
    """Bounds on the connections of callers.

    Attributes
    ----------
    held_bytes : int
        Bytes that may be held for all connections together, if only a few are open.
    connections : int
        Connections that may be open at once.
    accept_queue : int
        Connections that may wait to be accepted.
    receive_buffer : int
        Size in bytes of the receive buffer of each socket; 0 for that of the system.
    bytes_per_connection : int
        Bytes of ``held_bytes`` that each open connection takes by itself.
    """

    held_bytes: int = 64 * MB
    connections: int = 2400
    accept_queue: int = 1024
    receive_buffer: int = 0
    bytes_per_connection: int = 0

    def held_bytes_beside(self, connections: int) -> int:
        """Return the bytes that may be held for so many open connections."""
        own = connections * self.bytes_per_connection
        return max(self.held_bytes - own, min(self.held_bytes, MIN_HELD_BYTES))


# Of a port for probes, which come one at a time. What they occupy is part of
# RESERVED_BYTES.
PROBE_CONN_LIMITS = ConnLimits(
    held_bytes=MB // 2,
    connections=32,
    accept_queue=32,
    receive_buffer=RECEIVE_BUFFER_BYTES,
)


def make_conn_limits(memory_bytes: float, descriptors: int) -> ConnLimits:
    """Return the bounds for a process with some memory and descriptors.

    Its memory has room for what it needs by itself, for receive buffers of connections
    that are not accepted yet, for the connections, and for copies of what is held.
    """
    free = max(memory_bytes - RESERVED_BYTES, 0)
    by_fds = CALLERS_FD_SHARE * (descriptors - RESERVED_FDS)
    in_kernel = KERNEL_FACTOR * RECEIVE_BUFFER_BYTES
    least, most = ACCEPT_QUEUE
    queue = int(min(max(ACCEPT_QUEUE_SHARE * free / in_kernel, least), most))
    conn_bytes = CONN_BYTES + in_kernel
    by_memory = (CONNECTIONS_SHARE * free - queue * in_kernel) / conn_bytes
    held = int((free - queue * in_kernel) / COPIES)
    return ConnLimits(
        max(held, MIN_HELD_BYTES),
        max(int(min(by_fds, by_memory)), MIN_CONNECTIONS),
        queue,
        RECEIVE_BUFFER_BYTES,
        conn_bytes // COPIES,
    )


class Holding:
    """The bytes that are held for one connection.

    Parameters
    ----------
    give_up : callable
        Ends what the connection waits for; never called in phase ``ANSWER``.
    measure_unsent : callable, optional
        Returns the bytes that were written and are not sent yet.

    Attributes
    ----------
    received : int
        Bytes of the current request, and those that came after it.
    buffered : int
        Bytes of the answer that are kept until it is complete.
    unsent : int
        Bytes of the answer that the peer has not taken.
    since : float
        Loop time at which the request began, or the peer last took bytes.
    is_given_up : bool
        Whether ``give_up`` was called in the current phase.
    """

    def __init__(
        self,
        holdings: "Holdings",
        give_up: Callable[["Holding"], None],
        measure_unsent: Callable[[], int] | None = None,
    ) -> None:
        self.received = 0
        self.buffered = 0
        self.unsent = 0
        self.since = 0.0
        self.phase = Phase.REQUEST
        self.is_given_up = False
        self._is_closed = False
        self._holdings = holdings
        self._give_up = give_up
        self._measure_unsent = measure_unsent

    @property
    def may_buffer(self) -> bool:
        """Whether what is kept of the answer may go on to grow."""
        return self.buffered <= SMALL_BYTES or self._holdings.has_room_for_answers

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return self.received + self.buffered + self.unsent

    def receive(self, size: int) -> None:
        """Account for bytes that have been received."""
        if not self.received:
            self.since = asyncio.get_running_loop().time()
        self.set_received(self.received + size)

    def set_received(self, size: int) -> None:
        """Account for what is left of the received bytes."""
        if not self._is_closed:
            change, self.received = size - self.received, size
            self._holdings.grow(change)

    def set_buffered(self, size: int) -> None:
        """Account for what is kept of the answer."""
        if not self._is_closed:
            change, self.buffered = size - self.buffered, size
            self._holdings.buffered += change
            self._holdings.grow(change)

    def set_unsent(self, size: int) -> None:
        """Account for bytes that were written and are not sent yet."""
        if not self._is_closed:
            change, self.unsent = size - self.unsent, size
            if change < 0:
                self.since = asyncio.get_running_loop().time()
            self._holdings.grow(change)

    def update_unsent(self) -> None:
        """Account for what was sent meanwhile, which nothing tells of."""
        if self.unsent and self._measure_unsent is not None:
            self.set_unsent(self._measure_unsent())

    def start_closing(self) -> None:
        """Enter the phase ``CLOSE``: all that is left is to send an answer."""
        self.phase = Phase.CLOSE
        self.is_given_up = False
        self.since = asyncio.get_running_loop().time()
        self.set_received(0)
        self.set_buffered(0)

    def give_up(self) -> None:
        """End what the connection waits for, which drops all that is held for it."""
        self.is_given_up = True
        self._release()
        self._give_up(self)

    def close(self) -> None:
        """Account for nothing more, as the socket is closed."""
        self._release()
        self._is_closed = True
        self._holdings.remove(self)

    def _release(self) -> None:
        self.set_received(0)
        self.set_buffered(0)
        self.set_unsent(0)


class Holdings:
    """The holdings of all connections of a listener.

    Attributes
    ----------
    held : int
        Bytes that are held.
    buffered : int
        Those of them that are kept of answers until these are complete.
    given_up : Counter
        Connections given up so far, by what they waited for.
    """

    def __init__(self, limits: ConnLimits) -> None:
        self.limits = limits
        self.held = 0
        self.buffered = 0
        self.given_up: Counter[Phase] = Counter()
        self._holdings: set[Holding] = set()
        self._logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._holdings)

    @property
    def most(self) -> int:
        """Bytes that may be held for the connections that are open."""
        return self.limits.held_bytes_beside(len(self._holdings))

    @property
    def has_room_for_answers(self) -> bool:
        """Whether more may be kept of answers that are not complete."""
        return self.buffered <= ANSWERS_SHARE * self.most

    def unsent(self) -> int:
        """Return the bytes that were written for all connections and are not sent."""
        for holding in self._holdings:
            holding.update_unsent()
        return sum(holding.unsent for holding in self._holdings)

    def add(
        self,
        give_up: Callable[[Holding], None],
        measure_unsent: Callable[[], int] | None = None,
    ) -> Holding:
        """Return the holding of a new connection; see ``Holding``."""
        holding = Holding(self, give_up, measure_unsent)
        self._holdings.add(holding)
        return holding

    def remove(self, holding: Holding) -> None:
        """Forget a holding."""
        self._holdings.discard(holding)

    def grow(self, change: int) -> None:
        """Account for a change, and give connections up if too much is held then."""
        self.held += change
        if change > 0 and self.held > self.most:
            self._make_room()

    def give_up_one(self) -> bool:
        """Give up the connection that holds most for longest, if there is one."""
        ranked = self._ranked(lambda holding: True)
        if not ranked:
            return False
        # One that is closing takes up a descriptor for nothing but a refusal.
        closing = (holding for holding in ranked if holding.phase is Phase.CLOSE)
        self._end(next(closing, ranked[0]), "connections")
        return True

    def _make_room(self) -> None:
        for holding in self._holdings:
            holding.update_unsent()
        limit = self.most
        if sum(holding.size > 0 for holding in self._holdings) <= 1:
            # A request that is alone is served, whatever its size.
            return
        self._give_up_until(
            LOW_WATER_SHARE * limit,
            self._ranked(lambda holding: holding.size > SMALL_BYTES),
        )
        if self.held > (1.0 + SMALL_EXTRA_SHARE) * limit:
            self._give_up_until(limit, self._ranked(lambda holding: holding.size > 0))

    def _give_up_until(self, enough: float, ranked: Iterable[Holding]) -> None:
        for holding in ranked:
            if self.held <= enough:
                return
            self._end(holding, "bytes")

    def _ranked(self, is_candidate: Callable[[Holding], bool]) -> list[Holding]:
        """Return those that may be given up, the one to give up first at first.

        A request that waits for its answer may have run, so that it is left alone.
        """
        now = asyncio.get_running_loop().time()
        return sorted(
            (
                holding
                for holding in self._holdings
                if holding.phase is not Phase.ANSWER
                and not holding.is_given_up
                and is_candidate(holding)
            ),
            key=lambda holding: holding.size * (now - holding.since + MIN_AGE_S),
            reverse=True,
        )

    def _end(self, holding: Holding, lacking: str) -> None:
        now = asyncio.get_running_loop().time()
        size, age, held = holding.size, now - holding.since, self.held
        self.given_up[holding.phase] += 1
        holding.give_up()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logger.bind(
                held=held,
                most=self.most,
                connections=len(self._holdings),
                given_up=self.given_up.total(),
            ).warning(
                "too many {} of callers: gave up one that waited for {}, "
                "with {} bytes held for {:.1f} s",
                lacking,
                holding.phase.value,
                size,
                age,
            )
