"""Writes docs/CAPACITY.md from the measurements under bench/results.

Usage: python -m bench.capacity
"""

import json
import math
from pathlib import Path
from typing import Any, NamedTuple

from bench.accounting import LinearFit, fit_line

_ROOT = Path(__file__).parent.parent
_RESULTS_DIR = _ROOT / "bench" / "results"
_PAGE_PATH = _ROOT / "docs" / "CAPACITY.md"

INSTANCE_COUNT = 12_000
SERVICE_COUNT = 1_900
ZONE_COUNT = 15
CALLS_PER_S = 910_000
CHANGES_PER_DAY = 8_800
FAILURES_PER_DAY = 47
RESTARTS_PER_DAY = 1_300
DAY_S = 86_400
CPU_BUDGET_CORES = 0.017
MEMORY_BUDGET_BYTES = 256e6
CONTROL_BUDGET_BYTES_PER_S = 7_000
ADDED_LATENCY_BUDGET_MS = 1.6
CONVERGENCE_BUDGET_S = 3.0
_FANOUT = 8
_SPREAD_TREES = 2
# Three times the binary logarithm of the fleet size, as in overlay.gossip.
_SENDS_PER_UPDATE = 3 * 14
_UPDATES_PER_MESSAGE = 6
_MEMBER_EVENTS_PER_RESTART = 4


class Measurements(NamedTuple):
    """The results of all benchmarks, as read from their JSON files."""

    fleets: list[dict[str, Any]]
    members: dict[str, Any]
    requests: list[dict[str, Any]]
    overload: dict[str, Any]
    placement: dict[str, Any]
    long_versions: list[dict[str, Any]]
    starts: dict[str, dict[str, float]]


