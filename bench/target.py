"""Sizes of the capacity target, and the estimates of the slopes at them."""

from __future__ import annotations

from typing import Final, Protocol

import attrs

from egretspur import settings
from egretspur.claims import actor as claim_actor
from egretspur.membership import actor as members

DAY_S: Final = 86_400.0
EXCHANGE_PERIOD_S: Final = settings.PeerSettings().period_s
ENTRIES_PER_UPDATE: Final = settings.PeerSettings().entries
# Records of one change: intent, plan, confirmation, prepared, and one spare.
RECORDS_PER_CHANGE: Final = 5
# Chains that a change adds; most changes only bind a workspace to existing
# chains.
CHAINS_PER_CHANGE: Final = 1
# Lease records have a fixed size, below a tenth of a change's records.
LEASE_KB: Final = 0.25
# A holder renews its lease after half of the lease duration.
LEASE_RENEWAL_S: Final = settings.LeaseSettings().duration_s / 2
FAN_OUT: Final = members.PUSH_FAN_OUT
LOG_APPENDS_PER_S: Final = 300.0
CLAIM_SHARE: Final = 0.02
FLUSH_S: Final = claim_actor.FLUSH_INTERVAL_S
APPEND_S: Final = 0.004
CPU_BUDGET_CORES: Final = 0.033
MEMORY_BUDGET_MB: Final = 32.0
TRAFFIC_BUDGET_KB_PER_S: Final = 10.0


class FittedLine(Protocol):
    """A line fitted to a measured slope."""

    def predict(self, size: float) -> float:
        """Returns the value that the line gives at a size."""

    @property
    def slope(self) -> float:
        """Increase of the value per unit of size."""

    @property
    def intercept(self) -> float:
        """Value at size 0."""


class FittedLines(Protocol):
    """Fitted lines by the slope's name."""

    def __getitem__(self, name: str, /) -> FittedLine:
        """Returns the line of a slope."""


