"""Stand-ins of the platform for the scripts of this review: store, replicas, clients.

They follow the users' page PROTOCOL.md and run inside the script's own process. The
entries are processes of their own, started by the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REPO = Path(__file__).resolve().parents[1]
STORE_ANSWER_S = 0.004
READY_WAIT_S = 20.0
NOT_RUN = "X-Lagoontide-Not-Executed"
Headers = dict[str, str]
Handler = Callable[["Conn", str, str, Headers, bytes], Awaitable[bool]]


class Record:
    """The file ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Conn:
    """A connection that a stand-in serves."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int
    # Bytes that are sent before the next answer.
    owed: bytes = b""

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, status: int, body: bytes = b"", fields: Headers | None = None
    ) -> bytes:
        """Send a complete answer; return its bytes."""
        data = encode_answer(status, body, fields)
        await self.send(data)
        return data


def encode_answer(
    status: int, body: bytes = b"", fields: Headers | None = None
) -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Return the first line, the headers and the body; None at the end.

    An answer without length or chunks is read to the end of its connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    return first, headers, body


class Server:
    """Serves a handler at a loopback address."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1") -> None:
        self._handler = handler
        self._host = host
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self.address = ""

    async def start(self, address: str = "") -> None:
        """Start listening at an address, or at a free port."""
        port = int(address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, self._host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        conn = Conn(reader, writer, next(self._numbers))
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                if not await self._handler(conn, method, path, headers, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()


@dataclass
class _Item:
    value: bytes
    revision: int
    lease: int = 0


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.revision = 100
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        # Set for a moment to cut the watches that wait.
        self._cut = asyncio.Event()
        self.watches = 0
        self.cuts = 0

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        self._items[key] = _Item(value, self.revision, lease)
        self._note(self._encode(key))
        return self.revision

    def delete(self, key: str) -> None:
        """Delete a key, if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def cut_watches(self) -> None:
        """Cut the watches that wait, as PROTOCOL.md allows at any time."""
        old, self._cut = self._cut, asyncio.Event()
        old.set()

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        old, self._changed = self._changed, asyncio.Event()
        old.set()

    def _encode(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created_rev": item.revision,
            "lease": item.lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        ended = [lease for lease, (_, at) in self._leases.items() if at <= now]
        for lease in ended:
            del self._leases[lease]
        for key, item in tuple(self._items.items()):
            if item.lease in ended:
                self.delete(key)

    async def _handle(
        self, conn: Conn, method: str, path: str, headers: Headers, body: bytes
    ) -> bool:
        self._expire()
        url = urlsplit(path)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        step, _, name = url.path.removeprefix("/lagoontide/kv-").partition("/")
        data = json.loads(body) if body else {}
        await asyncio.sleep(STORE_ANSWER_S)
        if step == "watch":
            return await self._watch(conn, query)
        status, answer = self._call(step, name, query, data)
        await conn.answer(
            status, json.dumps(answer).encode(), {"Content-Type": "application/json"}
        )
        return True

    def _call(
        self, step: str, name: str, query: dict[str, str], data: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        match step:
            case "key":
                key = query["key"]
                if key not in self._items:
                    return 404, {}
                return 200, {**self._encode(key), "as_of": self.revision}
            case "range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(key for key in self._items if key.startswith(prefix))
                items = [self._encode(key) for key in keys if key > after]
                return 200, {
                    "items": items,
                    "more_pages": False,
                    "as_of": self.revision,
                }
            case "lease":
                lease, ttl = next(self._numbers), data["ttl_ms"] / 1000
                self._leases[lease] = ttl, time.monotonic() + ttl
                return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
            case "keep":
                if int(name) not in self._leases:
                    return 404, {}
                ttl, _ = self._leases[int(name)]
                self._leases[int(name)] = ttl, time.monotonic() + ttl
                return 200, {"ttl_ms": int(ttl * 1000)}
            case "txn":
                return self._commit(data)
        return 404, {}

    def _commit(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in data.get("expected_rev", []):
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        puts = data.get("puts", [])
        if {put.get("lease", 0) for put in puts} - {0} - self._leases.keys():
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in data.get("delete_keys", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, conn: Conn, query: dict[str, str]) -> bool:
        self.watches += 1
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed, cut = self._changed, self._cut
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                answer = {"events": events, "as_of": self.revision}
                await conn.answer(200, json.dumps(answer).encode())
                return True
            waits = [asyncio.ensure_future(event.wait()) for event in (changed, cut)]
            await asyncio.wait(
                waits,
                timeout=min(left, 0.2),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for wait in waits:
                wait.cancel()
            self._expire()
            if cut.is_set():
                self.cuts += 1
                return False


@dataclass
class Entry:
    """An entry: the project's own process, by the command of the deploy file."""

    name: str
    host: str
    store: str
    folder: Path
    ports: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for clients."""
        return self.host, self.ports["front"]

    @property
    def settings(self) -> Path:
        """The settings file."""
        return self.folder / f"{self.name}.json"

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file, with the bounds of the small deployments."""
        listen = {name: f"{self.host}:{port}" for name, port in self.ports.items()}
        data = {
            "node": self.name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": listen,
            "port_range": [7740, 7755],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300},
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 54,
            },
            "platform": {"address": self.store, "form": "kv", "ttl_min_ms": 1000},
        }
        self.settings.write_text(json.dumps(data))

    async def start(self) -> None:
        """Start the process."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "PYTHONPATH": str(REPO / "target" / "deps"),
            "LAGOONTIDE_CONFIG": str(self.settings),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "src", "front", cwd=REPO, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /lagoontide/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            return message is not None and " 200" in message[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A store and some entries, in a temporary folder."""

    def __init__(self, entries: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.entries: list[Entry] = []
        self._number = entries

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store and the entries, and wait until these are ready."""
        await self.store.server.start()
        self.configure(configuration)
        base = os.getpid() % 200 + 20
        for index in range(self._number):
            host = f"127.{base}.{index}.1"
            entry = Entry(
                f"front-{index}",
                host,
                self.store.server.address,
                Path(self._folder.name),
            )
            entry.ports = {
                name: free_port(host) for name in ("front", "ready", "control")
            }
            self.entries.append(entry)
        seeds = [f"{entry.host}:{entry.ports['control']}" for entry in self.entries]
        for entry in self.entries:
            entry.write_settings(seeds[:3])
            await entry.start()
        until = time.monotonic() + READY_WAIT_S
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(
                        f"{entry.name} isn't ready: {self.log_of(entry)}"
                    )
                await asyncio.sleep(0.1)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration."""
        self.store.put("op/config", json.dumps(configuration).encode())

    def log_of(self, entry: Entry) -> str:
        """Return what an entry has logged."""
        path = Path(self._folder.name) / f"{entry.name}.log"
        return path.read_text() if path.exists() else ""

    def keep_logs(self) -> None:
        """Write what the entries have logged to the file that KEEP_LOG names."""
        if name := os.environ.get("KEEP_LOG"):
            Path(name).write_text("".join(map(self.log_of, self.entries)))

    async def close(self) -> None:
        """End all processes."""
        for entry in self.entries:
            await entry.stop()
        self.store.server.close()
        self._folder.cleanup()


def free_port(host: str) -> int:
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def registration(service: str, address: str, slots: int, **more: Any) -> bytes:
    """Return what a replica writes about itself in the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    return json.dumps({**entry, **more}).encode()


@dataclass
class Answer:
    """What a client got."""

    status: int
    headers: Headers
    body: bytes
    is_complete: bool


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self, method: str, path: str, headers: Headers, body: bytes = b""
    ) -> Answer | None:
        """Send a request; return its answer, or None if the connection ended."""
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address
                )
            except OSError:
                return None
        assert self._reader is not None
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        answer: Answer | None = None
        try:
            self._writer.write(data)
            answer = await self._read()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _read(self) -> Answer | None:
        assert self._reader is not None
        message = await read_message(self._reader)
        if message is None:
            return None
        first, headers, body = message
        return Answer(int(first.split()[1]), headers, body, True)


def stream_head(request_id: str, seal: str, is_chunked: bool = True) -> bytes:
    """Return the head of an event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Lagoontide-Request-Id: {request_id}",
        f"X-Lagoontide-Response-Seal: {seal}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked" if is_chunked else "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; without data, the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int, text: str) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


async def _end_on_sigterm(play: Callable[[], Awaitable[int]]) -> int:
    """Run a script; SIGTERM ends it, and the processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await play()


def run_script(play: Callable[[], Awaitable[int]], record: Record) -> None:
    """Run a script and exit with the code that it returns; 2 if it fails."""
    try:
        code = asyncio.run(_end_on_sigterm(play))
    except (Exception, asyncio.CancelledError) as exc:
        record(f"couldn't run: {exc!r}")
        print(f"couldn't run: {exc!r}")
        code = 2
    record.close()
    sys.exit(code)


def case_folder(script: str) -> Path:
    """Return the folder of the case: that of the script unless CASE names another."""
    return Path(os.environ.get("CASE", Path(script).parent))
