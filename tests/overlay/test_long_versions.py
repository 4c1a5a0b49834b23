"""The time until a version too long for a datagram is in force everywhere."""

import asyncio
import random
import string
import zlib
from typing import NamedTuple

import testtools

from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY
from tests.overlay.link_network import LinkNetwork, LinkSpeed
from tests.virtual_time import run_virtually

_NODES = 83
_ZONES = 3
_SOURCES = (0, 1, 2)
_ROUTES_BEFORE = 300
_ROUTES_ADDED = 1200
_LONG_VERSION = 2
_STORM_VERSIONS = 20
_STORM_FROM_S = 0.4
_STORM_INTERVAL_S = 0.22
# What users are promised, from the last change on.
_BOUND_S = 2.5
# When a run is given up; what is late is told with its true time until then.
_PATIENCE_S = 20.0
# Copies of a version that one node may send.
_MOST_COPIES = 16
_FEW_FETCHES = 5
_LINK = LinkSpeed(10e6, 10e6)
_SLOW_LINK = LinkSpeed(5e6, 5e6)
_NO_LINK = LinkSpeed(0, 0)


class _Change(NamedTuple):
    """A version, and the time from which on the sources have it."""

    at_s: float
    record: Record


def _name(rng: random.Random, length: int) -> str:
    return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))


def _routes(rng: random.Random, count: int) -> Sections:
    """Return routes whose names, hosts and paths are the parts hard to compress."""
    return {
        f"route {_name(rng, 12)}": {
            "path": f"/{_name(rng, 6)}/{_name(rng, 8)}",
            "host": f"{_name(rng, 10)}.mesh.example",
            "kind": "idempotent",
            "class": "idempotent",
            "retries": str(rng.randrange(3)),
            "priority": str(rng.randrange(10)),
            "timeout_ms": str(rng.randrange(100, 5000)),
            "service": f"service-{rng.randrange(20)}",
        }
        for _ in range(count)
    }


def _first_document() -> ConfigDocument:
    sections: Sections = {f"service service-{i}": {} for i in range(20)}
    sections |= _routes(random.Random(1), _ROUTES_BEFORE)
    return ConfigDocument(1, sections, author="operator")


def _long_document(added: int = _ROUTES_ADDED) -> ConfigDocument:
    first = _first_document()
    sections = {**first.sections, **_routes(random.Random(2), added)}
    return first._replace(version=_LONG_VERSION, sections=sections)


def _record(document: ConfigDocument) -> Record:
    return Record(CONFIG_KEY, document.version, document.encode())


def _changes(*, storm: int) -> list[_Change]:
    """Return the long version and so many small ones after it."""
    document = _long_document()
    changes = [_Change(0.0, _record(document))]
    names = [name for name in document.sections if name.startswith("route ")]
    for i, name in enumerate(random.Random(3).sample(names, storm)):
        changed = {**document.sections[name], "timeout_ms": str(6000 + i)}
        document = document._replace(
            version=document.version + 1,
            sections={**document.sections, name: changed},
        )
        at_s = _STORM_FROM_S + i * _STORM_INTERVAL_S
        changes.append(_Change(at_s, _record(document)))
    return changes


class _Figures(NamedTuple):
    """What came of a run.

    :param long_s: seconds until each node had the long version or a newer one.
    :param newest_s: seconds from the last change until each node had it.
    """

    long_s: list[float]
    newest_s: list[float]
    fetches: int
    late_fetches: int
    busiest_bytes: int

    @property
    def summary(self) -> str:
        """The figures in one line."""
        late = sum(s > _BOUND_S for s in self.long_s)
        late_newest = sum(s > _BOUND_S for s in self.newest_s)
        return (
            f"long version: last node {max(self.long_s):.2f} s, {late} late; "
            f"newest: last node {max(self.newest_s):.2f} s, {late_newest} late; "
            f"fetches {self.fetches}, {self.late_fetches} of them past the bound; "
            f"busiest node sent {self.busiest_bytes} bytes"
        )