@attrs.frozen
class Sizes:
    """The sizes that the target requires, and shares derived from them."""

    nodes: int = 370
    replicas: int = 2600
    accelerators: int = 10_000
    requests_s: float = 14_000.0
    tokens_s: float = 4.6e6
    first_token_s: float = 0.91
    between_tokens_s: float = 0.051
    workspaces: int = 2800
    models: int = 36
    data_centres: int = 7
    changes_day: float = 13_000.0
    change_s: float = 7.0
    failures_day: float = 39.0
    restarts_day: float = 700.0

    @property
    def nodes_per_data_centre(self) -> int:
        """Entry hosts of one data centre."""
        return -(-self.nodes // self.data_centres)

    @property
    def replicas_per_data_centre(self) -> int:
        """Replicas of one data centre."""
        return self.replicas // self.data_centres

    @property
    def requests_per_node_s(self) -> float:
        """Requests per second at one node."""
        return self.requests_s / self.nodes

    @property
    def events_per_node_s(self) -> float:
        """Token events per second at one node."""
        return self.tokens_s / self.nodes

    @property
    def streams_per_node(self) -> float:
        """Open streams at one node, at 20 tokens a second each."""
        return self.events_per_node_s / 20.0

    @property
    def records_s(self) -> float:
        """Records a second in the configuration stream, leases included."""
        changes = self.changes_day / DAY_S * RECORDS_PER_CHANGE
        return changes + self.leases_s

    @property
    def leases_s(self) -> float:
        """Lease records a second, of all data centres."""
        return self.data_centres / LEASE_RENEWAL_S

    @property
    def claims_s(self) -> float:
        """Claims a second in one data centre, for 2 in 100 requests."""
        return self.requests_s * CLAIM_SHARE / self.data_centres


@attrs.frozen
class Requirement:
    """One requirement of the target, and how far the slopes meet it."""

    text: str
    given: str
    margin: str
    mechanism: str
    # Change that would meet the requirement; empty if it is met.
    remedy: str = ""


@attrs.frozen
class RoleRow:
    """Resources that one role uses at the target's size."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str
    mechanism: str


@attrs.frozen
class Failure:
    """Load, messages and recovery time that a failure causes."""

    cause: str
    load: str
    messages: str
    recovery: str


def compute_relay_cores(lines: FittedLines, sizes: Sizes) -> float:
    """Returns the cores that a node needs to relay its token events."""
    return lines["router_cpu_by_events"].slope * sizes.events_per_node_s


def compute_control_cpu(lines: FittedLines, sizes: Sizes) -> float:
    """Returns the cores that a control daemon uses."""
    idle = lines["control_cpu_by_nodes"].predict(sizes.nodes_per_data_centre)
    folding = lines["control_cpu_by_records"].slope * sizes.records_s
    changes = sizes.changes_day / DAY_S
    tables = lines["table_make_seconds"].predict(sizes.replicas_per_data_centre)
    return idle + folding + changes * tables


def compute_control_memory(lines: FittedLines, sizes: Sizes) -> float:
    """Returns the memory of a control daemon in megabytes."""
    base = lines["control_memory_by_nodes"].predict(sizes.nodes_per_data_centre)
    state = lines["state_memory_by_workspaces"].predict(sizes.workspaces)
    remote = sizes.replicas - sizes.replicas_per_data_centre
    remote_state = lines["state_memory_by_replicas"].slope * remote
    hosts = lines["hosts_memory_by_replicas"].predict(
        sizes.replicas_per_data_centre
    )
    return base + state + remote_state + hosts


def compute_control_traffic(lines: FittedLines, sizes: Sizes) -> float:
    """Returns KB a second of a control daemon, sent and received.

    A host starts one exchange a period and answers one on average: two calls
    with a body each way. For each change it sends pushes to FAN_OUT peers,
    receives as many, and pulls and serves the change's records once. Leases
    come with the exchange; their records are pulled and served once.
    """
    body = lines["message_size"].predict(ENTRIES_PER_UPDATE)
    head = lines["wire_size"].intercept
    exchanges = 2 * (2 * body + head) / EXCHANGE_PERIOD_S
    changes = sizes.changes_day / DAY_S
    pushes = changes * RECORDS_PER_CHANGE * 2 * FAN_OUT * head
    size = lines["change_size"].predict(CHAINS_PER_CHANGE)
    records = changes * 2 * (size + RECORDS_PER_CHANGE * head)
    leases = sizes.leases_s * 2 * (LEASE_KB + head)
    return exchanges + pushes + records + leases


def compute_propagation_s(lines: FittedLines, sizes: Sizes) -> float:
    """Returns seconds from a confirmation until it is in force on all hosts.

    Sums up the append and read-back, the hops of the pushes through a data
    centre, each with a pull and a fold, one exchange period for hosts that no
    push reached, and the making and applying of a router's table.
    """
    hops = 0
    reached = 1.0
    while reached < sizes.nodes_per_data_centre:
        reached *= FAN_OUT
        hops += 1
    hop = 0.05 + lines["control_cpu_by_records"].slope
    table = lines["table_make_seconds"].predict(sizes.replicas_per_data_centre)
    table += lines["table_take_seconds"].predict(sizes.replicas_per_data_centre)
    return 0.1 + hops * hop + EXCHANGE_PERIOD_S + table


def compute_appends(sizes: Sizes) -> float:
    """Returns appends a second to the log, of all data centres together."""
    flushes = min(sizes.claims_s, claim_actor.PARTITIONS / (FLUSH_S + APPEND_S))
    return sizes.records_s + flushes * sizes.data_centres


def compute_requirements(lines: FittedLines, sizes: Sizes) -> list[Requirement]:
    """Returns the requirements of the target with their estimates."""
    cpu = compute_control_cpu(lines, sizes)
    memory = compute_control_memory(lines, sizes)
    sent = compute_control_traffic(lines, sizes)
    relay = compute_relay_cores(lines, sizes)
    requests = lines["router_cpu_by_requests"].slope * sizes.requests_per_node_s
    processes = -(-(relay + requests) // 0.7)
    streams = sizes.streams_per_node / processes
    router_mb = lines["router_memory_by_streams"].predict(streams)
    first = lines["router_first_token_p95"].predict(
        sizes.requests_per_node_s / processes
    )
    delay = lines["router_delay_by_streams"].predict(streams)
    propagation_s = compute_propagation_s(lines, sizes)
    appends = compute_appends(sizes)
    choice = lines["choice_seconds"].predict(sizes.replicas_per_data_centre)
    plan = lines["plan_seconds"].predict(sizes.replicas)
    state = lines["state_memory_by_workspaces"].predict(sizes.workspaces)
    return [
        Requirement(
            f"{sizes.nodes} nodes before {sizes.replicas:,} replicas on"
            f" {sizes.accelerators:,} accelerators",
            f"{sizes.nodes_per_data_centre} nodes and"
            f" {sizes.replicas_per_data_centre} replicas a data centre;"
            f" a choice takes {choice * 1e6:.0f} us"
            " (`choice_seconds`), a plan over all replicas"
            f" {plan:.1f} s (`plan_seconds`)",
            f"{200 / (choice * 1e6):.1f} x under 200 us;"
            f" {10 / plan:.0f} x under 10 s",
            "state by data centre; two sampled paths; racks tried once",
        ),
        Requirement(
            f"{sizes.requests_s:,.0f} requests and"
            f" {sizes.tokens_s / 1e6:.1f} M tokens a second",
            f"{sizes.requests_per_node_s:.0f} requests/s and"
            f" {sizes.events_per_node_s:,.0f} events/s a node:"
            f" {relay + requests:.2f} cores (`router_cpu_by_events`,"
            f" `router_cpu_by_requests`) in {processes:.0f} router processes"
            f" of {router_mb:.0f} MB (`router_memory_by_streams`)",
            "cores of an entry host are not given",
            "pump thread; several routers a host",
            "none in cores; a router process can use one, so"
            f" {processes:.0f} run on a host, behind the balancer like so many"
            " hosts; the slope of events is used beyond its range, see below",
        ),
        Requirement(
            f"first token within {sizes.first_token_s} s for 95 in 100",
            f"the router's share at p95: {first:.0f} ms"
            " (`router_first_token_p95`)",
            f"{sizes.first_token_s * 1000 - first:.0f} ms left to engines",
            "admission in one message; refusal at once when the deadline"
            " can't be met",
        ),
        Requirement(
            f"{sizes.between_tokens_s * 1000:.0f} ms between tokens for 95 in"
            " 100",
            f"the router adds {delay:.1f} ms at p95"
            " (`router_delay_by_streams`)",
            f"{sizes.between_tokens_s * 1000 - delay:.0f} ms left to engines",
            "rounds of 4 ms",
            "engines must hold "
            f"{sizes.between_tokens_s * 1000 - delay:.0f} ms; shorter rounds"
            " trade CPU for delay, see docs/design/relay.md",
        ),
        Requirement(
            "7 kinds of accelerators, links a hundredfold apart",
            "speed and link of each host enter the split and the choice",
            "-",
            "max-min split; cost by speed; slowness per link",
        ),
        Requirement(
            f"{sizes.workspaces:,} workspaces and {sizes.models} models",
            f"{state:.1f} MB of state (`state_memory_by_workspaces`)",
            "see memory below",
            "bindings share deployments",
        ),
        Requirement(
            "3 regions with 7 data centres",
            "no message but the log's and one exchange in five leaves a data"
            " centre",
            "-",
            "followers per data centre; one lease each",
        ),
        Requirement(
            f"{sizes.changes_day:,.0f} changes a day, in force within"
            f" {sizes.change_s:.0f} s",
            f"{propagation_s:.1f} s at worst (`control_cpu_by_records`,"
            " `table_make_seconds`, `table_take_seconds`);"
            f" {sizes.records_s:.1f} records/s",
            f"{sizes.change_s - propagation_s:.1f} s",
            "pushes to 3 peers, exchange every 2 s, log as fallback",
        ),
        Requirement(
            "several hundred appends a second for all",
            f"{appends:.0f} appends/s: configuration and leases"
            f" {sizes.records_s:.1f}, claims {appends - sizes.records_s:.0f}"
            f" for {sizes.claims_s * sizes.data_centres:.0f} claims/s",
            f"{LOG_APPENDS_PER_S - appends:+.0f} of {LOG_APPENDS_PER_S:.0f}",
            "claims in batches by partition owner",
            ""
            if appends <= LOG_APPENDS_PER_S
            else "a longer flush of claims: 0.1 s instead of 0.02 s bounds"
            " them at a fifth and adds 50 ms to such a call",
        ),
        Requirement(
            "control: 3.3% of a core",
            f"{cpu:.2%} (`control_cpu_by_nodes`, `control_cpu_by_records`,"
            " `table_make_seconds`)",
            f"{(CPU_BUDGET_CORES - cpu) * 100:+.2f} points",
            "tables only on change; bounded messages; slow audit of engines",
            "" if cpu <= CPU_BUDGET_CORES else "fewer wake-ups of idle threads",
        ),
        Requirement(
            "control: 32 MB",
            f"{memory:.1f} MB (`control_memory_by_nodes`,"
            " `state_memory_by_workspaces`, `state_memory_by_replicas`,"
            " `hosts_memory_by_replicas`)",
            f"{MEMORY_BUDGET_MB - memory:+.1f} MB",
            "TLS left out; keys of active plans dropped; strings shared",
            ""
            if memory <= MEMORY_BUDGET_MB
            else "the idle process takes most of it. Active plans of other"
            " data centres could be kept as packed bytes (they are read by"
            " `plan show` only), and the records decoded without the general"
            " converter",
        ),
        Requirement(
            "control: 10 KB a second",
            f"{sent:.1f} KB/s (`message_size`, `wire_size`, `change_size`)",
            f"{TRAFFIC_BUDGET_KB_PER_S - sent:+.1f} KB/s",
            "24 entries a message whatever the number of nodes",
            ""
            if sent <= TRAFFIC_BUDGET_KB_PER_S
            else "a longer period of the exchange",
        ),
        Requirement(
            f"{sizes.failures_day:.0f} failures and"
            f" {sizes.restarts_day:.0f} restarts a day",
            f"one host event every"
            f" {DAY_S / (sizes.failures_day + sizes.restarts_day):.0f} s",
            "see Failures",
            "incarnations; sticky leaving marks; spares",
        ),
    ]


def compute_roles(lines: FittedLines, sizes: Sizes) -> list[RoleRow]:
    """Returns the resource use of each role."""
    rows = {r.text: r for r in compute_requirements(lines, sizes)}
    router = next(r for text, r in rows.items() if "requests and" in text)
    folds = lines["fold_seconds"].slope
    poll = lines["message_seconds"].predict(ENTRIES_PER_UPDATE)
    checkpoint = lines["checkpoint_seconds"].predict(sizes.workspaces)
    size = lines["checkpoint_size"].predict(sizes.workspaces)
    owned = sizes.claims_s / sizes.nodes_per_data_centre
    claim_cpu = lines["claims_cpu"].predict(
        sizes.claims_s / claim_actor.PARTITIONS
    )
    engines = sizes.replicas_per_data_centre * 4
    table = lines["table_size"].predict(sizes.replicas_per_data_centre)
    apply = lines["table_take_seconds"].predict(sizes.replicas_per_data_centre)
    changes = sizes.changes_day / DAY_S
    return [
        RoleRow(
            "router",
            f"table of its data centre, {table:.0f} KB; "
            f"{sizes.streams_per_node:.0f} streams a node",
            f"{sizes.requests_per_node_s:.0f} requests/s,"
            f" {sizes.events_per_node_s:,.0f} events/s; one report a second to"
            " its control daemon",
            f"{router.given.split('a node: ')[1].split(' (')[0]};"
            f" {changes * apply:.2%} of a core for tables",
            "see the row above",
            "pump, dispatcher in one actor",
        ),
        RoleRow(
            "control daemon",
            "the folded configuration, entries of its data centre",
            f"{1 / EXCHANGE_PERIOD_S:.1f} exchanges/s,"
            f" {poll * 1e3:.2f} ms each",
            f"{compute_control_cpu(lines, sizes):.2%} of a core",
            f"{compute_control_memory(lines, sizes):.1f} MB",
            "see the rows above",
        ),
        RoleRow(
            "lease holder (one a data centre)",
            f"status of {engines:,} engines, filled by the audit",
            "5 engines/s audited, 2/s for each with an order under way;"
            f" a lease record every {LEASE_RENEWAL_S:.0f} s",
            f"a whole audit takes {engines / 5 / 60:.1f} min",
            "in the control daemon's",
            "level-triggered comparison; lease by log offset",
        ),
        RoleRow(
            "log follower (3 a data centre)",
            "none of its own",
            f"{sizes.records_s:.1f} records/s by long poll",
            f"{folds * 1e6:.0f} us a record (`fold_seconds`):"
            f" {1 / folds:,.0f} records/s",
            "none of its own",
            "rank by hash; the others hear from peers",
        ),
        RoleRow(
            "checkpoint writer",
            "none of its own",
            f"{size:.0f} KB (`checkpoint_size`) each quarter of the retention",
            f"{checkpoint:.2f} s (`checkpoint_seconds`) each",
            "twice the snapshot while writing",
            "whoever finds it due, by rank",
        ),
        RoleRow(
            "claim owner (16 partitions a data centre)",
            "100,000 keys a partition at most",
            f"{sizes.claims_s:.0f} claims/s a data centre, {owned:.2f} a node",
            f"{claim_cpu:.2%} of a core a partition (`claims_cpu`)",
            "in the router's",
            "rendezvous hashing; first offset wins",
        ),
        RoleRow(
            "planner",
            "one plan at a time, dropped after it",
            f"{changes:.2f} plans/s over all nodes",
            f"{lines['plan_seconds'].predict(sizes.replicas_per_data_centre):.2f}"
            " s for a data centre's replicas (`plan_seconds`)",
            f"{lines['hosts_memory_by_replicas'].predict(sizes.replicas_per_data_centre):.1f}"
            " MB of hosts (`hosts_memory_by_replicas`)",
            "runs in the daemon that was asked",
        ),
        RoleRow(
            "command line",
            "none",
            "one call; `status` asks one daemon a data centre",
            "on the operator's machine",
            "on the operator's machine",
            "tries the next daemon if one is away",
        ),
    ]


def compute_failures(lines: FittedLines, sizes: Sizes) -> list[Failure]:
    """Returns the effects of each kind of failure."""
    choice = lines["choice_seconds"].predict(sizes.replicas_per_data_centre)
    propagation_s = compute_propagation_s(lines, sizes)
    streams = sizes.streams_per_node * sizes.nodes / sizes.replicas
    here = sizes.streams_per_node * sizes.nodes_per_data_centre
    others = sizes.data_centres - 1
    return [
        Failure(
            f"an engine ({sizes.failures_day:.0f} hosts a day)",
            f"{streams:.0f} streams of its replica resume,"
            f" {choice * 1e6:.0f} us each for the choice",
            "none until a spare takes over: 2 records",
            "silence bound (2 s) and one attempt; the spare after 10 s and"
            " its load",
        ),
        Failure(
            "an entry host",
            f"its {sizes.streams_per_node:.0f} streams break and are the"
            " callers' to repeat",
            "its entries lapse in 20 s; its partitions of claims move",
            "none for others; a lease it held after"
            f" {compute_takeover_s():.1f} s",
        ),
        Failure(
            f"{sizes.restarts_day:.0f} restarts a day",
            "drained: no stream is cut",
            "one snapshot or the log's tail each",
            "a few seconds to ready",
        ),
        Failure(
            "a rack or a switch",
            f"about {32 / 4:.0f} replicas of {sizes.replicas_per_data_centre}:"
            f" {32 / 4 / sizes.replicas_per_data_centre:.1%} of the data"
            " centre's streams resume at once",
            "up to 32 repairs: 64 records",
            "as an engine; loads share the weight store by priority",
        ),
        Failure(
            "a data centre",
            f"{here:,.0f} streams break; the balancers' callers come to the"
            f" other {others}, {1 / others:.0%} more each",
            "none beyond the usual",
            "its own callers by the balancers; others refuse at once what"
            " they can't take",
        ),
        Failure(
            "regions apart for minutes",
            "none: a data centre serves by its own hosts and last"
            " configuration",
            "no exchange across; on rejoining one pull a host",
            f"{propagation_s:.1f} s after the log is reached again",
        ),
    ]


def compute_takeover_s() -> float:
    """Returns seconds from a holder's crash to its successor's first order."""
    lease = settings.LeaseSettings()
    return lease.duration_s + lease.margin_s + lease.flight_s


def get_used_size(name: str, sizes: Sizes) -> float:
    """Returns the size at which the page evaluates a slope."""
    per_process = 2.0
    special = {
        "control_cpu_by_nodes": sizes.nodes_per_data_centre,
        "control_memory_by_nodes": sizes.nodes_per_data_centre,
        "control_bytes_by_nodes": sizes.nodes_per_data_centre,
        "control_cpu_by_records": round(sizes.records_s, 2),
        "router_cpu_by_events": round(sizes.events_per_node_s),
        "router_memory_by_streams": round(sizes.streams_per_node / per_process),
        "router_delay_by_streams": round(sizes.streams_per_node / per_process),
        "router_cpu_by_requests": round(sizes.requests_per_node_s),
        "router_first_token_p95": round(sizes.requests_per_node_s),
        "claims_cpu": round(sizes.claims_s / claim_actor.PARTITIONS, 2),
        "claims_appends": round(sizes.claims_s / claim_actor.PARTITIONS, 2),
        "state_memory_by_replicas": sizes.replicas,
        "plan_seconds": sizes.replicas,
        "choice_seconds_by_stages": 4,
        "message_size": ENTRIES_PER_UPDATE,
        "wire_size": 2.5,
        "change_size": CHAINS_PER_CHANGE,
        "message_seconds": ENTRIES_PER_UPDATE,
        "fold_seconds": 1,
        "state_memory_by_models": sizes.models,
        "checkpoint_seconds": sizes.workspaces,
        "checkpoint_size": sizes.workspaces,
        "state_memory_by_workspaces": sizes.workspaces,
    }
    return float(special.get(name, sizes.replicas_per_data_centre))
