"""Execution of the stages of a request, whose results are the target's inputs."""

import asyncio
from collections import Counter
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import PeerError
from lagoontide.forward.call import Call
from lagoontide.forward.inputs import InputsFailed
from lagoontide.pieces.admission import decide_admission
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Demand, Need, piece_cost
from lagoontide.pieces.dispatcher import OrderDispatcher
from lagoontide.pieces.forecast import make_forecast
from lagoontide.pieces.graph import make_graph
from lagoontide.pieces.messages import Order, OrderDone
from lagoontide.pieces.records import Failure
from lagoontide.routes.records import Service
from lagoontide.routes.urgency import LATE_URGENCY
from lagoontide.tasks import TaskSet
from lagoontide.timers import RunClock, Stopwatch

__all__ = ["StageInputs"]

# Maximum number of times that inputs which a stage finds lost are made again, per
# request, and that a failed preparation is repeated. It does not limit ``renew``.
MAX_RENEWALS = 3
# Smaller transfers cross failure domains rather than wait for a target in the
# preferred one.
LOCALITY_MIN_BYTES = 500e3


class StageInputs:
    """Makes the inputs of a request; see lagoontide.forward.inputs.Inputs.

    Parameters
    ----------
    service_of : callable
        Returns a service of the configuration.
    target_domain : callable
        Returns the failure domain of the target that should run the request.
    run_clock : RunClock, optional
        Times the stages.
    """

    def __init__(
        self,
        dispatcher: OrderDispatcher,
        demand: Demand,
        calibration: Calibration,
        call: Call,
        service_of: Callable[[str], Service],
        target_domain: Callable[[], str],
        run_clock: RunClock | None = None,
    ) -> None:
        self._run_clock = run_clock or RunClock()
        self._find_target_domain = target_domain
        self._target_domain = ""
        self._dispatcher = dispatcher
        self._demand = demand
        self._needs: dict[int, Need] = {}
        self._calibration = calibration
        self._target_time = calibration.target_time(call.route.name)
        self._expected = 0.0
        self._is_late = False
        self._service_of = service_of
        self._call = call
        self._loop = asyncio.get_running_loop()
        self._graph = make_graph(
            call.route.stages, call.metadata.piece_counts, service_of
        )
        self._tasks: dict[int, asyncio.Task[tuple[str, ...]]] = {}
        self._renewals = 0
        self._failed_preparations = 0
        self._background = TaskSet()

    def admit(self) -> None:
        """See Inputs."""
        for service in sorted(self._graph.services):
            if self._service_of(service).piece_settings is None:
                raise InputsFailed(f"service {service!r:.80} runs no pieces")
        forecast = make_forecast(
            self._call,
            self._graph,
            self._demand.total(),
            self._dispatcher.target_equivalents,
            self._calibration,
            self._loop.time(),
        )
        decision = decide_admission(forecast)
        self._call.choices.append(
            f"{decision.reason}: {forecast}, factor {self._calibration.factor:.2f}"
        )
        if not decision.is_admitted:
            raise InputsFailed(decision.reason, decision.retry_after)
        self._target_domain = self._find_target_domain()
        self._is_late = decision.urgency == LATE_URGENCY
        self._watch = Stopwatch(self._run_clock)
        self._expected = forecast.work + forecast.wait - self._target_time
        self._expected /= self._calibration.factor
        for index, count in enumerate(self._graph.counts):
            if count:
                self._needs[index] = self._stage_need(index, decision.urgency)
                self._demand.add(self._needs[index])

    async def ready(self) -> tuple[str, ...]:
        """See Inputs."""
        self._discard_failed()
        results = await asyncio.gather(*map(self._stage_task, self._graph.final_stages))
        elapsed = self._watch.seconds() if self._expected else None
        # A request admitted as late waits behind all others, so only a duration below
        # the forecast is evidence.
        if elapsed is not None:
            is_faster = elapsed < self._calibration.factor * self._expected
            if is_faster or not self._is_late:
                self._calibration.observe(self._expected, elapsed)
        self._expected = 0.0
        return tuple(handle for handles in results for handle in handles)

    def prepare(self) -> bool:
        """See Inputs."""
        if any(map(_has_failed, self._tasks.values())):
            if self._failed_preparations == MAX_RENEWALS:
                return False
            self._failed_preparations += 1
            self._discard_failed()
        tasks = [self._stage_task(index) for index in self._graph.final_stages]
        return all(map(_has_result, tasks))

    def renew(self) -> None:
        """See Inputs."""
        for index in self._graph.final_stages:
            self._discard(index)

    def bytes_by_domain(self) -> dict[str, float]:
        """See Inputs."""
        bytes_found: dict[str, float] = {}
        for index in self._graph.final_stages:
            task = self._tasks.get(index)
            if task is None or not _has_result(task):
                continue
            for handle in task.result():
                domain = self._dispatcher.domain_of(handle)
                size = self._graph.stages[index].result_bytes
                bytes_found[domain] = bytes_found.get(domain, 0.0) + size
        return bytes_found

    def release(self) -> None:
        """See Inputs."""
        for index in tuple(self._tasks):
            self._discard(index)

    def record_target_time(self, seconds: float) -> None:
        """See Inputs."""
        self._calibration.observe_target_time(self._call.route.name, seconds)

    def close(self) -> None:
        """See Inputs."""
        self.release()
        for index in tuple(self._needs):
            self._remove_need(index)

    def _stage_need(self, index: int, urgency: int) -> Need:
        stage = self._graph.stages[index]
        settings = self._service_of(stage.service).piece_settings
        seconds = 0.0 if settings is None else piece_cost(settings, stage.result_bytes)
        return Need(stage.service, urgency, self._graph.counts[index] * seconds)

    def _remove_need(self, index: int) -> None:
        need = self._needs.pop(index, None)
        if need is not None:
            self._demand.remove(need)

    def _stage_task(self, index: int) -> asyncio.Task[tuple[str, ...]]:
        if index not in self._tasks:
            self._tasks[index] = self._loop.create_task(self._run_stage(index))
        return self._tasks[index]

    async def _run_stage(self, index: int) -> tuple[str, ...]:
        stage = self._graph.stages[index]
        if not self._graph.counts[index]:
            return ()
        if not stage.after:
            for before in self._graph.start_after(index):
                await self._stage_task(before)
        while True:
            inputs: list[str] = []
            used: dict[int, asyncio.Task[tuple[str, ...]]] = {}
            for before in stage.after:
                used[before] = self._stage_task(before)
                inputs += await used[before]
            done = await self._submit_order(index, tuple(inputs))
            match done.failure:
                case None:
                    self._remove_need(index)
                    self._discard_consumed(index)
                    return done.handles
                case Failure.INPUT_GONE if self._renew_lost(used):
                    continue
                case failure:
                    raise InputsFailed(
                        f"stage {index}: {failure}", done.retry_after or None
                    )

    def _renew_lost(self, used: dict[int, asyncio.Task[tuple[str, ...]]]) -> bool:
        """Discard inputs that a stage finds lost; return whether it may try again.

        Another stage may have discarded them already and wait for their renewal.
        """
        lost = [index for index, task in used.items() if self._tasks.get(index) is task]
        if lost:
            if self._renewals == MAX_RENEWALS:
                return False
            self._renewals += 1
        for index in lost:
            self._discard(index)
        return True

    async def _submit_order(self, index: int, inputs: tuple[str, ...]) -> OrderDone:
        stage, call = self._graph.stages[index], self._call
        now = self._loop.time()
        time_after = self._target_time + self._graph.time_after(index)
        order = Order(
            service=stage.service,
            request_id=call.metadata.request_id,
            kind=f"{call.route.name}/{index}",
            stage=index,
            count=self._graph.counts[index],
            key=call.metadata.piece_key,
            inputs=inputs,
            urgency=call.urgency,
            due=(call.deadline if self._is_late else call.objective_at)
            - time_after
            - now,
            left=call.deadline - now,
            result_bytes=stage.result_bytes,
            near=self._preferred_domain(index, inputs),
            frees_inputs=self._graph.is_sole_consumer(index),
        )
        try:
            return await self._dispatcher.make(order)
        except PeerError as exc:
            raise InputsFailed(f"stage {index}: {exc}") from exc

    def _preferred_domain(self, index: int, inputs: tuple[str, ...]) -> str:
        """Return the preferred failure domain; empty if it would save few bytes."""
        stage, count = self._graph.stages[index], self._graph.counts[index]
        if inputs:
            sizes = [self._graph.stages[before].result_bytes for before in stage.after]
            if len(inputs) * max(sizes) * count >= LOCALITY_MIN_BYTES:
                domains = Counter(map(self._dispatcher.domain_of, inputs))
                return domains.most_common(1)[0][0]
        is_last = not self._graph.successors[index]
        if is_last and count * stage.result_bytes >= LOCALITY_MIN_BYTES:
            return self._target_domain
        return ""

    def _discard_consumed(self, index: int) -> None:
        """Free the inputs of a stage that all of their consumers have used."""
        for before in self._graph.stages[index].after:
            if self._graph.is_sole_consumer(index):
                # The owner has freed them; making them again takes a new task.
                self._tasks.pop(before, None)
                continue
            others = (
                after for after in self._graph.successors[before] if after != index
            )
            if all(map(self._is_stage_done, others)):
                self._discard(before)

    def _is_stage_done(self, index: int) -> bool:
        return index in self._tasks and self._tasks[index].done()

    def _discard_failed(self) -> None:
        for index, task in tuple(self._tasks.items()):
            if _has_failed(task):
                self._discard(index)

    def _discard(self, index: int) -> None:
        task = self._tasks.pop(index, None)
        if task is None:
            return
        if not task.done():
            task.cancel()
            return
        if not _has_result(task) or not task.result():
            return
        self._background.start(self._free(task.result()))

    async def _free(self, handles: tuple[str, ...]) -> None:
        try:
            await self._dispatcher.free(handles)
        except PeerError as exc:
            logger.bind(request=self._call.metadata.request_id).info(
                "failed to free results: {}", exc
            )


def _has_result(task: asyncio.Task[tuple[str, ...]]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _has_failed(task: asyncio.Task[tuple[str, ...]]) -> bool:
    return task.done() and not _has_result(task)
