"""Runs a whole deployment in one process: store, stand-ins, agents and entries."""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass

import msgspec
import urllib3
import zmq
from loguru import logger

from lagoontide.agent.parts import AgentParts
from lagoontide.agent.service import Agent
from lagoontide.configuration.document import Document
from lagoontide.configuration.source import publish
from lagoontide.deployments import (
    DEMO_OPERATOR_TOKEN,
    SampleRequest,
    generate_sample_requests,
    hash_token,
    make_account_token,
    place_replicas,
)
from lagoontide.entry.parts import EntryParts, make_entry
from lagoontide.httppool import HttpPool
from lagoontide.metrics import NoMetrics
from lagoontide.settings import EntrySettings
from lagoontide.standins.compute import compute_answer
from lagoontide.standins.http import StandIn
from lagoontide.standins.instances import LaggingList
from lagoontide.standins.process import make_target
from lagoontide.standins.store import MemoryStore
from lagoontide.store.instances import Instance, Role
from lagoontide.wire.conn import Context

__all__ = ["LocalDeployment", "SampleResult", "run_local", "start_local"]

ENTRY_COUNT = 2
FREE_PORT_ADDRESS = "127.0.0.1:0"
READY_POLL_S = 0.02
READY_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 10.0
CALLER_COUNT = 8
STATUS_OK = 200


@dataclass(slots=True)
class LocalDeployment:
    """The components of a deployment that runs in this process."""

    document: Document
    store: MemoryStore
    instances: LaggingList
    targets: dict[str, StandIn]
    agents: dict[str, Agent]
    entries: list[EntryParts]

    async def wait_ready(self) -> None:
        """Wait until every entry has the configuration and is connected to all agents.

        Raises
        ------
        TimeoutError
            If that takes longer than ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(map(self._is_ready, self.entries)):
                await asyncio.sleep(READY_POLL_S)

    def _is_ready(self, parts: EntryParts) -> bool:
        links = parts.directory.links
        is_complete = len(links) == len(self.agents)
        return parts.holder.is_ready and is_complete and all(x.is_usable for x in links)


@contextlib.asynccontextmanager
async def start_local(document: Document, seed: int) -> AsyncIterator[LocalDeployment]:
    """Run a deployment for the duration of an ``async with`` block."""
    with zmq.Context() as ctx:
        store = MemoryStore()
        await publish(store, document, 0)
        local = LocalDeployment(document, store, LaggingList(()), {}, {}, [])
        agents = list(_start_agents(local, ctx, seed))
        coros = [
            _start_entry(local, ctx, x).follow() for x in range(1, ENTRY_COUNT + 1)
        ]
        coros += [parts.follow() for parts in agents]
        tasks = [asyncio.create_task(item) for item in coros]
        try:
            yield local
        finally:
            await asyncio.gather(*(parts.close() for parts in local.entries))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for item in agents:
                item.close()


def _start_agents(
    local: LocalDeployment, ctx: Context, seed: int
) -> Iterator[AgentParts]:
    for placement in place_replicas(local.document):
        service = placement.service
        target = make_target(placement.name, service.kind, service.slots, seed)
        agent = Agent(placement.name, service.name, target, service.slots, NoMetrics())
        parts = AgentParts(
            agent,
            placement.failure_domain,
            FREE_PORT_ADDRESS,
            ctx,
            local.store,
            local.instances,
            NoMetrics(),
        )
        local.targets[placement.name] = target
        local.agents[placement.name] = agent
        local.instances.put(
            Instance(
                placement.name,
                Role.AGENT,
                parts.server.address,
                placement.failure_domain,
                service.name,
            )
        )
        yield parts


def _start_entry(local: LocalDeployment, ctx: Context, number: int) -> EntryParts:
    domains = local.document.failure_domains
    cfg = EntrySettings(
        name=f"entry-{number}",
        failure_domain=domains[(number - 1) % len(domains)],
        callers=FREE_PORT_ADDRESS,
        operators=FREE_PORT_ADDRESS,
        peers=FREE_PORT_ADDRESS,
        store="http://127.0.0.1:1",
        instances="http://127.0.0.1:1",
        operator_tokens={hash_token(DEMO_OPERATOR_TOKEN): "operator"},
    )
    parts = make_entry(cfg, ctx, local.store, local.instances)
    parts.start_http()
    local.entries.append(parts)
    local.instances.put(
        Instance(cfg.name, Role.ENTRY, parts.peers_server.address, cfg.failure_domain)
    )
    return parts


@dataclass(frozen=True, slots=True)
class SampleResult:
    """The outcome of a sample request.

    Attributes
    ----------
    status : int
        HTTP status code; 0 if no response arrived.
    body : bytes
        Body of the response, or the text of the connection error.
    elapsed : float
        Seconds from sending to the end of the response.
    is_correct : bool
        Whether the answer is the expected one.
    """

    sample: SampleRequest
    status: int
    body: bytes
    elapsed: float
    is_correct: bool

    @property
    def met_deadline(self) -> bool:
        """Whether the correct answer arrived within the route's deadline."""
        return self.is_correct and self.elapsed <= self.sample.route.deadline


