"""Answers to stage calls that come twice, late; they carry no request id."""

import asyncio
from collections import defaultdict
from unittest.mock import Mock

import msgspec
import pytest

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.records import Failure, Piece
from lagoontide.platform.fields import NOT_RUN
from lagoontide.platform.pieces import FREE_PATH, RUN_PATH, PlatformPieceClient
from lagoontide.platform.standins.ports import HOST
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target, TargetState

CALLS = 12
MAX_OPEN = 4
OK = b"200 OK"


class CopyingTarget:
    """A stage target that repeats each answer before the answer to a later call.

    Parameters
    ----------
    answer_of : callable
        Returns status and body of the answer to a call, given its number and items.
    after : int
        Calls on the same connection from an answer to its second copy.
    """

    def __init__(self, answer_of, after=1):
        self.answer_of = answer_of
        self.after = after
        self.copies = 0
        self.connections = 0
        self.runs = 0
        self.paths_by_conn = defaultdict(set)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[:2]

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        place = self.connections = self.connections + 1
        sent = []
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(length_of(head))
                path = head.split(b" ", 2)[1]
                self.paths_by_conn[place].add(path)
                if len(sent) >= self.after:
                    self.copies += 1
                    writer.write(sent[-self.after])
                    # The copy is read by itself.
                    await writer.drain()
                    await asyncio.sleep(0.005)
                sent.append(self._answer(path, body))
                writer.write(sent[-1])
        except (OSError, EOFError):
            writer.close()

    def _answer(self, path, body):
        if path == RUN_PATH:
            self.runs += 1
            status, value = self.answer_of(
                self.runs, msgspec.json.decode(body)["items"]
            )
        else:
            status, value = OK, {"free_mb": 10 - self.runs, "busy": True}
        data = msgspec.json.encode(value)
        mark = b"" if status == OK else NOT_RUN + b": 1\r\n"
        return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
            status,
            mark,
            len(data),
            data,
        )


def length_of(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def handles(_, items):
    return OK, {"items": [{"handle": f"h/{item['id']}"} for item in items]}


def reasons(_, items):
    return OK, {"items": [{"reason": "room"} for _ in items]}


def every_third_without_results(number, items):
    return reasons(number, items) if number % 3 == 1 else handles(number, items)


def mixed_within_answers(number, items):
    results = handles(number, items)[1]["items"]
    return OK, {"items": [{"reason": "room"}, *results[1:]]}


def every_third_refused(number, items):
    return (b"503 Full", {}) if number % 3 == 1 else handles(number, items)


def one_too_many_at_first(number, items):
    return handles(number, [*items, *items] if number == 1 else items)


def pieces_of(number):
    return tuple(
        Piece(f"r{number}", 0, place, "key", (), time_left=5.0) for place in range(2)
    )


def run_calls(use, answer_of, after=1):
    """Run calls to a target that repeats its answers; return the target."""

    async def main():
        stage = CopyingTarget(answer_of, after)
        host, port = await stage.start()
        pool = ConnPool("t", host, port, MAX_OPEN)
        target = Target("t", "s", host, port, "z1", TargetState.READY, born=1)
        client = PlatformPieceClient(lambda _: pool, Mock(), Mock(), Mock())
        try:
            await use(client, target)
        finally:
            pool.close()
            stage.close()
        return stage

    return asyncio.run(main())


async def make_all(client, target):
    """Make pieces with several calls; return the results by the number of the call."""
    found = {}
    for number in range(CALLS):
        try:
            found[number] = await client.make(target, pieces_of(number), 1.0)
        except (TargetFailed, TargetUnreachable):
            continue
    return found


# Guards against results of other requests: a second copy of an answer without results
# was taken for the next answer, and all answers after it were one call behind.
@pytest.mark.parametrize("after", [1, 2, 3])
@pytest.mark.parametrize(
    "answer_of",
    [
        handles,
        reasons,
        every_third_without_results,
        mixed_within_answers,
        every_third_refused,
        one_too_many_at_first,
    ],
)
def test_second_copy_of_an_answer_is_not_that_to_another_call(answer_of, after):
    found = {}

    async def use(client, target):
        found.update(await make_all(client, target))

    run_calls(use, answer_of, after)
    for number, results in found.items():
        own = {f"h/r{number}", ""}
        assert {result.handle for result in results} <= own, number
    # A call costs itself at most.
    assert len(found) >= CALLS * 2 // 3


# Guards against a call that fails as its answer follows a second copy of another one.
def test_second_copies_of_results_cost_no_call_and_no_connection():
    found = {}

    async def use(client, target):
        found.update(await make_all(client, target))

    stage = run_calls(use, handles)
    assert (len(found), stage.connections, stage.copies) == (CALLS, 1, CALLS - 1)


# Guards against a connection whose next answer may be a copy that nothing tells apart.
def test_connection_is_not_used_again_after_an_answer_without_results():
    async def use(client, target):
        for number in range(3):
            results = await client.make(target, pieces_of(number), 1.0)
            assert {result.failure for result in results} == {Failure.NO_ROOM}

    stage = run_calls(use, reasons)
    assert (stage.connections, stage.copies) == (3, 0)


# Guards against an answer to another kind of call that is taken for results, and
# against a report that is older than its question.
def test_other_calls_share_no_connection_with_those_that_make_pieces():
    async def use(client, target):
        for number in range(4):
            await client.make(target, pieces_of(number), 1.0)
            await client.free(target, (f"h/r{number}",))
            free_bytes = await client.query_free_bytes(target)
            assert free_bytes == (10 - (number + 1) + 1) * 1e6

    stage = run_calls(use, handles)
    assert {frozenset(paths) for paths in stage.paths_by_conn.values()} >= {
        frozenset([RUN_PATH]),
        frozenset([FREE_PATH]),
    }
    assert all(len(paths) == 1 for paths in stage.paths_by_conn.values())
    # One connection for the pieces, one for each report, and one for every two calls
    # that free results: a copy answers the second, and the connection is then left.
    assert stage.connections == 1 + 4 + 2


# Guards against a bound on skipped copies that a target could exceed without end.
def test_copies_without_end_fail_the_call():
    async def main():
        async def flood(reader, writer):
            body = b'{"items":[{"handle":"h/a"},{"handle":"h/b"}]}'
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
                len(body),
                body,
            )
            with pytest.raises(EOFError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(answer)
            writer.close()

        server = await asyncio.start_server(flood, HOST, 0)
        host, port = server.sockets[0].getsockname()[:2]
        pool = ConnPool("t", host, port, MAX_OPEN)
        target = Target("t", "s", host, port, "z1", TargetState.READY, born=1)
        client = PlatformPieceClient(lambda _: pool, Mock(), Mock(), Mock())
        try:
            assert await client.make(target, pieces_of(1), 1.0)
            with pytest.raises(TargetFailed):
                await client.make(target, pieces_of(2), 0.3)
            assert pool.opened == 1
        finally:
            pool.close()
            server.close()

    asyncio.run(main())
