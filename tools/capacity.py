"""Work out the tables of docs/CAPACITY.md from the measured slopes.

``make capacity`` rewrites the tables and exits 1 if they were out of date.
"""

import re
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lagoontide.bench.capacity import Slopes, SlopesFile
from lagoontide.claims.owner import COMMIT_INTERVAL_S, MAX_BATCH, SEGMENT_ROWS
from lagoontide.claims.service import PARTITIONS, RENEW_S
from lagoontide.membership.listing import LISTED_BYTES
from lagoontide.membership.pace import HEARTBEATS_PER_S, list_interval
from lagoontide.membership.subset import SUBSET_SIZE
from lagoontide.report.snapshots import INTERVAL_S
from lagoontide.spreading.node import COMPARE_S, STARTS_PER_S, WATCH_S
from lagoontide.spreading.roles import FAN_OUT, FAR_VIEW, NEAR_VIEW, WATCHERS, layers

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity-slopes.json"

# The size that the users expect within two years.
ENTRIES = 2600
AGENTS = 7700
DOMAINS = 16
REQUESTS_PER_S = 47_000
TOKENS_PER_S = 14_000_000
CHANGES_PER_DAY = 9500
RESTARTS_PER_DAY = 2500
ACCOUNTS = 3300
ROUTES = 14
# Stages of a request and pools that an entry serves: 14 pipelines of 3 to 6
# stages over 5 models and as many other pools as make 20.
STAGES = 4.5
SERVICES = 20
DAY_S = 86_400
TOKENS_PER_MESSAGE = 10

CPU_LIMIT = 0.01
MEMORY_LIMIT = 32 << 20
BYTES_LIMIT = 7_000
READS_LIMIT = 2000
WRITES_LIMIT = 300

# Bytes of a message beside its frames: ZMTP, TCP and IP headers, and the
# acknowledgement that no message carries.
MESSAGE_OVERHEAD_BYTES = 4 + 52 + 52
BASE64 = 4 / 3
# Seconds on the way between regions and within a failure domain, both assumed.
REGION_S = 0.2
NEAR_S = 0.001
FORCE_LIMIT_S = 4.0
MB = 1 << 20
PERCENT = 100


@dataclass(frozen=True)
class Share:
    """What one mechanism costs a process: per second, and in memory."""

    mechanism: str
    rate: float
    cpu: float
    size: float
    memory: float


def links() -> int:
    """Return the agents that an entry talks to."""
    return SUBSET_SIZE * SERVICES


def known_by() -> float:
    """Return the entries that know one agent."""
    return ENTRIES * links() / AGENTS


def changes() -> float:
    """Return changes of configuration a second."""
    return CHANGES_PER_DAY / DAY_S


def common_shares(s: Slopes) -> list[Share]:
    """Return what every process does."""
    compares = 1 / COMPARE_S
    compare_size = s.compare_bytes + 2 * MESSAGE_OVERHEAD_BYTES
    members = ENTRIES + AGENTS
    reads = 1 / list_interval(LISTED_BYTES * members)
    document = s.document_plain_bytes + ACCOUNTS * s.account_bytes
    view = NEAR_VIEW + FAR_VIEW
    return [
        Share(
            "comparison with a peer each second, and being asked as often",
            2 * compares,
            compares * (s.compare_cpu + s.compare_served_cpu),
            2 * compares * compare_size,
            view * (s.link_bytes + s.served_bytes),
        ),
        Share(
            f"changes taken and passed on to {FAN_OUT} others",
            changes() * (1 + FAN_OUT),
            changes() * s.adopt_cpu,
            changes() * (1 + FAN_OUT) * (s.changes_bytes + MESSAGE_OVERHEAD_BYTES),
            document + ROUTES * s.route_bytes + FAN_OUT * s.link_bytes,
        ),
        Share(
            f"the platform's list, read every {1 / reads:.0f} s",
            reads,
            reads * s.list_cpu,
            reads * members * s.instance_bytes,
            members * s.instance_memory,
        ),
    ]


def entry_shares(s: Slopes) -> list[Share]:
    """Return the control of an entry without traffic, the worst case."""
    beat = s.heartbeat_bytes + 2 * MESSAGE_OVERHEAD_BYTES
    return [
        Share(
            f"heartbeats to {links()} agents, if no reply takes their place",
            HEARTBEATS_PER_S,
            HEARTBEATS_PER_S * s.heartbeat_cpu,
            HEARTBEATS_PER_S * beat,
            links() * s.link_bytes,
        ),
        *common_shares(s),
    ]


