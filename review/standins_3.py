"""Stand-ins of the third review: the platform's store, replicas, clients, entries.

They need nothing but the standard library, and speak what PROTOCOL says.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
HOST = "shop.example"
SEAL = "X-Lagoontide-Response-Seal"
REQUEST_ID = "X-Lagoontide-Request-Id"
NOT_RUN = "X-Lagoontide-Not-Executed"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._began = time.monotonic()

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        os.write(self._fd, f"{line}\n".encode())


def free_host():
    """Return a loopback address of its own, so that ports are free there."""
    rng = random.SystemRandom()
    while True:
        host = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}"
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind((host, 0))
            except OSError:
                continue
            return host


def free_port(host):
    """Return a port that is free at an address."""
    with contextlib.closing(socket.socket()) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Return the first line and the fields, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Return the body of a request."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode(status, fields=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{key}: {value}" for key, value in fields)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.revision = 10
        self._items = {}
        self._history = []
        self._leases = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Write a key; return the new revision."""
        self.revision += 1
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": self._items.get(key, {}).get("created_rev", self.revision),
            "lease": lease,
        }
        self._note(self._items[key])
        return self.revision

    def delete(self, key):
        """Delete a key if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path, _ = first.split(" ")
                status, answer = await self._answer(method, path, body)
                data = json.dumps(answer).encode()
                kind = ("Content-Type", "application/json")
                writer.write(encode(status, [kind], data))
                await writer.drain()
        writer.close()

    async def _answer(self, method, path, body):
        self._expire()
        url = urlsplit(path)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        step, _, number = url.path.removeprefix("/lagoontide/kv-").partition("/")
        data = json.loads(body) if body else {}
        match step:
            case "key":
                item = self._items.get(query["key"])
                return (200, item | {"as_of": self.revision}) if item else (404, {})
            case "range":
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(query.get("prefix", ""))
                    and key > query.get("after", "")
                )
                items = [self._items[key] for key in keys]
                return 200, {
                    "items": items,
                    "more_pages": False,
                    "as_of": self.revision,
                }
            case "watch":
                return await self._watch(query)
            case "txn":
                return self._commit(data)
            case "lease":
                lease = next(self._numbers)
                ttl = data["ttl_ms"] / 1000
                self._leases[lease] = [ttl, time.monotonic() + ttl]
                return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
            case "keep":
                if int(number) not in self._leases:
                    return 404, {}
                lease = self._leases[int(number)]
                lease[1] = time.monotonic() + lease[0]
                return 200, {"ttl_ms": lease[0] * 1000}
            case "lease-end":
                if int(number) not in self._leases:
                    return 404, {}
                self._leases[int(number)][1] = 0.0
                self._expire()
                return 200, {}
        return 404, {}

    async def _watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left, 0.25)):
                    await self._changed.wait()
            self._expire()

    def _commit(self, data):
        for row in data.get("expected_rev", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in data.get("puts", ()):
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in data.get("puts", ()):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in data.get("delete_keys", ()):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _expire(self):
        now = time.monotonic()
        over = {lease for lease, (_, until) in self._leases.items() if until <= now}
        for lease in over:
            del self._leases[lease]
        for key, item in tuple(self._items.items()):
            if item["lease"] in over:
                self.delete(key)


class Replica:
    """A replica of a service; ``answer`` is called with each request that it runs.

    It gets the fields of the request, its body, the reader and the writer. The
    connection is closed unless it returns True.
    """

    def __init__(self, store, host, name, service, answer, record, slots=8):
        self.store, self.host, self.name, self.service = store, host, name, service
        self.answer, self.record, self.slots = answer, record, slots
        self.port = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self._seq = itertools.count(1)

    async def start(self):
        """Listen and register."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.beat()
        self._beats = asyncio.create_task(self._beat())

    def beat(self, state="ready"):
        """Write the registration."""
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "welshpool",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": next(self._seq),
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, fields = await read_head(reader)
                fields[":first"] = first
                request_id = fields.get(REQUEST_ID.lower(), "")
                self.arrivals.append(request_id)
                expected = fields.get("x-lagoontide-expect-instance", self.name)
                if expected != self.name:
                    await read_body(reader, fields)
                    echo = [(REQUEST_ID, request_id)]
                    writer.write(encode(421, echo))
                    await writer.drain()
                    continue
                if not await self.answer(self, fields, reader, writer):
                    break
                await writer.drain()
        writer.close()

    def run(self, request_id):
        """Note that a request begins to run."""
        self.runs.append(request_id)
        self.record(f"{self.name} runs {request_id}")