class RoleRow(NamedTuple):
    """A row in the table of roles."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str
    platform: str
    mechanism: str


def _read_measurements() -> Measurements:
    def load(name: str) -> Any:
        return json.loads((_RESULTS_DIR / f"{name}.json").read_text())

    return Measurements(
        load("distribution"),
        load("members"),
        load("requests"),
        load("overload"),
        load("placement"),
        load("long_versions"),
        load("starts"),
    )


class _Estimates:
    """Estimates for a fleet of the target size, based on the measurements."""

    def __init__(self, measured: Measurements) -> None:
        self.measured = measured
        slopes = measured.members["slopes"]
        self.slopes = {name: LinearFit(**line) for name, line in slopes.items()}
        self.changes_per_s = CHANGES_PER_DAY / DAY_S
        events = FAILURES_PER_DAY * 2 + RESTARTS_PER_DAY * _MEMBER_EVENTS_PER_RESTART
        self.member_events_per_s = events / DAY_S

    def fit_fleets(self, window: str, role: str, metric: str) -> LinearFit:
        """Fit a line to a metric of the real fleets by their size."""
        return fit_line(
            [
                (fleet["nodes"], fleet[window][role][metric]["mean"])
                for fleet in self.measured.fleets
            ]
        )

    def in_largest_fleet(self, window: str, role: str, metric: str) -> float:
        """Return a metric of the largest real fleet."""
        return self.measured.fleets[-1][window][role][metric]["mean"]

    def cost_per_change(self, role: str, metric: str) -> float:
        """Return the cost of one change for a node of the largest real fleet."""
        fleet = self.measured.fleets[-1]
        idle = fleet["idle"][role][metric]["mean"]
        changing = fleet["changing"][role][metric]["mean"]
        rate = fleet["changing"]["changes"] / fleet["changing"]["seconds_s"]
        return max(0.0, changing - idle) / rate

    def cpu_share(self, role: str) -> float:
        """Return the CPU cores that the control plane takes at the target size."""
        idle = self.in_largest_fleet("idle", role, "cpu_share")
        changes = self.cost_per_change(role, "cpu_share") * self.changes_per_s
        ranking = self.slopes["change_s"].at(INSTANCE_COUNT) * self.member_events_per_s
        return idle + changes + ranking

    def control_bytes_per_s(self, role: str) -> float:
        """Return the control bytes that a node sends per second at the target size."""
        idle = self.in_largest_fleet("idle", role, "sent_bytes_per_s")
        changes = self.cost_per_change(role, "sent_bytes_per_s") * self.changes_per_s
        wire_bytes = self.measured.members["members"][-1]["member_wire_bytes"]
        events = self.member_events_per_s * wire_bytes * 2 * _SPREAD_TREES
        return idle + changes + events

    def memory_bytes(self, role: str) -> float:
        """Return the resident memory of a node at the target size."""
        base = self.in_largest_fleet("changing", role, "resident_bytes")
        return base + self.slopes["memory_bytes"].at(INSTANCE_COUNT)

    def platform_calls_per_s(self, window: str) -> dict[str, float]:
        """Return the platform calls per second of the largest fleet, by kind."""
        return self.measured.fleets[-1][window]["platform_calls_per_s"]

    def hops(self) -> int:
        """Return the number of hops from the origin to the last node of a zone."""
        left, hops = INSTANCE_COUNT // ZONE_COUNT, 1
        while left > 0:
            left -= _FANOUT ** (hops - 1)
            hops += 1
        return hops

    def convergence_s(self) -> float:
        """Return the time from acceptance until the last node applies a version.

        Each hop counts as the 99th percentile of a complete spread in the smallest
        fleet, although such a spread took two hops or more there.
        """
        return self.hops() * self.measured.fleets[0]["convergence"]["p99_s"]


def _percent(share: float) -> str:
    return f"{share:.2%}"


def _megabytes(size_bytes: float) -> str:
    return f"{size_bytes / 1e6:.0f} MB"


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else "**over**"


def _role_rows(estimates: _Estimates) -> list[RoleRow]:
    request = estimates.measured.requests[1]
    node_calls_per_s = CALLS_PER_S / INSTANCE_COUNT
    proxy_cpu = node_calls_per_s * request["proxy_cpu_ms_per_call"] / 1000
    gate_cpu = node_calls_per_s * request["gate_cpu_ms_per_call"] / 1000
    config_bytes = estimates.slopes["config_memory_bytes"].at(SERVICE_COUNT)
    whole_bytes = estimates.measured.members["configs"][-1]["whole_bytes"]
    calls = estimates.platform_calls_per_s("changing")
    reads = calls.get("GET objects", 0) + calls.get("GET list", 0)
    return [
        RoleRow(
            "node as proxy",
            "snapshot, endpoint index, links in use",
            f"{node_calls_per_s:.0f} calls/s, 2 frames each way",
            f"{_percent(proxy_cpu)} of a core for calls",
            f"{_megabytes(config_bytes)} for the snapshot",
            "none",
            "route index, power of two choices, one link per peer in use",
        ),
        RoleRow(
            "node as gate",
            "slots, queue, ids of running non-idempotent calls",
            f"{node_calls_per_s:.0f} calls/s, one HTTP request each",
            f"{_percent(gate_cpu)} of a core for calls",
            "ids until 5 s after their deadline",
            "none",
            "slot limiter, deduplication table, curl multi handle",
        ),
        RoleRow(
            "member",
            f"{INSTANCE_COUNT} members, all records",
            f"{estimates.control_bytes_per_s('others'):.0f} bytes/s sent",
            f"{_percent(estimates.cpu_share('others'))} of a core",
            f"{_megabytes(estimates.memory_bytes('others'))} in all",
            "2 reads at start, 0 afterwards",
            "one probe per second, membership updates on probes, "
            "two spread trees, digests",
        ),
        RoleRow(
            "relay, 1 per zone, at least 3",
            "same as a member",
            f"{estimates.control_bytes_per_s('relays'):.0f} bytes/s sent",
            f"{_percent(estimates.cpu_share('relays'))} of a core",
            f"{_megabytes(estimates.memory_bytes('relays'))} in all",
            f"{reads / ZONE_COUNT:.2f} reads, "
            f"{calls.get('PUT objects', 0) / ZONE_COUNT:.2f} writes, "
            f"{calls.get('GET watch', 0) / ZONE_COUNT:.2f} watches per second and zone",
            "first by rank, watch; measured with two per zone that also held leases",
        ),
        RoleRow(
            "rollout owner, 1 per rollout",
            "two histograms and four tests per route and class",
            "4 datagrams/s from each gate of the service",
            "not measured",
            "not measured",
            "1 lease write/s, reads by 3 candidates, 1 write per step",
            "rank, lease with fencing, conditional updates",
        ),
        RoleRow(
            "reporter, 1 per zone",
            f"{INSTANCE_COUNT // ZONE_COUNT} states, {ZONE_COUNT} summaries",
            f"{INSTANCE_COUNT // ZONE_COUNT} reports and {ZONE_COUNT - 1} "
            "summaries per change",
            "included in relay and member",
            "included in relay and member",
            "none",
            "rank; reports in datagrams, one summary per zone",
        ),
        RoleRow(
            "operator's command line",
            "none",
            "1 status call every 0.1 s while waiting",
            "one process per command",
            "one process per command",
            "about 4 reads and 2 to 3 writes per change",
            "conditional update with a token",
        ),
        RoleRow(
            "platform, shared by all",
            f"head, parts ({whole_bytes / 1e3:.0f} KB uncompressed), rosters, leases",
            f"{sum(calls.values()):.0f} calls/s, measured",
            "outside of the nodes",
            "outside of the nodes",
            f"{sum(calls.values()):.0f} calls/s at "
            f"{estimates.measured.fleets[-1]['nodes']} nodes; by size below",
            "called only by relays, candidates and starting nodes",
        ),
    ]


def _budget_table(estimates: _Estimates) -> str:
    request = estimates.measured.requests[1]["ways"]["two nodes GET"]
    cpu = max(estimates.cpu_share(role) for role in ("others", "relays"))
    memory = max(estimates.memory_bytes(role) for role in ("others", "relays"))
    control = max(estimates.control_bytes_per_s(r) for r in ("others", "relays"))
    convergence_s = estimates.convergence_s()
    added = request["added_p99_ms"]
    lines = [
        "| budget | target | estimate | verdict |",
        "|---|---|---|---|",
        f"| from accepted to in force everywhere | {CONVERGENCE_BUDGET_S:g} s | "
        f"{convergence_s:.1f} s in {estimates.hops()} hops | "
        f"{_verdict(convergence_s, CONVERGENCE_BUDGET_S)} |",
        f"| control plane, CPU | {_percent(CPU_BUDGET_CORES)} of a core | "
        f"{_percent(cpu)} | {_verdict(cpu, CPU_BUDGET_CORES)} |",
        f"| control plane, memory | {_megabytes(MEMORY_BUDGET_BYTES)} | "
        f"{_megabytes(memory)} | {_verdict(memory, MEMORY_BUDGET_BYTES)} |",
        f"| control plane, bytes sent | {CONTROL_BUDGET_BYTES_PER_S / 1e3:g} KB/s | "
        f"{control / 1e3:.1f} KB/s | {_verdict(control, CONTROL_BUDGET_BYTES_PER_S)} |",
        f"| latency added to a call, p99 | {ADDED_LATENCY_BUDGET_MS:g} ms | "
        f"{added:.1f} ms ({request['ratio_p99']:.1f} times the latency of a direct "
        "call) | "
        f"{_verdict(added, ADDED_LATENCY_BUDGET_MS)} |",
    ]
    return "\n".join(lines)


def _fleet_table(estimates: _Estimates) -> str:
    lines = [
        "| nodes | in force p50, p99, last | naive p50, p99 | "
        "platform calls/s idle, changing, naive | idle CPU | idle bytes sent | "
        "half restarted: members known |",
        "|---|---|---|---|---|---|---|",
    ]
    for fleet in estimates.measured.fleets:
        spread, naive = fleet["convergence"], fleet["naive"]
        idle = sum(fleet["idle"]["platform_calls_per_s"].values())
        changing = sum(fleet["changing"]["platform_calls_per_s"].values())
        others = fleet["idle"]["others"]
        lines.append(
            f"| {fleet['nodes']} | {spread['p50_s']:.2f}, {spread['p99_s']:.2f}, "
            f"{spread['max_s']:.2f} s | {naive['convergence']['p50_s']:.2f}, "
            f"{naive['convergence']['p99_s']:.2f} s | {idle:.0f}, {changing:.0f}, "
            f"{naive['platform_calls_per_s']:.0f} | "
            f"{_percent(others['cpu_share']['mean'])} | "
            f"{others['sent_bytes_per_s']['mean']:.0f} B/s | "
            f"{fleet['herd']['members_known_s']:.1f} s |"
        )
    return "\n".join(lines)


def _slope_table(estimates: _Estimates) -> str:
    names = {
        "memory_bytes": (
            "memory of the member table",
            INSTANCE_COUNT,
            "bytes",
            "members",
        ),
        "change_s": (
            "a change of one member, with ranking",
            INSTANCE_COUNT,
            "s",
            "members",
        ),
        "origin_s": (
            "start of a spread after that change",
            INSTANCE_COUNT,
            "s",
            "members",
        ),
        "config_memory_bytes": (
            "memory of a snapshot",
            SERVICE_COUNT,
            "bytes",
            "services",
        ),
        "config_whole_s": (
            "applying a whole configuration",
            SERVICE_COUNT,
            "s",
            "services",
        ),
        "config_delta_s": (
            "applying a change of one section",
            SERVICE_COUNT,
            "s",
            "services",
        ),
    }
    lines = [
        "| cost | slope | at the target size | largest error of the fit |",
        "|---|---|---|---|",
    ]
    for name, (what, size, unit, by) in names.items():
        line = estimates.slopes[name]
        lines.append(
            f"| {what} | {line.slope:.3g} {unit} per {by[:-1]} | {line.at(size):.3g} "
            f"{unit} at {size} {by} | {line.worst_error:.0%} |"
        )
    for role in ("others", "relays"):
        for metric in ("cpu_share", "sent_bytes_per_s", "resident_bytes"):
            line = estimates.fit_fleets("idle", role, metric)
            lines.append(
                f"| idle {metric}, {role} | {line.slope:.3g} per node | "
                f"not extrapolated beyond 200 nodes | {line.worst_error:.0%} |"
            )
    return "\n".join(lines)


def _rounds_to_reach(nodes: int) -> int:
    """Return the rounds until all nodes have a version; each triples its sources."""
    return math.ceil(math.log(nodes, 3))


def _long_versions_table(estimates: _Estimates) -> str:
    rows = estimates.measured.long_versions
    lines = [
        "| nodes | first other node | median node | last node "
        "| most sent by one node |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {row['nodes']} | {row['first_s']:.2f} s | {row['median_s']:.2f} s "
        f"| {row['last_s']:.2f} s | {row['busiest_bytes'] / 1e3:.0f} KB, "
        f"{row['busiest_deltas']:.1f} times the version |"
        for row in rows
    ]
    return "\n".join(lines)


def _placement_table(estimates: _Estimates) -> str:
    rows = estimates.measured.placement["rows"]
    names = {
        "plain_us": "one version",
        "large_answer_us": "a large answer",
        "three_full_us": "three members without a free slot",
        "two_versions_us": "a version waiting for its rollout",
        "rollout_us": "a rollout at 10% of the calls",
        "ejected_us": "40% of the members ejected",
        "callers_key_us": "by the caller's key",
    }
    sizes = " | ".join(f"{row['members']:,} members" for row in rows)
    lines = [f"| choice in a service of | {sizes} |", "|---" * (len(rows) + 1) + "|"]
    for name, what in names.items():
        costs = " | ".join(f"{row[name]:.0f} us" for row in rows)
        lines.append(f"| {what} | {costs} |")
    return "\n".join(lines)


def _request_table(estimates: _Estimates) -> str:
    lines = [
        "| calls/s per path | path | added p50 | added p99 | ratio p50, p99 | "
        "CPU per call, proxy, gate |",
        "|---|---|---|---|---|---|",
    ]
    for row in estimates.measured.requests:
        for name, path in row["ways"].items():
            if name != "direct GET":
                lines.append(
                    f"| {row['calls_per_s_each_way']:g} | {name} | "
                    f"{path['added_p50_ms']:.1f} ms | {path['added_p99_ms']:.1f} ms | "
                    f"{path['ratio_p50']:.2f}, {path['ratio_p99']:.2f} | "
                    f"{row['proxy_cpu_ms_per_call']:.2f}, "
                    f"{row['gate_cpu_ms_per_call']:.2f} ms |"
                )
    return "\n".join(lines)


def _start_table(measured: Measurements) -> str:
    lines = ["| release | processor time | resident memory |", "|---|---|---|"]
    for label, row in measured.starts.items():
        memory = _megabytes(row["resident_bytes"])
        lines.append(f"| {label} | {row['cpu_s']:.2f} s | {memory} |")
    return "\n".join(lines)


def _overload_table(estimates: _Estimates) -> str:
    overload = estimates.measured.overload
    rows = {f"{load} times": row for load, row in overload["loads"].items()}
    rows |= {f"workspace {name}": row for name, row in overload["tenants"].items()}
    lines = [
        "| load | calls | goodput | not run | may have run | p50, p99 of good calls |",
        "|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {row['calls']} | {row['goodput_per_s']:.0f}/s | "
        f"{row['not_run']} | {row['may_have_run']} | {row['good_p50_ms']:.0f}, "
        f"{row['good_p99_ms']:.0f} ms |"
        for name, row in rows.items()
    ]
    return "\n".join(lines)


def _event_table(estimates: _Estimates) -> str:
    wire_bytes = estimates.measured.members["members"][-1]["member_wire_bytes"]
    zone_size = INSTANCE_COUNT // ZONE_COUNT
    change_s = estimates.slopes["change_s"].at(INSTANCE_COUNT)
    zone_bytes = zone_size * wire_bytes * _SENDS_PER_UPDATE / _UPDATES_PER_MESSAGE
    zone_gossip_s = zone_size * _SENDS_PER_UPDATE / _UPDATES_PER_MESSAGE / 2
    whole_bytes = estimates.measured.members["configs"][-1]["whole_bytes"]
    partition_bytes = INSTANCE_COUNT * wire_bytes
    rows = [
        (
            f"{FAILURES_PER_DAY} VM failures and {RESTARTS_PER_DAY} restarts per day",
            f"{estimates.member_events_per_s * 60:.1f} member events per minute, "
            f"{change_s * estimates.member_events_per_s:.3%} of a core for ranking",
            "estimated from slopes",
        ),
        (
            "a rack of 40 nodes fails",
            f"40 membership updates per node, {40 * wire_bytes / 1e3:.0f} KB; "
            "suspected within 2 probes, declared dead 4 s later",
            "estimated",
        ),
        (
            f"a zone of {zone_size} nodes fails",
            f"{zone_size} membership updates per node, forwarded "
            f"{_UPDATES_PER_MESSAGE} per message: about {zone_gossip_s:.0f} s "
            "until the queue is empty, "
            f"{zone_bytes / zone_gossip_s / 1e3:.1f} KB/s meanwhile; ranking takes "
            f"{zone_size * change_s:.1f} s of CPU time in total",
            "estimated, not measured",
        ),
        (
            f"a zone of {zone_size} nodes returns",
            f"{zone_size} starting nodes read {2 * zone_size} objects; "
            f"{zone_size * whole_bytes / 1e6:.0f} MB of snapshots from peers, "
            "two long replies at a time from each",
            "measured with half of 200 nodes, see above",
        ),
        (
            "two regions partitioned for five minutes",
            "each side declares the other dead, and the members refute it afterwards: "
            f"about {partition_bytes / 1e6:.1f} MB per node in bucket exchanges; "
            "**over** the control budget for some minutes",
            "estimated, not measured; see below",
        ),
        (
            "platform down for an hour",
            "only probes for its return, with a backoff of up to 5 s with jitter on "
            "each node; configuration and rollouts stay as they are; "
            "aborts still spread",
            "tested, not at the target size",
        ),
    ]
    lines = ["| event | cost | basis |", "|---|---|---|"]
    lines += [f"| {event} | {cost} | {basis} |" for event, cost, basis in rows]
    return "\n".join(lines)


def render(measured: Measurements) -> str:
    """Return the text of the page."""
    estimates = _Estimates(measured)
    header = "| role | state | messages | CPU | memory | platform calls | mechanism |"
    roles = [header, "|---|---|---|---|---|---|---|"]
    roles += ["| " + " | ".join(row) + " |" for row in _role_rows(estimates)]
    fleets = [fleet["nodes"] for fleet in measured.fleets]
    largest_simulated = measured.long_versions[-1]["nodes"]
    return f"""# Capacity

