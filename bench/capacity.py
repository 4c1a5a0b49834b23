"""Writes docs/CAPACITY.md from the measurements under bench/results.

Usage: python -m bench.capacity
"""

import json
import math
from pathlib import Path
from typing import Any, NamedTuple

from bench.accounting import Line, fit_line

_ROOT = Path(__file__).parent.parent
_RESULTS = _ROOT / "bench" / "results"
_PAGE = _ROOT / "docs" / "CAPACITY.md"

INSTANCES = 12_000
SERVICES = 1_900
ZONES = 15
CALLS_PER_S = 910_000
CHANGES_PER_DAY = 8_800
FAILURES_PER_DAY = 47
RESTARTS_PER_DAY = 1_300
DAY_S = 86_400
CPU_BUDGET = 0.017
MEMORY_BUDGET_BYTES = 256e6
CONTROL_BUDGET_BYTES_PER_S = 7_000
ADDED_BUDGET_MS = 1.6
CONVERGENCE_BUDGET_S = 3.0
_FANOUT = 8
_SPREAD_COPIES = 2
_GOSSIP_REPEATS = 3 * 14
_MEMBERS_PER_PING = 6
_EVENTS_PER_RESTART = 4


class Measurements(NamedTuple):
    """All that was measured."""

    fleets: list[dict[str, Any]]
    members: dict[str, Any]
    requests: list[dict[str, Any]]
    overload: dict[str, Any]
    placement: dict[str, Any]
    long_versions: list[dict[str, Any]]


class Row(NamedTuple):
    """One row of the table of roles."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str
    platform: str
    mechanism: str


def _read() -> Measurements:
    def load(name: str) -> Any:
        return json.loads((_RESULTS / f"{name}.json").read_text())

    return Measurements(
        load("distribution"),
        load("members"),
        load("requests"),
        load("overload"),
        load("placement"),
        load("long_versions"),
    )


class _Figures:
    """Figures at the size aimed for, worked out from slopes."""

    def __init__(self, measured: Measurements) -> None:
        self.measured = measured
        slopes = measured.members["slopes"]
        self.slopes = {name: Line(**line) for name, line in slopes.items()}
        self.changes_per_s = CHANGES_PER_DAY / DAY_S
        events = FAILURES_PER_DAY * 2 + RESTARTS_PER_DAY * _EVENTS_PER_RESTART
        self.member_events_per_s = events / DAY_S

    def fleet_line(self, window: str, role: str, figure: str) -> Line:
        """Fit a figure of the real fleets against their size."""
        return fit_line(
            [
                (fleet["nodes"], fleet[window][role][figure]["mean"])
                for fleet in self.measured.fleets
            ]
        )

    def largest(self, window: str, role: str, figure: str) -> float:
        """Return a figure of the largest real fleet."""
        return self.measured.fleets[-1][window][role][figure]["mean"]

    def change_cost(self, role: str, figure: str) -> float:
        """Return what one change costs a node, from the largest real fleet."""
        fleet = self.measured.fleets[-1]
        idle = fleet["idle"][role][figure]["mean"]
        changing = fleet["changing"][role][figure]["mean"]
        rate = fleet["changing"]["changes"] / fleet["changing"]["seconds_s"]
        return max(0.0, changing - idle) / rate

    def cpu_share(self, role: str) -> float:
        """Return the control's share of a core at the size aimed for."""
        idle = self.largest("idle", role, "cpu_share")
        changes = self.change_cost(role, "cpu_share") * self.changes_per_s
        ranking = self.slopes["change_s"].at(INSTANCES) * self.member_events_per_s
        return idle + changes + ranking

    def control_bytes_per_s(self, role: str) -> float:
        """Return the bytes sent a second at the size aimed for."""
        idle = self.largest("idle", role, "sent_bytes_per_s")
        changes = self.change_cost(role, "sent_bytes_per_s") * self.changes_per_s
        wire_bytes = self.measured.members["members"][-1]["member_wire_bytes"]
        events = self.member_events_per_s * wire_bytes * 2 * _SPREAD_COPIES
        return idle + changes + events

    def memory_bytes(self, role: str) -> float:
        """Return the resident memory at the size aimed for."""
        base = self.largest("changing", role, "resident_bytes")
        return base + self.slopes["memory_bytes"].at(INSTANCES)

    def platform_calls_per_s(self, window: str) -> dict[str, float]:
        """Return the platform's calls a second in the largest real fleet."""
        return self.measured.fleets[-1][window]["platform_calls_per_s"]

    def depth(self) -> int:
        """Return the hops from the origin to the last node of a zone."""
        left, depth = INSTANCES // ZONES, 1
        while left > 0:
            left -= _FANOUT ** (depth - 1)
            depth += 1
        return depth

    def convergence_s(self) -> float:
        """Return the time from acceptance to the last node, hop by hop.

        Every hop is given the 99th percentile of a whole spread in the smallest
        fleet, which took two hops or more there.
        """
        return self.depth() * self.measured.fleets[0]["convergence"]["p99_s"]