class Entry:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, folder, host, name, store, seeds=(), record=None, **settings):
        self.host, self.name = host, name
        self.ports = {kind: free_port(host) for kind in ("front", "ready", "control")}
        self.control = f"{host}:{self.ports['control']}"
        self._path = Path(folder) / f"{name}.json"
        self._log = (Path(folder) / f"{name}.log").open("ab")
        self._record = record or (lambda text: None)
        self._store, self.seeds, self._changes = store, list(seeds), settings
        self.process = None

    def write_settings(self):
        """Write the settings file, as the platform would."""
        limits = {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100}
        bounds = {
            "seed_lag_s": 3,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "outer_ms": 5000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 54,
            "recovery_s": 12,
        }
        settings = {
            "node": self.name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": "welshpool",
            "region": "perth-metro",
            "listen": {
                kind: f"{self.host}:{port}" for kind, port in self.ports.items()
            },
            "port_range": [7740, 7755],
            "seeds": self.seeds or [self.control],
            "bootstrap": True,
            "limits": limits,
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform": {
                "address": f"{self._store.host}:{self._store.port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        settings |= self._changes
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(settings))
        fresh.replace(self._path)

    async def start(self):
        """Start the process and wait until it says that it is ready."""
        self.write_settings()
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env |= {
            "LAGOONTIDE_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *("python3", "-S", "src/__main__.py", "front"),
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        until = time.monotonic() + 15.0
        while time.monotonic() < until:
            if await self.is_ready():
                self._record(f"{self.name} is ready, process {self.process.pid}")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                ready = await ask(
                    self.host, self.ports["ready"], "GET", "/lagoontide/ready", {}
                )
        except (OSError, TimeoutError):
            return False
        return ready.status == 200

    def send_signal(self, number):
        """Send a signal to the process."""
        self._record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def stop(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        self._log.close()


class Answer:
    """What a client has got."""

    def __init__(self, status=None, fields=None, body=b"", is_whole=False):
        self.status, self.fields = status, fields or {}
        self.body, self.is_whole = body, is_whole

    def __str__(self):
        sealed = "sealed" if SEAL.lower() in self.fields else "no seal"
        whole = "whole" if self.is_whole else "not whole"
        return f"{self.status} ({sealed}, {whole}, {len(self.body)} bytes)"


async def ask(host, port, method, path, fields, body=b""):
    """Send a request on a new connection and return the answer."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        return await ask_on(reader, writer, method, path, fields, body)
    finally:
        writer.close()


async def ask_on(reader, writer, method, path, fields, body=b""):
    """Send a request on a connection and return the answer."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in ({"Host": HOST} | fields).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    try:
        await writer.drain()
        first, found = await read_head(reader)
    except (OSError, EOFError):
        return Answer()
    answer = Answer(int(first.split(" ")[1]), found)
    try:
        if found.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        elif "content-length" in found:
            answer.body = await reader.readexactly(int(found["content-length"]))
        else:
            answer.body = await reader.read()
    except asyncio.IncompleteReadError as exc:
        answer.body += exc.partial
        return answer
    except (OSError, ValueError):
        return answer
    answer.is_whole = True
    return answer


def request_fields(request_id, deadline_ms, key=KEY, **others):
    """Return the fields of a client's request."""
    fields = {REQUEST_ID: request_id, "X-Lagoontide-Deadline-Ms": str(deadline_ms)}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    return fields | others


def make_route(name, prefix, kind, service, **others):
    """Return a route of the operator's configuration."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "allow_anonymous": False,
        "sticky": False,
        "resume_streams": False,
        "gap_target_ms": 250,
    }
    return route | others


def make_config(version, routes, services, **others):
    """Return the operator's configuration, as the store holds it."""
    config = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 100}
            | (more if isinstance(more, dict) else {})
            for name, more in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }
    return json.dumps(config | others).encode()


def play(case, path):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    The case gets a temporary folder and the record, which is written to a path, and
    returns whether the rule held.
    """
    record = Record(path)
    record(f"TROUBLE={int(TROUBLE)}")

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(110.0):
                return await case(temporary, record)

    try:
        holds = asyncio.run(main())
    except Exception as exc:
        record(f"the case could not run: {exc!r}")
        sys.exit(COULD_NOT_RUN)
    record("the rule held" if holds else "the rule was broken")
    sys.exit(HELD if holds else BROKEN)
