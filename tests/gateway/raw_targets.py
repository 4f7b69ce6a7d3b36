"""Targets that answer requests with bytes of a test's choice."""

import asyncio
import socket
import struct

from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import REQUEST_ID, RESPONSE_SEAL
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.runs import encode_registration
from lagoontide.platform.standins.targets import TargetStandin


class RawTarget(TargetStandin):
    """A target that answers with bytes of the test's choice.

    Parameters
    ----------
    answer : callable
        Writes the answer, given the id of the request, the reader and the writer.
    """

    def __init__(self, name, service, answer):
        super().__init__(name, service)
        self.answer = answer
        self.asked = 0

    async def start(self, store, zone="z1", born=1):
        self._raw = await asyncio.start_server(self._serve_raw, HOST, 0)
        self.address = f"{HOST}:{self._raw.sockets[0].getsockname()[1]}"
        entry = encode_registration(self.service, self.address, zone, 8, born)
        store.put(TARGETS_PREFIX + self.id, entry)

    async def close(self):
        self._raw.close()

    async def _serve_raw(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.asked += 1
                await self.answer(id_of(head), head, reader, writer)
        except (OSError, EOFError):
            writer.close()


def field_of(head, name):
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name.lower():
            return value.strip()
    return b"0"


def id_of(head):
    return field_of(head, REQUEST_ID)


def head_of(status, request_id, *fields):
    lines = [b"HTTP/1.1 " + status, REQUEST_ID + b": " + request_id]
    lines += [RESPONSE_SEAL + b": seal", *fields, b"", b""]
    return b"\r\n".join(lines)


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
