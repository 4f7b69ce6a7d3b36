"""Which responses count as complete, cut at every byte, by FIN and by reset."""

import asyncio
import socket
import struct

import pytest

from lagoontide.http1.client import InvalidResponse
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import REQUEST_ID, RESPONSE_SEAL
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.runs import encode_registration
from lagoontide.routes.records import RouteKind

PLAIN_BODY = b"done"
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
RESET = struct.pack("ii", 1, 0)


class CuttingTarget:
    """Sends the first bytes of a response and ends the connection.

    Attributes
    ----------
    cut_at : int
        Number of bytes of the body that are sent.
    ends : bool
        Whether the target stops listening before it ends the connection.
    """

    def __init__(self, body, framing, is_reset, ends):
        self.framing = framing
        self.is_reset = is_reset
        self.ends = ends
        self.cut_at = 0
        self.body = encode(body, framing)
        self.port = 0
        self._server = None

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except EOFError:
            writer.close()
            return
        request_id = next(
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(REQUEST_ID.lower())
        )
        fields = [
            b"HTTP/1.1 200 OK",
            REQUEST_ID + b": " + request_id,
            RESPONSE_SEAL + b": s",
            *framing_fields(self.body, self.framing),
        ]
        writer.write(b"\r\n".join(fields) + b"\r\n\r\n" + self.body[: self.cut_at])
        await writer.drain()
        await asyncio.sleep(0.002)
        if self.ends:
            self.close()
        if self.is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        else:
            writer.close()


def encode(body, framing):
    if framing != "chunked":
        return body
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def framing_fields(body, framing):
    match framing:
        case "length":
            return [b"Content-Length: %d" % len(body)]
        case "chunked":
            return [b"Transfer-Encoding: chunked"]
    return [b"Connection: close"]


def is_whole(target, kind):
    """Return whether what the target sends is a complete response."""
    if target.framing != "none":
        return target.cut_at == len(target.body)
    if target.is_reset or target.ends:
        return False
    if kind is RouteKind.STREAM:
        ends = {0, len(EVENTS[0]), len(EVENTS[0]) + len(EVENTS[1])}
        return target.cut_at in ends
    return True


async def is_answered(port, path, number):
    """Return whether the caller got a response that looks complete.

    No two requests are alike, as those that crashed a target would not be sent again.
    """
    name = f"r{number}"
    prompt = f"{name}a:100,{name}b:100".encode()
    extra = [(b"X-Lagoontide-Prompt-Prefix", prompt)] if "events" in path else []
    try:
        answer = await send(
            port, path, name, body=name.encode(), extra=extra, deadline_ms=1500
        )
    except (OSError, InvalidResponse):
        return False
    return answer.status == 200


# Guards against taking a response that broke off for a complete one.
@pytest.mark.parametrize("framing", ["length", "chunked", "none"])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("ends", [False, True])
@pytest.mark.parametrize(
    ("path", "service", "body", "kind"),
    [
        ("/once/a", "plain", PLAIN_BODY, RouteKind.ONCE),
        ("/events/a", "engine", b"".join(EVENTS), RouteKind.STREAM),
    ],
)
def test_only_complete_responses_look_complete(
    framing, is_reset, ends, path, service, body, kind
):
    async def main():
        async with start_deployment(1) as small:
            for target in small.targets_of(service):
                small.store.delete(TARGETS_PREFIX + target.id)
            cutting = CuttingTarget(body, framing, is_reset, ends)
            await cutting.listen()
            entry = encode_registration(service, f"127.0.0.1:{cutting.port}", "z1", 8)
            small.store.put(f"{TARGETS_PREFIX}cutting", entry)
            directory = small.gateways[0].state.directory
            while [item.id for item in directory.ready(service)] != ["cutting"]:
                await asyncio.sleep(0.005)
            for cut_at in range(len(cutting.body) + 1):
                cutting.cut_at = cut_at
                if cutting.ends and cutting.cut_at:
                    await cutting.listen()
                answered = await is_answered(small.ports[0], path, cutting.cut_at)
                expected = is_whole(cutting, kind)
                assert (cutting.cut_at, answered) == (cutting.cut_at, expected)
            cutting.close()

    asyncio.run(main())


class LeavingTarget(CuttingTarget):
    """Announces that it leaves, sends a part of its response and ends.

    Attributes
    ----------
    announce : callable
        Announces that it leaves.
    """

    def __init__(self, body, announce, ends):
        super().__init__(body, "none", is_reset=False, ends=False)
        self.announce = announce
        self.ends_process = ends
        self.cut_at = len(body) // 2 if ends else len(body)

    async def _serve(self, reader, writer):
        await self.announce()
        await super()._serve(reader, writer)
        if self.ends_process:
            # The kernel may close the socket that listens after the connections.
            await asyncio.sleep(0.01)
            self.close()


# Guards against a response without a length that ends with a target that was leaving,
# and is taken for a complete one (ORDER).
@pytest.mark.parametrize("ends", [False, True])
@pytest.mark.parametrize("announcement", ["draining", "removed"])
@pytest.mark.parametrize(
    ("path", "service", "body"),
    [
        ("/once/a", "plain", PLAIN_BODY),
        ("/safe/a", "plain", PLAIN_BODY),
        ("/events/a", "engine", b"".join(EVENTS)),
        ("/staged/a", "engine", b"".join(EVENTS)),
    ],
)
def test_response_of_a_leaving_target_is_complete_only_if_the_target_goes_on(
    path, service, body, announcement, ends
):
    async def main():
        async with start_deployment(1) as small:
            for target in small.targets_of(service):
                small.store.delete(TARGETS_PREFIX + target.id)
            key = f"{TARGETS_PREFIX}leaving"
            directory = small.gateways[0].state.directory

            async def announce():
                if announcement == "removed":
                    small.store.delete(key)
                else:
                    entry = encode_registration(
                        service, address, "z1", 8, state="draining"
                    )
                    small.store.put(key, entry)
                while directory.ready(service):
                    await asyncio.sleep(0.005)

            leaving = LeavingTarget(body, announce, ends)
            await leaving.listen()
            address = f"127.0.0.1:{leaving.port}"
            small.store.put(key, encode_registration(service, address, "z1", 8))
            while [item.id for item in directory.ready(service)] != ["leaving"]:
                await asyncio.sleep(0.005)
            assert await is_answered(small.ports[0], path, 1) is not ends
            leaving.close()

    asyncio.run(main())