Written by `python -m bench.capacity` from `bench/results/*.json`; no number is
entered by hand. The measurements come from these commands, all run on one shared
machine with 8 cores:

- `python -m bench.distribution {" ".join(map(str, fleets))} --changes 15 --idle-s 20`:
  real node processes, {SERVICE_COUNT} services configured; the largest fleet is
  {INSTANCE_COUNT / fleets[-1]:.0f} times smaller than the target size
- `python -m bench.members`: one process with up to {INSTANCE_COUNT} members, which is
  the target size
- `python -m bench.placement`: one process with the members of one service
- `python -m bench.long_versions`: the overlay parts of up to {largest_simulated}
  nodes, in virtual time over simulated links; CPU time is not included
- `python -m bench.requests`: two nodes and a backend server, compared to direct
  calls

## Target size

{INSTANCE_COUNT:,} instances in {SERVICE_COUNT:,} services, {ZONE_COUNT} availability
zones in 5 regions, {CALLS_PER_S:,} calls per second, {CHANGES_PER_DAY:,} changes
per day.

{_budget_table(estimates)}

The latency added to a call is over budget. Both nodes spend it on parsing and
writing HTTP and on task switches. Two changes would reduce it: answering calls to the
node's own backend server without a connection to itself, and sending idempotent reads
in one hop. Convergence is estimated with the 99th percentile of a complete spread for
each hop, on a machine that all nodes share.