def _percent(share: float) -> str:
    return f"{share:.2%}"


def _megabytes(size_bytes: float) -> str:
    return f"{size_bytes / 1e6:.0f} MB"


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else "**over**"


def _roles(figures: _Figures) -> list[Row]:
    request = figures.measured.requests[1]
    calls_a_node = CALLS_PER_S / INSTANCES
    proxy_cpu = calls_a_node * request["proxy_cpu_ms_per_call"] / 1000
    gate_cpu = calls_a_node * request["gate_cpu_ms_per_call"] / 1000
    config_bytes = figures.slopes["config_memory_bytes"].at(SERVICES)
    per_pull = figures.measured.members["configs"][-1]["whole_bytes"]
    calls = figures.platform_calls_per_s("changing")
    reads = calls.get("GET objects", 0) + calls.get("GET list", 0)
    return [
        Row(
            "node as proxy",
            "snapshot, index of endpoints, links in use",
            f"{calls_a_node:.0f} calls/s, 2 frames each way",
            f"{_percent(proxy_cpu)} of a core for calls",
            f"{_megabytes(config_bytes)} for the snapshot",
            "none",
            "route index, two choices, link for each peer in use",
        ),
        Row(
            "node as gate",
            "slots, queue, ids of running calls that are not idempotent",
            f"{calls_a_node:.0f} calls/s, one HTTP call each",
            f"{_percent(gate_cpu)} of a core for calls",
            "ids until their deadline and 5 s",
            "none",
            "slot limiter, dedupe table, curl multi handle",
        ),
        Row(
            "member",
            f"{INSTANCES} members, all records",
            f"{figures.control_bytes_per_s('others'):.0f} bytes/s sent",
            f"{_percent(figures.cpu_share('others'))} of a core",
            f"{_megabytes(figures.memory_bytes('others'))} in all",
            "2 reads a start, 0 after",
            "one probe a second, rumours on probes, two trees, digests",
        ),
        Row(
            "relay, 1 a zone, 3 at least",
            "as a member",
            f"{figures.control_bytes_per_s('relays'):.0f} bytes/s sent",
            f"{_percent(figures.cpu_share('relays'))} of a core",
            f"{_megabytes(figures.memory_bytes('relays'))} in all",
            f"{reads / ZONES:.2f} reads, "
            f"{calls.get('PUT objects', 0) / ZONES:.2f} writes, "
            f"{calls.get('GET watch', 0) / ZONES:.2f} watches a second and zone",
            "first by rank, watch; figures from two a zone that also held leases",
        ),
        Row(
            "move owner, 1 a move",
            "two histograms and four tests a route and class",
            "4 datagrams/s from each gate of the service",
            "not measured",
            "not measured",
            "1 lease write/s, 3 candidates' reads, 1 write a step",
            "rank, lease with fencing, conditional updates",
        ),
        Row(
            "reporter, 1 a zone",
            f"{INSTANCES // ZONES} states, {ZONES} summaries",
            f"{INSTANCES // ZONES} reports a change, {ZONES - 1} summaries",
            "in the relay's and member's figures",
            "in the relay's and member's figures",
            "none",
            "rank; reports in datagrams, one summary a zone",
        ),
        Row(
            "operator's command line",
            "none",
            "1 status call each 0.1 s while waiting",
            "one process a command",
            "one process a command",
            "about 4 reads and 2 to 3 writes a change",
            "conditional update with a token",
        ),
        Row(
            "platform, used by all",
            f"head, parts ({per_pull / 1e3:.0f} KB uncompressed), rosters, leases",
            f"{sum(calls.values()):.0f} calls/s, measured",
            "theirs",
            "theirs",
            f"{sum(calls.values()):.0f} calls/s at "
            f"{figures.measured.fleets[-1]['nodes']} nodes; by size below",
            "only relays, candidates and starting nodes call it",
        ),
    ]


