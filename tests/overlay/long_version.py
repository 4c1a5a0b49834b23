"""Simulated distribution of a long version over links of a given bandwidth.

A long version is one whose delta does not fit in a datagram.
"""

import asyncio
import random
import string
from typing import NamedTuple

from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY
from tests.overlay.link_network import LinkNetwork, LinkNode
from tests.overlay.links import LinkSpeed
from tests.virtual_time import run_virtually

# Documented maximum time from a change until every node applies it.
DISTRIBUTION_LIMIT_S = 2.5
# Nodes that receive versions from the platform, one per zone.
RELAYS = (0, 1, 2)
_ZONES = 3
_SERVICES = 20
_INITIAL_ROUTES = 300
_ADDED_ROUTES = 1200
_LONG_VERSION = 2
_BURST_START_S = 0.4
_BURST_INTERVAL_S = 0.22
_LINK_STOP_DELAY_S = 0.05
# Time for the failure detectors to start probing before the first change.
_WARM_UP_S = 1.0
# End of a run in which not all nodes apply the newest version. It is far above
# DISTRIBUTION_LIMIT_S so that the times of late nodes are measured as well.
_RUN_TIMEOUT_S = 20.0
_STOPPED_LINK = LinkSpeed(0, 0)


class _Change(NamedTuple):
    """A version, and when the relays receive it.

    :param at_s: seconds after the long version.
    """

    at_s: float
    record: Record


class DistributionResult(NamedTuple):
    """Measurements of one distribution; times exclude the relays.

    :param long_s: seconds until each node applied the long version or a newer one.
    :param newest_s: seconds from the last change until each node applied it.
    :param fetches: number of connections opened to fetch missing state.
    :param late_fetches: number of those opened after the time limit of the long
        version.
    :param busiest_bytes: stream bytes sent by the node that sent the most.
    """

    long_s: list[float]
    newest_s: list[float]
    fetches: int
    late_fetches: int
    busiest_bytes: int

    @property
    def late_count(self) -> int:
        """Number of times that exceed the limit."""
        return sum(s > DISTRIBUTION_LIMIT_S for s in self.long_s + self.newest_s)

    def __str__(self) -> str:
        times_s = sorted(self.long_s)
        return (
            f"long version: first {times_s[0]:.2f} s, median "
            f"{times_s[len(times_s) // 2]:.2f} s, last {times_s[-1]:.2f} s, "
            f"late {sum(s > DISTRIBUTION_LIMIT_S for s in times_s)} of {len(times_s)}; "
            f"newest: last {max(self.newest_s):.2f} s, "
            f"late {sum(s > DISTRIBUTION_LIMIT_S for s in self.newest_s)}; "
            f"fetches {self.fetches}, after the time limit {self.late_fetches}; "
            f"busiest node sent {self.busiest_bytes} bytes"
        )


def distribute_long_version(
    speeds: list[LinkSpeed],
    *,
    small_versions: int,
    stopped: int | None = None,
    routes: int = _ADDED_ROUTES,
) -> DistributionResult:
    """Distribute a version that adds many routes, then a burst of small versions.

    :param speeds: link speed of each node.
    :param small_versions: number of small versions in the burst.
    :param stopped: index of a node whose link stops soon after the long version was
        published; its times are not measured.
    :param routes: number of routes that the long version adds.
    """
    changes = _changes(small_versions, routes)
    return _Simulation(speeds, changes, stopped).run()


def long_delta() -> bytes:
    """Return the uncompressed delta of the long version."""
    initial, long = initial_document(), long_document()
    added = {k: v for k, v in long.sections.items() if k not in initial.sections}
    return long._replace(sections=added).encode()