## Roles

{chr(10).join(roles)}

## Slopes

{_slope_table(estimates)}

Idle costs of the real fleets are taken from the largest one, because their slopes are
within the noise of the machine. Costs that grow with the number of members are measured
at the target size in one process.

## A version too large for a datagram

A version that adds 1,200 routes, sent by one node per zone over links of 10 Mbit/s, in
three zones:

{_long_versions_table(estimates)}

A node sends two long replies at a time, and refers two waiting nodes to each node that
has received its reply, so the number of sources triples in the time of two replies.
That takes {_rounds_to_reach(largest_simulated)} rounds for the largest fleet in the
table, and {_rounds_to_reach(INSTANCE_COUNT)} for {INSTANCE_COUNT:,} nodes, which were
not run. How much one node sends depends on how long others lack the version, not on the
size of the fleet.

## Choosing a backend server

{_placement_table(estimates)}

CPU time of one choice. In a service of up to 16 members all of them are compared, in a
larger one a sample of 16, so the cost does not grow with the service. A choice by the
caller's key compares all members, because every node must choose the same one. In a
large service, ejected members are counted while most of a sample is ejected.

## Fleets of real processes

{_fleet_table(estimates)}

The naive variant polls the platform once per second from every node, so its calls grow
with the fleet. Its column includes the calls of the nodes, which ran at the same time;
those are bounded by three candidates and two relays per zone. All processes share 8
cores, so the time to spread a change grows with the CPU time of all of them.

## Calls

{_request_table(estimates)}

`python -m bench.overload`: two gates with 8 slots each and calls of 100 ms, which
gives a capacity of {measured.overload["capacity_per_s"]:.0f} calls per second, with a
deadline of 500 ms; then a noisy workspace at twice the capacity next to a quiet one at
10% of it.

{_overload_table(estimates)}

## Starts of a node

`python -m bench.starts`: a node until 1 s after it is ready, with no other node and no
configuration; medians of {measured.starts["this release"]["starts"]:.0f} starts. Nearly
all of it is imports. `tests/node/test_imports.py` guards them.

{_start_table(measured)}

## Ordinary days and incidents

{_event_table(estimates)}

A partition between regions is the weakest point, because each member adds to the cost
of recovery. Delaying the verdict "dead" for a whole region that falls silent at once
would bring the cost within the budget; this is not implemented.
"""


def main() -> None:
    """Write the page."""
    _PAGE_PATH.write_text(render(_read_measurements()))


if __name__ == "__main__":
    main()
