"""Answers that end early or never come: what callers see, the log and the counter."""

import asyncio

import pytest
from loguru import logger

from lagoontide.forward import forwarder as forwarder_module
from lagoontide.forward.outcome import EndReason
from lagoontide.gateway.metrics import GatewayMetrics
from lagoontide.gateway.stop import stop_gracefully
from lagoontide.http1.client import InvalidResponse
from lagoontide.http1.messages import ResponseHead
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.runs import TargetFault
from tests.support.waiting import wait_for

COUNTER = 'lagoontide_answers_ended_early_total{reason="%s"}'
GRACE_S = 3.0
LONG_ROUTE = {
    "name": "once",
    "host": "a.example",
    "prefix": "/once/",
    "kind": "unsafe",
    "service": "plain",
    "timeout_ms": 10_000,
}
STREAM = [(b"X-Lagoontide-Token-Counts", b"10,6")]


class Ends:
    """Early ends of one entry, from its log and its counter."""

    def __init__(self, gateway):
        self.records = []
        self._gateway = gateway
        self._number = logger.add(
            lambda message: self.records.append(message.record), format=""
        )

    def close(self):
        logger.remove(self._number)

    def lines(self):
        return [item["extra"] for item in self.records if item["extra"].get("end")]

    def count(self, reason):
        prefix = COUNTER % reason
        for line in self._gateway.metrics.render().decode().splitlines():
            if line.startswith(prefix):
                return float(line.rpartition(" ")[2])
        return None

    def check_only(self, reason):
        assert [line["end"] for line in self.lines()] == [reason]
        for other in EndReason:
            assert self.count(other) == (other is reason)


def run(scenario):
    async def main():
        async with start_deployment() as small:
            ends = Ends(small.gateways[0])
            try:
                await scenario(small, ends)
            finally:
                ends.close()

    asyncio.run(main())


def set_fault(small, service, fault, times=10):
    for target in small.targets_of(service):
        target.fault, target.faults_left = fault, times


# Guards against a request that ends without an answer, as an exception that no handler
# names closed its connection.
@pytest.mark.parametrize(("has_sent", "status"), [(False, 503), (True, 502)])
def test_unexpected_exception_before_the_answer_is_a_visible_failure(
    monkeypatch, has_sent, status
):
    async def fail(state, call, reply, inputs, rng):
        if has_sent:
            call.send_tracker.register_send()
        raise KeyError("gone")

    async def scenario(small, ends):
        monkeypatch.setattr(forwarder_module, "forward_unary", fail)
        answer = await send(small.ports[0], "/once/a", "r1")
        assert answer.status == status
        ends.check_only(EndReason.INTERNAL_ERROR)
        line = ends.lines()[0]
        assert (line["request"], line["config_version"]) == ("r1", 1)
        errors = [item for item in ends.records if item["level"].name == "ERROR"]
        assert [item["extra"]["request"] for item in errors] == ["r1"]
        assert errors[0]["extra"]["config_version"] == 1
        assert "KeyError" in errors[0]["extra"]["traceback"]

    run(scenario)


# Guards against an answer that an unexpected exception cuts and that looks complete.
@pytest.mark.parametrize("length", [None, 10])
def test_unexpected_exception_within_the_answer_resets_it(monkeypatch, length):
    async def fail(state, call, reply, inputs, rng):
        await reply.start(ResponseHead(200, [], length=length))
        await reply.send_data(b"part")
        await asyncio.sleep(0.05)
        raise KeyError("gone")

    async def scenario(small, ends):
        monkeypatch.setattr(forwarder_module, "forward_unary", fail)
        with pytest.raises(ConnectionResetError):
            await send(small.ports[0], "/safe/a", "r1")
        await wait_for(ends.lines)
        ends.check_only(EndReason.INTERNAL_ERROR)

    run(scenario)


# Guards against a request that is dropped like one whose caller has left, as a task on
# which it waits was cancelled.
def test_cancelled_inner_task_is_an_internal_error(monkeypatch):
    async def fail(state, call, reply, inputs, rng):
        inner = asyncio.ensure_future(asyncio.sleep(3600))
        asyncio.get_running_loop().call_soon(inner.cancel)
        await inner

    async def scenario(small, ends):
        monkeypatch.setattr(forwarder_module, "forward_unary", fail)
        assert (await send(small.ports[0], "/safe/a", "r1")).status == 503
        ends.check_only(EndReason.INTERNAL_ERROR)

    run(scenario)


# Guards against a timeout of some inner step that is reported as the request's own.
def test_timeout_of_an_inner_step_is_an_internal_error(monkeypatch):
    async def fail(state, call, reply, inputs, rng):
        call.send_tracker.register_send()
        raise TimeoutError

    async def scenario(small, ends):
        monkeypatch.setattr(forwarder_module, "forward_unary", fail)
        assert (await send(small.ports[0], "/safe/a", "r1")).status == 502
        ends.check_only(EndReason.INTERNAL_ERROR)

    run(scenario)