def agent_shares(s: Slopes) -> list[Share]:
    """Return the control of an agent."""
    beats = known_by() * HEARTBEATS_PER_S / links()
    beat = s.heartbeat_bytes + 2 * MESSAGE_OVERHEAD_BYTES
    return [
        Share(
            f"heartbeats of {known_by():.0f} entries",
            beats,
            beats * s.heartbeat_served_cpu,
            beats * beat,
            known_by() * s.served_bytes,
        ),
        *common_shares(s),
    ]


def watcher_shares(s: Slopes) -> list[Share]:
    """Return what a watcher does besides."""
    reads = 1 / WATCH_S + changes()
    return [
        Share(
            "watch of the store; each change is read whole",
            reads,
            changes() * 2 * s.snapshot_cpu,
            changes() * s.document_packed_bytes * BASE64,
            s.document_packed_bytes,
        )
    ]


def show_shares(shares: list[Share]) -> list[str]:
    """Return the rows of one role's table and its sum against the limits."""
    rows = [
        "| mechanism | messages/s | CPU, % of a core | KB/s | memory, MB |",
        "|---|---|---|---|---|",
    ]
    rows += [show_row(item.mechanism, item) for item in shares]
    total = Share(
        "sum",
        *(
            sum(getattr(item, name) for item in shares)
            for name in ("rate", "cpu", "size", "memory")
        ),
    )
    rows.append(show_row("**sum**", total))
    rows.append(
        f"| limit | | {judge(total.cpu, CPU_LIMIT, '1%')} | "
        f"{judge(total.size, BYTES_LIMIT, '7')} | "
        f"{judge(total.memory, MEMORY_LIMIT, '32')} |"
    )
    return rows


def show_row(name: str, item: Share) -> str:
    """Return one row."""
    return (
        f"| {name} | {item.rate:.2f} | {PERCENT * item.cpu:.3f} | "
        f"{item.size / 1000:.2f} | {item.memory / MB:.2f} |"
    )


def judge(value: float, limit: float, name: str) -> str:
    """Return a limit and whether it is kept."""
    return f"{name}: kept" if value <= limit else f"{name}: **broken**"


def show_fleet(s: Slopes) -> list[str]:
    """Return the rows for what the fleet as a whole asks."""
    watchers = WATCHERS * DOMAINS
    reads = watchers * (1 / WATCH_S + changes())
    members = ENTRIES + AGENTS
    per_entry = REQUESTS_PER_S / ENTRIES
    calls = per_entry * STAGES
    tokens = TOKENS_PER_S / ENTRIES
    token_cpu = tokens / TOKENS_PER_MESSAGE * s.heartbeat_cpu / 2
    call_size = s.call_bytes + 2 * MESSAGE_OVERHEAD_BYTES
    lost = members / DOMAINS
    commits = PARTITIONS / COMMIT_INTERVAL_S
    leases = PARTITIONS / RENEW_S
    snapshots = 2 * ENTRIES / INTERVAL_S
    segments = 2 * REQUESTS_PER_S / SEGMENT_ROWS
    writes = commits + leases + segments + snapshots + changes() * 2
    claims = PARTITIONS * MAX_BATCH / COMMIT_INTERVAL_S
    direct = members * (1 / WATCH_S + changes())
    storm = members * changes()
    return [
        "| line of the letter | worked out | mechanism | limit |",
        "|---|---|---|---|",
        f"| {CHANGES_PER_DAY:,} changes a day | {changes():.2f}/s: "
        f"{reads:.1f} store reads/s for {watchers} watchers; "
        f"{changes() * 2:.2f} writes/s (document and history) | watchers, tree | "
        f"{READS_LIMIT} reads/s, {WRITES_LIMIT} writes/s: kept |",
        f"| claims, if all requests have a key | {commits:.0f} commits/s of "
        f"{PARTITIONS} partitions and {leases:.0f} renewals/s at any load, "
        f"{segments:.0f} writes/s for full segments; room for {claims:,.0f} claims/s "
        "| partitions by lease, group commit | "
        f"{judge(REQUESTS_PER_S, claims, f'{REQUESTS_PER_S:,} claims/s')} |",
        f"| all writes of the store | {writes:.0f}/s: commits, renewals, segments, "
        f"changes and {snapshots:.0f}/s for the entries' report snapshots | the same | "
        f"{judge(writes, WRITES_LIMIT, f'{WRITES_LIMIT} writes/s')} |",
        f"| {CHANGES_PER_DAY:,} changes a day, if all {members:,} watched | "
        f"{direct:,.0f} reads/s on average, "
        f"{members:,} at once with each change ({storm:,.0f}/s re-armed) "
        "| direct watches (baseline) | 2,000 reads/s: **broken** at each change |",
        f"| {REQUESTS_PER_S:,} requests/s | {per_entry:.1f}/s an entry, {calls:.0f} "
        f"calls/s: {PERCENT * calls * s.call_cpu:.1f}% of a core, "
        f"{calls * call_size / 1000:.0f} KB/s | data path, apart from control | - |",
        f"| {TOKENS_PER_S / 1e6:.0f} M tokens/s | {tokens:,.0f}/s an entry; in batches "
        f"of {TOKENS_PER_MESSAGE}: {PERCENT * token_cpu:.1f}% of a core, with half a "
        "round trip's CPU for a message | data path | - |",
        f"| {RESTARTS_PER_DAY:,} restarts a day | {RESTARTS_PER_DAY / DAY_S:.3f}/s: "
        f"each opens {known_by():.0f} links to an agent or {links()} from an entry "
        "| subsets by rendezvous hashing, connects at 100/s at most | - |",
        f"| a failure domain lost and back | {lost:.0f} processes: "
        f"{links() / DOMAINS:.0f} of {links()} links of an entry "
        f"move; {lost / STARTS_PER_S:.1f} s to spread {lost:.0f} reads of the store "
        "at the start | subsets; start spread by "
        f"{STARTS_PER_S:.0f}/s | 2,000 reads/s: kept |",
        f"| all started at once | {members / STARTS_PER_S:.1f} s, "
        f"{STARTS_PER_S:.0f} reads/s | the same | 2,000 reads/s: kept |",
    ]


