"""Settings, addresses and commands of a fleet's processes."""

from pathlib import Path

import msgspec

from lagoontide.bench.processes import Fleet, Process
from lagoontide.configuration.document import Document, ServiceKind, encode_document
from lagoontide.deployments import (
    DEMO_OPERATOR_TOKEN,
    Placement,
    hash_token,
    load_deployment,
    place_replicas,
)
from lagoontide.store.instances import Instance, Role

__all__ = ["make_fleet"]

HOST = "127.0.0.1"
FIRST_PORT = 21000
UNLIMITED_PER_S = 1_000_000


class _Ports:
    """Hands out addresses on this machine, one after the other."""

    def __init__(self, first: int) -> None:
        self._next = first

    def take(self) -> str:
        self._next += 1
        return f"{HOST}:{self._next - 1}"


def make_fleet(
    deployment: str,
    seed: int,
    folder: Path,
    *,
    entries: int = 2,
    instant: bool = False,
    limited: bool = True,
    replicas: int = 0,
    unreported: tuple[int, ...] = (),
    first_port: int = FIRST_PORT,
) -> Fleet:
    """Write the settings of a fleet and return it, not yet started.

    Parameters
    ----------
    instant : bool
        Whether the stand-in targets take no time.
    limited : bool
        Whether the accounts keep the deployment's rate limits.
    replicas : int
        Replicas of each service; 0 for as many as the deployment has.
    unreported : tuple of int
        Numbers of the entries, from 1, that keep no report.
    """
    document = load_deployment(deployment)
    if replicas:
        document = _set_replicas(document, replicas)
    if not limited:
        document = _lift_limits(document)
    ports = _Ports(first_port)
    path = folder / "document.msgpack"
    path.write_bytes(encode_document(document))
    store = _make_platform("store", ports, f"--document={path}")
    listed = folder / "instances.json"
    instances = _make_platform("instances", ports, f"--file={listed}", "--lag=2")
    fleet = Fleet(document, folder, store, instances)
    items = []
    for place in place_replicas(document):
        target = _make_target(place, ports, seed, instant)
        agent = _make_agent(place, ports, target, fleet, folder)
        fleet.targets[target.name] = target
        fleet.agents[agent.name] = agent
        items.append(
            Instance(
                place.name,
                Role.AGENT,
                f"tcp://{agent.address}",
                place.failure_domain,
                place.service.name,
            )
        )
    for number in range(1, entries + 1):
        entry, item = _make_entry(
            number, document, ports, fleet, folder, number not in unreported
        )
        fleet.entries[entry.name] = entry
        items.append(item)
    listed.write_bytes(msgspec.json.encode(items))
    return fleet


def _lift_limits(document: Document) -> Document:
    accounts = {
        name: msgspec.structs.replace(
            account, requests_per_second=UNLIMITED_PER_S, burst=UNLIMITED_PER_S
        )
        for name, account in document.accounts.items()
    }
    return msgspec.structs.replace(document, accounts=accounts)


def _set_replicas(document: Document, replicas: int) -> Document:
    services = {
        name: msgspec.structs.replace(service, replicas=replicas)
        for name, service in document.services.items()
    }
    return msgspec.structs.replace(document, services=services)


def _make_platform(kind: str, ports: _Ports, *options: str) -> Process:
    listen, control = ports.take(), ports.take()
    arguments = ["standin", kind, f"--listen={listen}", f"--control={control}"]
    return Process(kind, [*arguments, *options], listen, control)


def _make_target(place: Placement, ports: _Ports, seed: int, instant: bool) -> Process:
    listen, control = ports.take(), ports.take()
    service = place.service
    arguments = [
        "standin",
        "target",
        f"--listen={listen}",
        f"--control={control}",
        f"--kind={ServiceKind(service.kind).value}",
        f"--name={place.name}",
        f"--slots={service.slots}",
        f"--seed={seed}",
        f"--instant={instant}",
    ]
    return Process(f"target-{place.name}", arguments, listen, control)


def _make_agent(
    place: Placement, ports: _Ports, target: Process, fleet: Fleet, folder: Path
) -> Process:
    listen = ports.take()
    path = folder / f"agent-{place.name}.toml"
    path.write_text(
        f'name = "{place.name}"\n'
        f'failure_domain = "{place.failure_domain}"\n'
        f'service = "{place.service.name}"\n'
        f'listen = "{listen}"\n'
        f'target = "http://{target.address}"\n'
        f'store = "http://{fleet.store.address}"\n'
        f'instances = "http://{fleet.instances.address}"\n'
        f"slots = {place.service.slots}\n"
    )
    return Process(f"agent-{place.name}", ["agent", f"--settings={path}"], listen)


def _make_entry(
    number: int,
    document: Document,
    ports: _Ports,
    fleet: Fleet,
    folder: Path,
    report: bool,
) -> tuple[Process, Instance]:
    callers, operators, peers = ports.take(), ports.take(), ports.take()
    domain = document.failure_domains[(number - 1) % len(document.failure_domains)]
    path = folder / f"entry-{number}.toml"
    path.write_text(
        f'name = "entry-{number}"\n'
        f'failure_domain = "{domain}"\n'
        f'callers = "{callers}"\n'
        f'operators = "{operators}"\n'
        f'peers = "{peers}"\n'
        f'store = "http://{fleet.store.address}"\n'
        f'instances = "http://{fleet.instances.address}"\n'
        f"report = {str(report).lower()}\n"
        "[operator_tokens]\n"
        f'{hash_token(DEMO_OPERATOR_TOKEN)} = "operator"\n'
    )
    name = f"entry-{number}"
    process = Process(name, ["entry", f"--settings={path}"], callers, operators)
    return process, Instance(name, Role.ENTRY, f"tcp://{peers}", domain)