# Guards against ends whose cause the log and the metrics don't tell apart.
def test_deadline_is_the_reason():
    async def scenario(small, ends):
        set_fault(small, "plain", TargetFault.STALLS)
        answer = await send(small.ports[0], "/once/a", "r1", deadline_ms=400)
        assert answer.status == 504
        ends.check_only(EndReason.DEADLINE)
        line = ends.lines()[0]
        assert line["last_target"].startswith("plain-")
        assert line["last_byte_age"] is None
        assert 380 <= line["ms"] <= 1000
        assert line["left_ms"] <= 20

    run(scenario)


def test_drain_is_the_reason_of_a_request_that_it_ends():
    async def scenario(small, ends):
        set_fault(small, "plain", TargetFault.STALLS)
        sent = asyncio.ensure_future(send(small.ports[0], "/once/a", "r1"))
        gateway = small.gateways[0]
        await wait_for(lambda: gateway.callers.in_flight)
        now = asyncio.get_running_loop().time()
        gateway.forwarder.set_drain_deadline(now + 0.2)
        assert (await sent).status == 504
        ends.check_only(EndReason.DRAIN)
        assert ends.lines()[0]["left_ms"] > 1000

    run(scenario)


# Guards against requests that a short grace period ends long before it is over.
def test_drain_ends_requests_in_the_last_sixth_of_the_grace_period_only():
    async def scenario(small, ends):
        set_fault(small, "plain", TargetFault.STALLS)
        loop = asyncio.get_running_loop()
        request = send(small.ports[0], "/once/a", "r1", deadline_ms=10_000)
        small.configure(2, routes=[LONG_ROUTE])
        await wait_for(lambda: small.gateways[0].state.route_table.version == 2)
        sent = asyncio.ensure_future(request)
        await wait_for(lambda: small.gateways[0].callers.in_flight)
        stopped_at = loop.time()
        stopping = asyncio.ensure_future(stop_gracefully(small.gateways[0], GRACE_S))
        assert (await sent).status == 504
        assert GRACE_S * 5 / 6 <= loop.time() - stopped_at < GRACE_S
        ends.check_only(EndReason.DRAIN)
        await stopping

    run(scenario)


def test_broken_off_target_is_the_reason_of_a_cut_stream():
    async def scenario(small, ends):
        set_fault(small, "engine", TargetFault.RUNS_AND_CUTS)
        with pytest.raises((OSError, InvalidResponse)):
            await send(small.ports[0], "/events/a", "r1", extra=STREAM)
        await wait_for(ends.lines)
        line = ends.lines()[0]
        assert line["end"] in (EndReason.TARGET_BROKE_OFF, EndReason.NO_SUCCESSOR)
        assert line["last_target"].startswith("eng-")
        assert 0.0 <= line["last_byte_age"] < 1.0
        assert ends.count(line["end"]) == 1.0

    run(scenario)


def test_caller_that_leaves_is_the_reason():
    async def scenario(small, ends):
        set_fault(small, "plain", TargetFault.STALLS)
        sent = asyncio.ensure_future(send(small.ports[0], "/once/a", "r1"))
        await wait_for(lambda: small.gateways[0].callers.in_flight)
        sent.cancel()
        await wait_for(ends.lines)
        ends.check_only(EndReason.CALLER_LEFT)

    run(scenario)


# Guards against requests that a close of the entry ends and that count as left.
def test_close_of_an_entry_is_a_drain_and_no_leaving_caller():
    async def scenario(small, ends):
        set_fault(small, "plain", TargetFault.STALLS)
        sent = asyncio.ensure_future(send(small.ports[0], "/once/a", "r1"))
        await wait_for(lambda: small.gateways[0].callers.in_flight)
        await small.gateways[0].callers.close()
        with pytest.raises(OSError):
            await sent
        ends.check_only(EndReason.DRAIN)

    run(scenario)


def test_answered_request_does_not_end_early():
    async def scenario(small, ends):
        await send(small.ports[0], "/safe/a", "r1")
        await send(small.ports[0], "/nowhere/a", "r2")
        set_fault(small, "plain", TargetFault.FULL)
        await send(small.ports[0], "/safe/a", "r3")
        assert not ends.lines()
        assert {ends.count(reason) for reason in EndReason} == {0.0}

    run(scenario)


def test_each_reason_has_a_counter_from_the_start():
    text = GatewayMetrics().render().decode()
    assert all(COUNTER % reason in text for reason in EndReason)


def test_silence_is_no_reason():
    assert not any("silen" in reason or "stall" in reason for reason in EndReason)


# Guards against a single request that ends the service of all other callers.
@pytest.mark.parametrize("path", ["/safe/a", "/once/a", "/events/a", "/staged/a"])
def test_connect_is_rejected_and_the_entry_goes_on(path):
    async def scenario(small, ends):
        answer = await send(small.ports[0], path, "r1", method="CONNECT", body=b"")
        assert answer.status == 501
        assert not any(target.arrived_at for target in small.targets)
        answer = await send(small.ports[0], "/safe/a", "r2")
        assert answer.status == 200
        assert ends.lines() == []

    run(scenario)