def show_force(s: Slopes) -> list[str]:
    """Return the rows for the time until a change is in force everywhere."""
    members = [f"member-{n}" for n in range((ENTRIES + AGENTS) // DOMAINS + 1)]
    hops = len(list(layers(members))) - 1
    watch = REGION_S + 2 * s.snapshot_cpu
    hop = s.adopt_cpu + NEAR_S + FAN_OUT * s.compare_cpu
    total = watch + hops * hop
    return [
        "| step | s |",
        "|---|---|",
        f"| from the store to a watcher: {REGION_S} s of way, two times "
        f"{s.snapshot_cpu:.3f} s of CPU | {watch:.3f} |",
        f"| {hops} hops down a tree of {len(members)}, each {s.adopt_cpu:.3f} s to "
        f"adopt, {NEAR_S} s of way and {FAN_OUT} messages | {hops * hop:.3f} |",
        f"| **sum**, if no message is lost | {total:.3f} |",
        f"| limit | {judge(total, FORCE_LIMIT_S, '4')} |",
    ]


def make_tables(s: Slopes) -> dict[str, list[str]]:
    """Return the rows of all tables by name."""
    names = s.__struct_fields__
    return {
        "entry": show_shares(entry_shares(s)),
        "agent": show_shares(agent_shares(s)),
        "watcher": show_shares(watcher_shares(s) + agent_shares(s)),
        "fleet": show_fleet(s),
        "force": show_force(s),
        "slopes": [
            "| slope | value |",
            "|---|---|",
            *(f"| {name} | {getattr(s, name):.6g} |" for name in names),
        ],
    }


def rewrite(page: str, tables: dict[str, list[str]]) -> str:
    """Return the page with the tables between their marks replaced."""
    for name, rows in tables.items():
        block = "\n".join([f"<!-- table: {name} -->", *rows, "<!-- end -->"])
        old = re.search(rf"<!-- table: {name} -->.*?<!-- end -->", page, re.S)
        if old is None:
            raise SystemExit(f"{PAGE}: no table {name!r}")
        page = page.replace(old.group(), block)
    return page


def main() -> int:
    """Rewrite the tables; return 1 if they were out of date."""
    record = msgspec.json.decode(SLOPES.read_bytes(), type=SlopesFile)
    before = PAGE.read_text("utf-8")
    after = rewrite(before, make_tables(record.slopes))
    PAGE.write_text(after, "utf-8")
    if after == before:
        print("docs/CAPACITY.md is up to date")
        return 0
    print("docs/CAPACITY.md was out of date; its tables are rewritten")
    return 1


if __name__ == "__main__":
    sys.exit(main())
