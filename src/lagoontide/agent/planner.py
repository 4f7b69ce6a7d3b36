"""The agent's queue with what it expects of the work in it."""

from lagoontide.dispatch.messages import Call
from lagoontide.scheduling.load import Load
from lagoontide.scheduling.queue import Queue
from lagoontide.scheduling.sketch import Estimates
from lagoontide.scheduling.tactics import (
    ByShare,
    Order,
    find_latest_start,
    find_long_slots,
    is_long,
    make_queue,
)
from lagoontide.scheduling.waiting import Waiting

__all__ = ["Planner"]

UNKNOWN_WORK_S = 0.05
SERVICE_TIME_WEIGHT = 0.1

Kind = tuple[str, int]


def _kind_of(call: Call) -> Kind:
    """Return the kind of work: the operation and the magnitude of its size."""
    return call.operation, call.size.bit_length()


class Planner:
    """Keeps waiting calls, starts them in order and learns how long they run.

    Parameters
    ----------
    order : Order
        In which calls start.
    limit : int
        Calls that the target has at the same time.
    """

    def __init__(self, order: Order, limit: int) -> None:
        self.limit = limit
        self._order = order
        self._queue: Queue = make_queue(order)
        self._estimates = Estimates(UNKNOWN_WORK_S)
        self._running: dict[str, bool] = {}
        self._service_time = 0.0

    @property
    def load(self) -> Load:
        """The load at this moment."""
        running = len(self._running)
        return Load(
            len(self._queue), running, self.limit, self._service_time, self._wait()
        )

    def plan(self, call: Call, now: float) -> Waiting:
        """Return a call as the queue sees it, with what is expected of it."""
        estimate = self._estimates.get(_kind_of(call))
        deadline = now + call.budget
        latest = deadline
        if isinstance(self._order, ByShare):
            latest = find_latest_start(deadline, estimate)
        return Waiting(
            call.attempt,
            call.account,
            call.priority,
            deadline,
            max(1e-6, estimate.mean),
            latest,
            max(1e-6, call.weight),
            self._separates and is_long(estimate.mean, self._estimates.typical.value),
        )

    @property
    def _separates(self) -> bool:
        return isinstance(self._order, ByShare) and self._order.separates

    def comes_too_late(self, item: Waiting, now: float) -> bool:
        """Whether a call that would be queued now is expected to start too late."""
        match self._order:
            case ByShare(refuses=True) if not item.is_long:
                wait = 0.0
                if self._is_full:
                    work = self._queue.work_before(item) + self._service_time
                    wait = work / self.limit
                return now + wait > item.latest_start
            case _:
                return False

    def push(self, item: Waiting) -> None:
        """Add a call to the queue."""
        self._queue.push(item)

    def remove(self, attempt: str) -> Waiting | None:
        """Take a waiting call out of the queue."""
        return self._queue.remove(attempt)

    def pop(self) -> Waiting | None:
        """Return the next call if one may start now; it then counts as running."""
        if self._is_full:
            return None
        running_long = sum(self._running.values())
        item = self._queue.pop(find_long_slots(self.limit, running_long))
        if item is not None:
            self._running[item.attempt] = item.is_long
        return item

    def end(self, call: Call, elapsed: float | None) -> None:
        """Count a call as ended; ``elapsed`` is its time if it gave a result."""
        self._running.pop(call.attempt, None)
        if elapsed is None:
            return
        if not call.resume:
            self._estimates.add(_kind_of(call), max(1e-6, elapsed))
        if self._service_time == 0.0:
            self._service_time = elapsed
        self._service_time += SERVICE_TIME_WEIGHT * (elapsed - self._service_time)

    @property
    def _is_full(self) -> bool:
        return len(self._running) >= self.limit

    def _wait(self) -> float:
        if not self._is_full:
            return 0.0
        return (len(self._queue) + 1) * self._service_time / self.limit