class _Run:
    """One spread of the long version.

    :param stopped: a source whose link stands still soon after it began.
    """

    def __init__(
        self,
        speeds: list[LinkSpeed],
        *,
        storm: int = _STORM_VERSIONS,
        stopped: int | None = None,
    ) -> None:
        self._changes = _changes(storm=storm)
        self._stopped = stopped
        self._speeds = speeds

    def figures(self) -> _Figures:
        """Run until all nodes have the newest version, and past the bound."""
        run_virtually(self._spread())
        return self._figures

    async def _spread(self) -> None:
        network = LinkNetwork(self._speeds, zones=_ZONES)
        network.start(_record(_first_document()))
        # The probes of a fleet that runs are under way when a change comes.
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for change in self._changes:
            at_s = started_s + change.at_s
            loop.call_at(at_s, self._start_change, network, change.record)
        if self._stopped is not None:
            at_s = started_s + 0.05
            loop.call_at(at_s, network.set_speed, self._stopped, _NO_LINK)
        await self._until_in_force(network, started_s)
        self._figures = self._sum_up(network, started_s)
        network.close()

    def _start_change(self, network: LinkNetwork, record: Record) -> None:
        for i in _SOURCES:
            network.nodes[i].spreader.start_record(record)

    async def _until_in_force(self, network: LinkNetwork, started_s: float) -> None:
        newest = self._changes[-1].record.version
        await asyncio.sleep(self._changes[-1].at_s + _BOUND_S)
        end_s = started_s + _PATIENCE_S
        while asyncio.get_running_loop().time() < end_s:
            if all(n.config.snapshot.version >= newest for n in self._asked(network)):
                return
            await asyncio.sleep(0.1)

    def _asked(self, network: LinkNetwork) -> list:
        return [node for node in network.nodes if node.index != self._stopped]

    def _sum_up(self, network: LinkNetwork, started_s: float) -> _Figures:
        last = self._changes[-1]
        asked = self._asked(network)
        fetches = [f for f in network.fetches if f.at_s >= started_s]
        return _Figures(
            [node.applied_at_s(_LONG_VERSION) - started_s for node in asked],
            [
                node.applied_at_s(last.record.version) - started_s - last.at_s
                for node in asked
            ],
            len(fetches),
            sum(f.at_s > started_s + _BOUND_S for f in fetches),
            max(network.stream_bytes(node.index) for node in network.nodes),
        )


def _deflated_delta_bytes() -> int:
    """Return the size of the long version's delta as nodes send it at best."""
    first, long = _first_document(), _long_document()
    added = {k: v for k, v in long.sections.items() if k not in first.sections}
    return len(zlib.compress(long._replace(sections=added).encode()))


class LongVersionsTest(testtools.TestCase):
    """Tests of a fleet of 83 nodes that got 1,200 routes more."""

    def _check_in_time(self, figures: _Figures) -> None:
        late = [s for s in figures.long_s + figures.newest_s if s > _BOUND_S]
        self.assertEqual([], late, figures.summary)

    def test_a_long_version_is_not_late_where_all_links_are_alike(self) -> None:
        self._check_in_time(_Run([_LINK] * _NODES).figures())

    def test_a_long_version_is_not_late_where_links_are_slow(self) -> None:
        slow = [_SLOW_LINK if i % 5 == 4 else _LINK for i in range(_NODES)]
        self._check_in_time(_Run(slow).figures())

    def test_a_long_version_is_not_late_where_one_source_stands_still(self) -> None:
        self._check_in_time(_Run([_LINK] * _NODES, stopped=_SOURCES[0]).figures())

    def test_one_node_does_not_send_a_long_version_to_the_whole_fleet(self) -> None:
        figures = _Run([_LINK] * _NODES, storm=0).figures()
        most_bytes = _MOST_COPIES * _deflated_delta_bytes()
        self.assertLessEqual(figures.busiest_bytes, most_bytes, figures.summary)

    def test_small_versions_behind_a_long_one_are_fetched_by_hardly_anyone(
        self,
    ) -> None:
        figures = _Run([_LINK] * _NODES).figures()
        self.assertLessEqual(figures.late_fetches, _FEW_FETCHES, figures.summary)