def _budget_table(figures: _Figures) -> str:
    request = figures.measured.requests[1]["ways"]["two nodes GET"]
    cpu = max(figures.cpu_share(role) for role in ("others", "relays"))
    memory = max(figures.memory_bytes(role) for role in ("others", "relays"))
    control = max(figures.control_bytes_per_s(r) for r in ("others", "relays"))
    converge = figures.convergence_s()
    added = request["added_p99_ms"]
    lines = [
        "| budget | target | worked out | verdict |",
        "|---|---|---|---|",
        f"| accepted to in force everywhere | {CONVERGENCE_BUDGET_S:g} s | "
        f"{converge:.1f} s in {figures.depth()} hops | "
        f"{_verdict(converge, CONVERGENCE_BUDGET_S)} |",
        f"| control, processor | {_percent(CPU_BUDGET)} of a core | {_percent(cpu)} | "
        f"{_verdict(cpu, CPU_BUDGET)} |",
        f"| control, memory | {_megabytes(MEMORY_BUDGET_BYTES)} | "
        f"{_megabytes(memory)} | {_verdict(memory, MEMORY_BUDGET_BYTES)} |",
        f"| control, bytes sent | {CONTROL_BUDGET_BYTES_PER_S / 1e3:g} KB/s | "
        f"{control / 1e3:.1f} KB/s | {_verdict(control, CONTROL_BUDGET_BYTES_PER_S)} |",
        f"| added to a call, 99 in 100 | {ADDED_BUDGET_MS:g} ms | {added:.1f} ms "
        f"({request['ratio_p99']:.1f} times a direct call) | "
        f"{_verdict(added, ADDED_BUDGET_MS)} |",
    ]
    return "\n".join(lines)


def _fleet_table(figures: _Figures) -> str:
    lines = [
        "| nodes | in force p50, p99, last | naive p50, p99 | platform calls/s idle, "
        "changing, naive | CPU idle | sent idle | half back: members known |",
        "|---|---|---|---|---|---|---|",
    ]
    for fleet in figures.measured.fleets:
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


def _slope_table(figures: _Figures) -> str:
    names = {
        "memory_bytes": ("memory of the member table", INSTANCES, "bytes", "members"),
        "change_s": ("one member's change, ranks anew", INSTANCES, "s", "members"),
        "origin_s": ("origin of a spread after it", INSTANCES, "s", "members"),
        "config_memory_bytes": ("memory of a snapshot", SERVICES, "bytes", "services"),
        "config_whole_s": ("a whole configuration applied", SERVICES, "s", "services"),
        "config_delta_s": ("one section's change applied", SERVICES, "s", "services"),
    }
    lines = [
        "| what | slope | at the size aimed for | largest distance from the line |",
        "|---|---|---|---|",
    ]
    for name, (what, size, unit, by) in names.items():
        line = figures.slopes[name]
        lines.append(
            f"| {what} | {line.slope:.3g} {unit} a {by[:-1]} | {line.at(size):.3g} "
            f"{unit} at {size} {by} | {line.worst_error:.0%} |"
        )
    for role in ("others", "relays"):
        for figure in ("cpu_share", "sent_bytes_per_s", "resident_bytes"):
            line = figures.fleet_line("idle", role, figure)
            lines.append(
                f"| idle {figure}, {role} | {line.slope:.3g} a node | not carried "
                f"beyond 200 nodes | {line.worst_error:.0%} |"
            )
    return "\n".join(lines)


def _rounds(nodes: int) -> int:
    """Return how often the sources of a version treble until all nodes have it."""
    return math.ceil(math.log(nodes, 3))


def _long_versions_table(figures: _Figures) -> str:
    rows = figures.measured.long_versions
    lines = [
        "| nodes | first other node | half of them | last | most sent by one node |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {row['nodes']} | {row['first_s']:.2f} s | {row['median_s']:.2f} s "
        f"| {row['last_s']:.2f} s | {row['busiest_bytes'] / 1e3:.0f} KB, "
        f"{row['busiest_deltas']:.1f} times the version |"
        for row in rows
    ]
    return "\n".join(lines)