async def send(
    pool: HttpPool, address: str, sample: SampleRequest, document: Document
) -> SampleResult:
    """Send a sample request to an entry and check the answer."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    headers = {
        "Authorization": f"Bearer {make_account_token(sample.account.name)}",
        "Priority": sample.priority.value,
        "Content-Type": "application/json",
    }
    try:
        response = await pool.request(
            "POST",
            f"http://{address}/v1/routes/{sample.route.name}",
            CALL_TIMEOUT_S,
            headers=headers,
            body=msgspec.json.encode(sample.body),
        )
        status, body = response.status, response.data
    except urllib3.exceptions.HTTPError as exc:
        status, body = 0, str(exc).encode()
    elapsed = loop.time() - started
    wanted = compute_answer(document, sample.route, sample.body)
    is_correct = status == STATUS_OK and msgspec.json.decode(body) == wanted
    return SampleResult(sample, status, body, elapsed, is_correct)


async def run_local(document: Document, requests: int, seed: int, keep: bool) -> int:
    """Run a deployment, send it sample requests and print a summary.

    Parameters
    ----------
    requests : int
        Number of requests to send.
    keep : bool
        Whether to keep running afterwards, until interrupted.

    Returns
    -------
    int
        Exit code: 0 if every answer is correct, 1 otherwise.
    """
    logger.remove()
    async with start_local(document, seed) as local:
        print(
            f"{len(local.agents)} agents and {len(local.entries)} entries in "
            f"{len(document.failure_domains)} failure domains: starting"
        )
        await local.wait_ready()
        addresses = [parts.http.address for parts in local.entries]
        sent = await _send_all(local, addresses, requests, seed)
        _print_answers(sent)
        _print_attainment(sent)
        _print_service_times(local)
        for address in addresses:
            print(f"callers: http://{address}/v1/routes/ROUTE")
        for parts in local.entries:
            print(
                f"console: http://{parts.operators_http.address}/ "
                f"(token {DEMO_OPERATOR_TOKEN})"
            )
        if keep:
            print("running until Ctrl-C")
            await asyncio.Event().wait()
    return 0 if all(item.is_correct for item in sent) else 1


async def _send_all(
    local: LocalDeployment, addresses: list[str], requests: int, seed: int
) -> list[SampleResult]:
    pool = HttpPool(CALLER_COUNT)
    samples = generate_sample_requests(local.document, f"demo{seed}")
    waiting = itertools.islice(samples, requests)
    sent: list[SampleResult] = []

    async def call(number: int) -> None:
        address = addresses[number % len(addresses)]
        for sample in waiting:
            sent.append(await send(pool, address, sample, local.document))
            if len(sent) % max(1, requests // 10) == 0:
                print(f"{len(sent)} of {requests} answered")

    await asyncio.gather(*(call(number) for number in range(CALLER_COUNT)))
    pool.close()
    return sent


def _print_answers(sent: list[SampleResult]) -> None:
    print("\nan answer of each route:")
    first = {item.sample.route.name: item for item in reversed(sent)}
    for name, item in first.items():
        text = item.body.decode("utf-8", "replace")
        print(f"  {name:22} {item.status} {item.elapsed:.3f} s {text:.90}")


def _print_attainment(sent: list[SampleResult]) -> None:
    print("\nright and in time, by client account:")
    groups: dict[str, list[SampleResult]] = defaultdict(list)
    for item in sent:
        groups[item.sample.account.name].append(item)
    for name, items in groups.items():
        good = sum(item.met_deadline for item in items)
        print(f"  {name:22} {good} of {len(items)}")
    good = sum(item.met_deadline for item in sent)
    print(f"  attainment             {100 * good / max(1, len(sent)):.1f}%")


def _print_service_times(local: LocalDeployment) -> None:
    print("\nservice time at the targets, by service:")
    groups: dict[str, list[float]] = defaultdict(list)
    for agent in local.agents.values():
        groups[agent.service].append(agent.load.service_time)
    for name, times in groups.items():
        print(f"  {name:22} {1000 * sum(times) / len(times):.1f} ms")