class _Simulation:
    """One simulated distribution."""

    def __init__(
        self, speeds: list[LinkSpeed], changes: list[_Change], stopped: int | None
    ) -> None:
        self._changes = changes
        self._stopped = stopped
        self._speeds = speeds

    def run(self) -> DistributionResult:
        """Run until all nodes apply the newest version, at least until the limit."""
        run_virtually(self._distribute())
        return self._result

    async def _distribute(self) -> None:
        self._network = LinkNetwork(self._speeds, zones=_ZONES)
        self._network.start(record_of(initial_document()))
        await asyncio.sleep(_WARM_UP_S)
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        for change in self._changes:
            loop.call_at(self._started_s + change.at_s, self._publish, change.record)
        if self._stopped is not None:
            loop.call_at(
                self._started_s + _LINK_STOP_DELAY_S, self._stop_link, self._stopped
            )
        await self._wait_until_applied()
        self._result = self._collect_result()
        self._network.close()

    def _publish(self, record: Record) -> None:
        for i in RELAYS:
            self._network.nodes[i].spreader.broadcast_record(record)

    def _stop_link(self, node: int) -> None:
        self._network.set_speed(node, _STOPPED_LINK)

    async def _wait_until_applied(self) -> None:
        newest = self._changes[-1].record.version
        await asyncio.sleep(self._changes[-1].at_s + DISTRIBUTION_LIMIT_S)
        end_s = self._started_s + _RUN_TIMEOUT_S
        while asyncio.get_running_loop().time() < end_s:
            if all(
                node.config.snapshot.version >= newest
                for node in self._measured_nodes()
            ):
                return
            await asyncio.sleep(0.1)

    def _measured_nodes(self) -> list[LinkNode]:
        """Return the nodes whose times are measured."""
        excluded = {*RELAYS, self._stopped}
        return [node for node in self._network.nodes if node.index not in excluded]

    def _collect_result(self) -> DistributionResult:
        last = self._changes[-1]
        last_s = self._started_s + last.at_s
        times_s = [f.at_s - self._started_s for f in self._network.fetches]
        return DistributionResult(
            long_s=[
                node.applied_at_s(_LONG_VERSION) - self._started_s
                for node in self._measured_nodes()
            ],
            newest_s=[
                node.applied_at_s(last.record.version) - last_s
                for node in self._measured_nodes()
            ],
            fetches=sum(s >= 0 for s in times_s),
            late_fetches=sum(s > DISTRIBUTION_LIMIT_S for s in times_s),
            busiest_bytes=max(
                self._network.stream_bytes(node.index) for node in self._network.nodes
            ),
        )


def _changes(small_versions: int, routes: int) -> list[_Change]:
    """Return the long version, and small ones that change one route timeout each."""
    document = long_document(routes)
    changes = [_Change(0.0, record_of(document))]
    names = [name for name in document.sections if name.startswith("route ")]
    for i, name in enumerate(random.Random(3).sample(names, small_versions)):
        changed = {**document.sections[name], "timeout_ms": str(6000 + i)}
        document = document._replace(
            version=document.version + 1,
            sections={**document.sections, name: changed},
        )
        at_s = _BURST_START_S + i * _BURST_INTERVAL_S
        changes.append(_Change(at_s, record_of(document)))
    return changes


def initial_document() -> ConfigDocument:
    """Return the version that all nodes have at the start."""
    sections: Sections = {f"service service-{i}": {} for i in range(_SERVICES)}
    sections |= _routes(random.Random(1), _INITIAL_ROUTES)
    return ConfigDocument(1, sections, author="operator")


def long_document(routes: int = _ADDED_ROUTES) -> ConfigDocument:
    """Return the version that adds many routes."""
    initial = initial_document()
    sections = initial.sections | _routes(random.Random(2), routes)
    return initial._replace(version=_LONG_VERSION, sections=sections)


def _routes(rng: random.Random, count: int) -> Sections:
    """Return routes with random names, hosts and paths, which compress poorly."""
    return {
        f"route {_word(rng, 10)}": {
            "path": f"/{_word(rng, 8)}",
            "host": f"{_word(rng, 10)}.example",
            "kind": "idempotent",
            "class": "idempotent",
            "retries": str(rng.randrange(3)),
            "priority": str(rng.randrange(10)),
            "timeout_ms": str(rng.randrange(100, 5000)),
            "service": f"service-{rng.randrange(_SERVICES)}",
        }
        for _ in range(count)
    }


def _word(rng: random.Random, length: int) -> str:
    return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))


def record_of(document: ConfigDocument) -> Record:
    """Return the record in which nodes store a document."""
    return Record(CONFIG_KEY, document.version, document.encode())
