"""A process that answers messages at once, for measurements of the asking side."""

import asyncio

import zmq

from lagoontide.dispatch.messages import Call, Done, digest
from lagoontide.membership.messages import Hello, Welcome
from lagoontide.protocol import make_protocol_codec
from lagoontide.scheduling.load import Load
from lagoontide.spreading.messages import Compare, State
from lagoontide.wire.conn import Identity
from lagoontide.wire.server import Send, bind

__all__ = ["main"]

LOAD = Load(1, 2, 8, 0.1)


async def answer(peer: str, message: object, send: Send) -> None:
    """Answer as an agent without work would."""
    match message:
        case Hello():
            await send(Welcome("0" * 32, "service-10", False, LOAD))
        case Compare(version=version, digest=held):
            await send(State(version, held, 1.5))
        case Call(attempt=attempt, body=body):
            await send(Done(attempt, body, digest(body), LOAD, 0.1, 0.1))


async def main() -> None:
    """Serve until the process is ended; print the address first."""
    with zmq.Context() as ctx:
        identity = Identity("agent-1000", 10_000)
        server = bind(ctx, "tcp://127.0.0.1:0", make_protocol_codec(), identity, answer)
        print(server.address, flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
