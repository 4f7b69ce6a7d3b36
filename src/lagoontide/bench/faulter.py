"""Kills, pauses and breaks processes of a fleet, by a seed."""

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable

import msgspec
import urllib3

from lagoontide.bench.processes import Fleet, Process
from lagoontide.standins.faults import FaultOrder

__all__ = ["Faulter", "set_fault"]

PAUSE_S = 2.5
DOWN_S = 1.0
BREAK_S = 3.0
GAP_S = 0.7


def set_fault(process: Process, order: FaultOrder) -> None:
    """Tell a stand-in its faults."""
    http = urllib3.PoolManager(retries=False)
    url = f"http://{process.control}/faults"
    http.request("POST", url, body=msgspec.json.encode(order))


class Faulter:
    """Puts faults into a fleet until told to stop.

    Attributes
    ----------
    counts : Counter
        Faults by kind.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End the fault at hand and put no more in."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        kinds: dict[str, Callable[[], None]] = {
            "agent_killed": lambda: self._kill(self._pick(self._fleet.agents)),
            "entry_killed": lambda: self._kill(self._pick(self._fleet.entries)),
            "agent_paused": lambda: self._pause(self._pick(self._fleet.agents)),
            "entry_paused": lambda: self._pause(self._pick(self._fleet.entries)),
            "agent_stopped": lambda: self._stop(self._pick(self._fleet.agents)),
            "entry_stopped": lambda: self._stop(self._pick(self._fleet.entries)),
            "store_down": lambda: self._break(self._fleet.store, down=True),
            "store_slow": lambda: self._break(self._fleet.store, slow=100.0),
            "store_answers_lost": lambda: self._lose(self._fleet.store),
            "target_stalled": lambda: self._break(self._target(), stalled=True),
            "target_down": lambda: self._break(self._target(), down=True),
            "target_answers_lost": lambda: self._lose(self._target()),
        }
        while not self._stopped.is_set():
            # Each kind comes once before any comes again.
            for kind in self._rng.sample(sorted(kinds), len(kinds)):
                if self._stopped.is_set():
                    return
                kinds[kind]()
                self.counts[kind] += 1
                self._stopped.wait(GAP_S)

    def _pick(self, processes: dict[str, Process]) -> Process:
        return processes[self._rng.choice(sorted(processes))]

    def _target(self) -> Process:
        return self._pick(self._fleet.targets)

    def _kill(self, process: Process) -> None:
        process.send_signal(signal.SIGKILL)
        self._restart(process)

    def _stop(self, process: Process) -> None:
        process.send_signal(signal.SIGTERM)
        self._restart(process)

    def _restart(self, process: Process) -> None:
        assert process.child is not None
        process.child.wait()
        time.sleep(DOWN_S)
        process.start(self._fleet.folder)

    def _pause(self, process: Process) -> None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)

    def _break(
        self,
        process: Process,
        down: bool = False,
        stalled: bool = False,
        slow: float = 1.0,
    ) -> None:
        set_fault(process, FaultOrder(down=down, stalled=stalled, slow=slow))
        time.sleep(BREAK_S)
        set_fault(process, FaultOrder(down=False, stalled=False, slow=1.0))

    def _lose(self, process: Process) -> None:
        set_fault(process, FaultOrder(drop_answers=self._rng.randrange(1, 4)))