def _placement_table(figures: _Figures) -> str:
    rows = figures.measured.placement["rows"]
    names = {
        "plain_us": "one version",
        "large_answer_us": "a large answer",
        "three_full_us": "three had no free slot",
        "two_versions_us": "a version that waits for its rollout",
        "rollout_us": "a rollout at a tenth of the calls",
        "ejected_us": "four in ten ejected",
        "callers_key_us": "a caller's key",
    }
    sizes = " | ".join(f"{row['members']:,} members" for row in rows)
    lines = [f"| choice in a service of | {sizes} |", "|---" * (len(rows) + 1) + "|"]
    for name, what in names.items():
        costs = " | ".join(f"{row[name]:.0f} us" for row in rows)
        lines.append(f"| {what} | {costs} |")
    return "\n".join(lines)


def _request_table(figures: _Figures) -> str:
    lines = [
        "| calls/s each way | way | added p50 | added p99 | ratio p50, p99 | "
        "CPU proxy, gate a call |",
        "|---|---|---|---|---|---|",
    ]
    for row in figures.measured.requests:
        for name, way in row["ways"].items():
            if name != "direct GET":
                lines.append(
                    f"| {row['calls_per_s_each_way']:g} | {name} | "
                    f"{way['added_p50_ms']:.1f} ms | {way['added_p99_ms']:.1f} ms | "
                    f"{way['ratio_p50']:.2f}, {way['ratio_p99']:.2f} | "
                    f"{row['proxy_cpu_ms_per_call']:.2f}, "
                    f"{row['gate_cpu_ms_per_call']:.2f} ms |"
                )
    return "\n".join(lines)


def _overload_table(figures: _Figures) -> str:
    overload = figures.measured.overload
    rows = {f"{load} times": row for load, row in overload["loads"].items()}
    rows |= {f"tenant {name}": row for name, row in overload["tenants"].items()}
    lines = [
        "| load | calls | good in time | not run | may have run | good p50, p99 |",
        "|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {row['calls']} | {row['goodput_per_s']:.0f}/s | "
        f"{row['not_run']} | {row['may_have_run']} | {row['good_p50_ms']:.0f}, "
        f"{row['good_p99_ms']:.0f} ms |"
        for name, row in rows.items()
    ]
    return "\n".join(lines)


def _bad_days(figures: _Figures) -> str:
    wire = figures.measured.members["members"][-1]["member_wire_bytes"]
    zone = INSTANCES // ZONES
    change_s = figures.slopes["change_s"].at(INSTANCES)
    zone_bytes = zone * wire * _GOSSIP_REPEATS / _MEMBERS_PER_PING
    zone_seconds = zone * _GOSSIP_REPEATS / _MEMBERS_PER_PING / 2
    whole = figures.measured.members["configs"][-1]["whole_bytes"]
    split = INSTANCES * wire
    rows = [
        (
            f"{FAILURES_PER_DAY} VM failures, {RESTARTS_PER_DAY} restarts",
            f"{figures.member_events_per_s * 60:.1f} member events a minute, "
            f"{change_s * figures.member_events_per_s:.3%} of a core for ranks",
            "worked out from slopes",
        ),
        (
            "a rack of 40 lost",
            f"40 rumours a node, {40 * wire / 1e3:.0f} KB; suspected within 2 probes, "
            "dead 4 s later",
            "worked out",
        ),
        (
            f"a zone of {zone} lost",
            f"{zone} rumours a node; handed on at {_MEMBERS_PER_PING} a message, about "
            f"{zone_seconds:.0f} s until the queue is empty, "
            f"{zone_bytes / zone_seconds / 1e3:.1f} KB/s meanwhile; ranks anew cost "
            f"{zone * change_s:.1f} s of processor time over that time",
            "worked out, not run",
        ),
        (
            f"a zone of {zone} back",
            f"{zone} starts read {2 * zone} objects; {zone * whole / 1e6:.0f} MB of "
            "snapshots from peers, two long replies at a time from each",
            "half of 200 nodes run, see below",
        ),
        (
            "two regions apart for five minutes",
            "both sides call the other dead and refute afterwards: about "
            f"{split / 1e6:.1f} MB a node over the exchange of buckets; **over** the "
            "control budget for some minutes",
            "worked out, not run; see below",
        ),
        (
            "platform down for an hour",
            "no call but probes for its return, each node backs off to 5 s with "
            "jitter; configuration and moves stand; aborts spread",
            "run in tests, not at size",
        ),
    ]
    lines = ["| day | what it costs | how known |", "|---|---|---|"]
    lines += [f"| {day} | {cost} | {how} |" for day, cost, how in rows]
    return "\n".join(lines)


