"""Stand-ins and helpers of the second review's scripts; the standard library only.

The platform's store, replicas and clients as PROTOCOL.md describes them, on loopback
addresses and the real clock. A replica runs as a process of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0
KEY = "review-key"
# Segments and window of a caller on a network.
SEGMENT_BYTES = 1400
WINDOW_BYTES = 8192


def free_ports(count):
    """Return ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self._started_at = time.monotonic()
        self._path = path
        self._path.write_text("")

    def write(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        with self._path.open("a") as file:
            print(line, file=file)
        print(line, flush=True)


async def read_head(reader):
    """Return the start line and the fields of a message, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader):
    """Return method, path, fields and body of a request, or None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(" ", 2)
    fields = head[1]
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return method, path, fields, body


def plain_answer(status, body=b"", fields=()):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store:
    """The platform's store: keys with revisions, watches and leases."""

    def __init__(self):
        self.revision = 1
        self.port = 0
        self._items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)

    def delete(self, key):
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self._add_event(gone)

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (_, until) in tuple(self._leases.items()):
            if until <= now:
                del self._leases[lease]
                for key, item in tuple(self._items.items()):
                    if item["lease"] == lease:
                        self.delete(key)

    async def _serve(self, reader, writer):
        # The store ends with the case, also in the middle of a watch.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while (request := await read_request(reader)) is not None:
                status, answer = await self._answer(*request)
                body = json.dumps(answer).encode()
                kind = ("Content-Type: application/json",)
                writer.write(plain_answer(status, body, kind))
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, fields, body):
        self._expire()
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        call, _, name = url.path.removeprefix("/lagoontide/kv-").partition("/")
        data = json.loads(body) if body else {}
        if call == "range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = [
                k for k in sorted(self._items) if k.startswith(prefix) and k > after
            ]
            items = [self._items[key] for key in keys]
            return 200, {"items": items, "more_pages": False, "as_of": self.revision}
        if call == "watch":
            return await self._watch(query)
        if call == "lease":
            lease, ttl = len(self._events) + 1000 + len(self._leases), data["ttl_ms"]
            self._leases[lease] = ttl / 1000, time.monotonic() + ttl / 1000
            return 200, {"lease": lease, "ttl_ms": ttl}
        if call == "keep":
            if int(name) not in self._leases:
                return 404, {}
            ttl, _ = self._leases[int(name)]
            self._leases[int(name)] = ttl, time.monotonic() + ttl
            return 200, {"ttl_ms": int(ttl * 1000)}
        if call == "txn":
            for row in data["expected_rev"]:
                item = self._items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": []}
            for put in data["puts"]:
                self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
            for key in data["delete_keys"]:
                self.delete(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def _watch(self, query):
        after, until = int(query["after"]), time.monotonic()
        until += int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Case:
    """A small deployment: the store, entries and replicas, and what was recorded.

    Use as an asynchronous context manager; it ends all processes that it started.

    Parameters
    ----------
    path : Path
        File of the record.
    """

    def __init__(self, path):
        self.record = Record(path)
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes = []
        self._beats = {}
        self._born = {}

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for task in self._beats.values():
            task.cancel()
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self._processes:
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, services, version=4, keys=(KEY,)):
        """Write the configuration, with one tenant."""
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "max_conns": 600, **more}
                for name, more in services.items()
            ],
            "tenants": [{"name": "tenant", "api_keys": list(keys)}],
            "limits": {
                "max_header_bytes": 32768,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 30000,
            },
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def start_entry(self, name="front-welshpool-1"):
        """Start an entry by the command of the deploy file; return it and its port."""
        front, ready, control = free_ports(3)
        settings = {
            "node": name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": HOST,
            "zone": "welshpool",
            "region": "perth-metro",
            "zones": {"welshpool": "perth-metro"},
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "port_range": [7740, 7755],
            "seeds": [f"{HOST}:{control}"],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "discovery": "platform",
            "entry": "vip",
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
            "platform": {
                "address": f"{HOST}:{self.store.port}",
                "form": "kv",
                "ttl_min_ms": 1000,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = await self._start(
            [sys.executable, "-S", "src/__main__.py", "front"],
            {"LAGOONTIDE_CONFIG": str(path)},
            self.folder / f"{name}.log",
        )
        until = time.monotonic() + READY_TIMEOUT_S
        while await _status_of(ready) != 200:
            if time.monotonic() > until or process.returncode is not None:
                raise RuntimeError(f"{name} did not become ready")
            await asyncio.sleep(0.05)
        self.record.write(f"{name} is ready, process {process.pid}, port {front}")
        return process, front

    async def start_replica(self, name, service, mode):
        """Start a replica as a process and register it; return the process."""
        (port,) = free_ports(1)
        log = self.folder / f"{name}.log"
        process = await self._start(
            [sys.executable, "-S", __file__, name, str(port), mode], {}, log
        )
        until = time.monotonic() + READY_TIMEOUT_S
        while await _status_of(port) != 200:
            if time.monotonic() > until or process.returncode is not None:
                raise RuntimeError(f"{name} did not start")
            await asyncio.sleep(0.05)
        self.register(name, service, port, "ready")
        return process, port

    def register(self, name, service, port, state):
        """Write a replica's entry from now on every heartbeat."""
        self.unregister(name)
        self._beats[name] = asyncio.create_task(
            self._beat(name, service, port, state, int(time.time() * 1000))
        )
        self.record.write(f"{name} of {service} is registered as {state}")

    def unregister(self, name):
        """Write a replica's entry no more; it lapses after three heartbeats."""
        if (task := self._beats.pop(name, None)) is not None:
            task.cancel()

    async def _beat(self, name, service, port, state, seq):
        born = self._born.setdefault(name, seq)
        while True:
            entry = {
                "service": service,
                "address": f"{HOST}:{port}",
                "zone": "welshpool",
                "version": "1",
                "slots": 8,
                "state": state,
                "cold_left_ms": 0,
                "seq": seq,
                "born": born,
            }
            self.store.put(f"servers/{name}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)
            seq += 1

    def log_of(self, name):
        """Return the lines that a process has written."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []

    async def _start(self, command, env, log):
        env = {"PATH": os.environ["PATH"], "HOME": str(self.folder), **env}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        out = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=out, stderr=out
        )
        os.close(out)
        self._processes.append(process)
        return process


async def _status_of(port):
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /lagoontide/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1.0)
        writer.close()
    except (TimeoutError, OSError):
        return 0
    return int(head[0].split(" ")[1]) if head else 0


async def read_answer(reader):
    """Return status, body and whether the answer ended as complete.

    The status is 0 if there is no head.
    """
    status, body = 0, b""
    try:
        head = await read_head(reader)
        if head is None:
            return status, body, False
        status = int(head[0].split(" ")[1])
        if "content-length" in head[1]:
            body = await reader.readexactly(int(head[1]["content-length"]))
            return status, body, True
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return status, body, True
    except (OSError, asyncio.IncompleteReadError):
        return status, body, False


def event_ids(body):
    """Return the ids of the events in a body."""
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


def request_bytes(host, path, request_id, deadline_ms, fields=(), body=b"x"):
    """Return the bytes of a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Lagoontide-Request-Id: {request_id}",
        f"X-Lagoontide-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def measure_capacity():
    """Return the bytes that the sockets of a kept connection hold for a reader."""
    size, loop = 4_000_000, asyncio.get_running_loop()
    accepted = loop.create_future()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set_result(writer), HOST, 0
    )
    client = make_client_socket()
    client.setblocking(False)
    await loop.sock_connect(client, server.sockets[0].getsockname())
    writer = await accepted
    writer.write(bytes(300))
    await loop.sock_recv(client, 300)
    writer.write(bytes(size))
    await asyncio.sleep(0.5)
    left = writer.transport.get_write_buffer_size()
    writer.transport.abort()
    client.close()
    server.close()
    return size - left


def make_client_socket():
    """Return a socket with the segments and the window of a caller on a network."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    return sock


class SlowCaller:
    """A caller with a kept connection, who reads an answer late.

    Parameters
    ----------
    number : int
        Makes the ids of its requests.
    """

    READ_BYTES = 16384

    def __init__(self, number, host, path, record):
        self._number = number
        self._host = host
        self._path = path
        self._record = record
        self._requests = 0
        self._sock = make_client_socket()
        self._sock.setblocking(False)

    async def connect(self, port):
        """Connect to an entry; the connection is kept."""
        await asyncio.get_running_loop().sock_connect(self._sock, (HOST, port))

    def close(self):
        """Close the connection."""
        self._sock.close()

    async def send(self, size):
        """Send a request for an answer of some bytes; return its id."""
        self._requests += 1
        request_id = f"{self._number:08x}{self._requests:08x}"
        field = f"X-Review-Bytes: {size}"
        request = request_bytes(self._host, self._path, request_id, 20000, (field,))
        await asyncio.get_running_loop().sock_sendall(self._sock, request)
        return request_id

    async def ask(self, size, pause_s):
        """Send a request; return whether its whole answer was received.

        Parameters
        ----------
        size : int
            Bytes of the answer's body.
        pause_s : float
            Seconds for which the caller reads nothing, after its request.
        """
        loop = asyncio.get_running_loop()
        started_at, data, how, request_id = time.monotonic(), b"", "", ""
        try:
            request_id = await self.send(size)
            self._record.write(f"request {request_id} sent, answer of {size} bytes")
            if pause_s:
                await asyncio.sleep(pause_s)
            while not how:
                block = await loop.sock_recv(self._sock, self.READ_BYTES)
                data += block
                head, end, body = data.partition(b"\r\n\r\n")
                if end and len(body) == size:
                    how = "is whole"
                elif not block:
                    how = "is cut by the end of the connection"
        except OSError as exc:
            how = f"is cut: {exc!r}"
        head, _, body = data.partition(b"\r\n\r\n")
        status = head.split(b" ")[1].decode() if head else "nothing"
        self._record.write(
            f"request {request_id} gets {status}, {len(body)} of {size} bytes in "
            f"{time.monotonic() - started_at:.1f} s, {how}"
        )
        return how == "is whole"


async def run_replica(name, port, mode):
    """Serve one replica.

    ``unframed:N:GAP`` streams N events, GAP seconds apart, with no length and no
    chunks: the end of the connection ends the answer. ``chunked:N:GAP:STEP`` does so in
    chunks, and the ids of its events rise by STEP. ``sized:BYTES`` answers with a body
    of so many bytes and its length.
    """
    kind, *values = mode.split(":")
    fields_of = (
        f"X-Lagoontide-Response-Seal: seal-{name}",
        f"X-Lagoontide-Instance-Id: {name}",
    )

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                _, path, fields, body = request
                if path == "/lagoontide/ready":
                    writer.write(plain_answer(200))
                    continue
                if path.startswith("/lagoontide/"):
                    answer = json.dumps(make_pieces(path, body)).encode()
                    writer.write(plain_answer(200, answer))
                    continue
                request_id = fields["x-lagoontide-request-id"]
                echo = f"X-Lagoontide-Request-Id: {request_id}"
                if fields.get("x-lagoontide-expect-instance", name) != name:
                    writer.write(plain_answer(421, b"", (echo,)))
                    continue
                inputs = fields.get("x-lagoontide-inputs", "")
                count = len(inputs.split(",")) if inputs else 0
                print(f"runs {request_id} with {count} inputs", flush=True)
                if kind == "sized":
                    size = int(fields.get("x-review-bytes", values[0]))
                    body = (b"0123456789abcdef" * (size // 16 + 1))[:size]
                    writer.write(plain_answer(200, body, (echo, *fields_of)))
                    await writer.drain()
                    continue
                await stream(writer, request_id, fields, echo)
                if kind == "unframed":
                    break
        writer.close()

    def make_pieces(path, body):
        if path.endswith("/report"):
            return {"queued": 0, "busy": False, "free_mb": 100}
        if path.endswith("/stage-free"):
            return {}
        items = json.loads(body)["items"]
        for item in items:
            what = f"stage {item['stage']} piece {item['piece']}"
            print(f"makes {item['id']} {what}", flush=True)
        handles = [f"{HOST}:{port}/{os.urandom(6).hex()}" for _ in items]
        return {"items": [{"handle": handle} for handle in handles]}

    async def stream(writer, request_id, fields, echo):
        is_chunked = kind == "chunked"
        framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
        lines = ("HTTP/1.1 200 OK", "Content-Type: text/event-stream", echo)
        writer.write("\r\n".join((*lines, *fields_of, framing, "", "")).encode())
        step = int(values[2]) if is_chunked else 1
        first = int(fields.get("last-event-id", "0")) // step + 1
        for number in range(first, int(values[0]) + 1):
            event = f"id: {step * number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
            await writer.drain()
            await asyncio.sleep(float(values[1]))
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        print(f"ends {request_id}", flush=True)

    server = await asyncio.start_server(serve, HOST, port)
    await server.serve_forever()


def main(run, has_trouble):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else with 2."""
    try:
        is_broken = asyncio.run(asyncio.wait_for(run(has_trouble), 100))
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    asyncio.run(run_replica(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