def render(measured: Measurements) -> str:
    """Return the page."""
    figures = _Figures(measured)
    header = "| role | state | messages | processor | memory | platform | mechanism |"
    roles = [header, "|---|---|---|---|---|---|---|"]
    roles += ["| " + " | ".join(row) + " |" for row in _roles(figures)]
    fleets = [fleet["nodes"] for fleet in measured.fleets]
    linked = measured.long_versions[-1]["nodes"]
    return f"""# Capacity

Written by `python -m bench.capacity` from `bench/results/*.json`; no figure here is
typed by hand. The measurements come from these commands, all on one shared machine of 8
cores:

- `python -m bench.distribution {" ".join(map(str, fleets))} --changes 15 --idle-s 20`:
  real node processes, {SERVICES} services configured; the largest fleet is
  {INSTANCES / fleets[-1]:.0f} times smaller than the size aimed for
- `python -m bench.members`: one process with up to {INSTANCES} members, the size itself
- `python -m bench.placement`: one process, the members of one service
- `python -m bench.long_versions`: the parts of up to {linked} nodes in virtual time,
  over links in a model; no processor time in it
- `python -m bench.requests`: two nodes and a backend server, beside direct calls

## The size aimed for

{INSTANCES:,} instances in {SERVICES:,} services, {ZONES} availability zones in 5
regions, {CALLS_PER_S:,} calls a second, {CHANGES_PER_DAY:,} changes a day.

{_budget_table(figures)}

What is over budget, and what would bring it under: the time added to a call. Both nodes
spend it in parsing and writing HTTP and in task switches; the next steps are to answer
calls to the node's own backend server without a connection to itself, and to send
idempotent reads in one hop. Convergence is worked out with the 99th percentile of a
whole spread for each hop, on a machine that all nodes share.

## Roles

{chr(10).join(roles)}

## Slopes

{_slope_table(figures)}

Idle figures of the real fleets are taken from the largest one: their slopes are within
the noise of the machine, and what grows with the members is measured at full size in
one process.

## A version too long for a datagram

1,200 routes more, from one node a zone, over links of 10 Mbit/s; three zones:

{_long_versions_table(figures)}

A node sends two long replies at a time, and each node that has its reply is named to
two that wait, so that the sources treble in the time of two replies. That makes
{_rounds(linked)} rounds for the largest fleet here, and {_rounds(INSTANCES)} for
{INSTANCES:,} nodes, which were not run. What one node sends depends on how long others
lack the version, not on the size of the fleet.

## Choosing a backend server

{_placement_table(figures)}

Processor time of one choice. All members of up to 16 are compared, 16 of a larger
service, so that it does not grow; a caller's key still compares all, because every node
must find the same one, and ejected members are counted in a large service while most of
a sample is ejected.

## Fleets of real processes

{_fleet_table(figures)}

The naive version polls the platform once a second from every node. Its calls grow with
the fleet (the column holds ours too, which ran beside it); ours are bounded by three
candidates and two relays a zone. All processes
share 8 cores, so that the spread of a change grows with the processor time of all.

## Calls

{_request_table(figures)}

`python -m bench.overload`: two gates with 8 slots and 100 ms a call each, so that
{measured.overload["capacity_per_s"]:.0f} calls a second are the capacity, and a
deadline of 500 ms; then a noisy tenant at twice the capacity beside a quiet one at a
tenth of it.

{_overload_table(figures)}

## Ordinary and bad days

{_bad_days(figures)}

A split of regions is the weakest point: the return is paid member by member. Holding
back the verdict "dead" for a whole region that falls silent at once would bring it
under; it is not built.
"""


def main() -> None:
    """Write the page."""
    _PAGE.write_text(render(_read()))


if __name__ == "__main__":
    main()
