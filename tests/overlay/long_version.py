"""One spread of a version too long for a datagram, over links of a given speed."""

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

# What users are promised, from the last change on.
BOUND_S = 2.5
# The nodes that read the platform, one in each zone.
SOURCES = (0, 1, 2)
_ZONES = 3
_SERVICES = 20
_ROUTES_BEFORE = 300
_ROUTES_ADDED = 1200
_LONG_VERSION = 2
_STORM_FROM_S = 0.4
_STORM_INTERVAL_S = 0.22
_STOP_AFTER_S = 0.05
# The probes of a fleet that runs are under way when a change comes.
_LEAD_S = 1.0
# When a run is given up; until then each node's true time is seen.
_PATIENCE_S = 20.0
_NO_LINK = LinkSpeed(0, 0)


class _Change(NamedTuple):
    """A version, and the time from which on the sources have it.

    :param at_s: seconds after the long version.
    """

    at_s: float
    record: Record


class Figures(NamedTuple):
    """What came of a spread.

    :param long_s: seconds until each node had the long version or a newer one, the
        sources left out.
    :param newest_s: seconds from the last change until each node had it.
    :param fetches: connections opened to fetch what was lacking.
    :param late_fetches: those of them that began when the time for the long version
        was over.
    :param busiest_bytes: bytes of streams that left the link of the node that sent
        most.
    """

    long_s: list[float]
    newest_s: list[float]
    fetches: int
    late_fetches: int
    busiest_bytes: int

    @property
    def late(self) -> int:
        """The number of times that are longer than users are promised."""
        return sum(s > BOUND_S for s in self.long_s + self.newest_s)

    def __str__(self) -> str:
        times_s = sorted(self.long_s)
        return (
            f"long version: first {times_s[0]:.2f} s, median "
            f"{times_s[len(times_s) // 2]:.2f} s, last {times_s[-1]:.2f} s, "
            f"late {sum(s > BOUND_S for s in times_s)} of {len(times_s)}; "
            f"newest: last {max(self.newest_s):.2f} s, "
            f"late {sum(s > BOUND_S for s in self.newest_s)}; "
            f"fetches {self.fetches}, past the bound {self.late_fetches}; "
            f"busiest node sent {self.busiest_bytes} bytes"
        )


def spread_long_version(
    speeds: list[LinkSpeed],
    *,
    small_versions: int,
    stopped: int | None = None,
    routes: int = _ROUTES_ADDED,
) -> Figures:
    """Spread many routes more, and then a storm of so many small versions.

    :param speeds: the speed of each node's link.
    :param routes: number of routes that the long version adds.
    :param stopped: a node whose link stands still soon after the long version came;
        it is not waited for.
    """
    changes = _changes(small_versions, routes)
    return _Run(speeds, changes, stopped).figures()


def long_delta() -> bytes:
    """Return the long version's delta, not deflated."""
    first, long = first_document(), long_document()
    added = {k: v for k, v in long.sections.items() if k not in first.sections}
    return long._replace(sections=added).encode()


class _Run:
    """One spread, from its start to its end."""

    def __init__(
        self, speeds: list[LinkSpeed], changes: list[_Change], stopped: int | None
    ) -> None:
        self._changes = changes
        self._stopped = stopped
        self._speeds = speeds

    def figures(self) -> Figures:
        """Run until all nodes have the newest version, and past the bound."""
        run_virtually(self._spread())
        return self._figures

    async def _spread(self) -> None:
        self._network = LinkNetwork(self._speeds, zones=_ZONES)
        self._network.start(record_of(first_document()))
        await asyncio.sleep(_LEAD_S)
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        for change in self._changes:
            loop.call_at(self._started_s + change.at_s, self._start, change.record)
        if self._stopped is not None:
            loop.call_at(self._started_s + _STOP_AFTER_S, self._stop, self._stopped)
        await self._until_in_force()
        self._figures = self._sum_up()
        self._network.close()

    def _start(self, record: Record) -> None:
        for i in SOURCES:
            self._network.nodes[i].spreader.broadcast_record(record)

    def _stop(self, node: int) -> None:
        self._network.set_speed(node, _NO_LINK)

    async def _until_in_force(self) -> None:
        newest = self._changes[-1].record.version
        await asyncio.sleep(self._changes[-1].at_s + BOUND_S)
        end_s = self._started_s + _PATIENCE_S
        while asyncio.get_running_loop().time() < end_s:
            if all(node.config.snapshot.version >= newest for node in self._others()):
                return
            await asyncio.sleep(0.1)

    def _others(self) -> list[LinkNode]:
        """Return the nodes that are waited for."""
        left_out = {*SOURCES, self._stopped}
        return [node for node in self._network.nodes if node.index not in left_out]

    def _sum_up(self) -> Figures:
        last = self._changes[-1]
        last_s = self._started_s + last.at_s
        times_s = [f.at_s - self._started_s for f in self._network.fetches]
        return Figures(
            long_s=[
                node.applied_at_s(_LONG_VERSION) - self._started_s
                for node in self._others()
            ],
            newest_s=[
                node.applied_at_s(last.record.version) - last_s
                for node in self._others()
            ],
            fetches=sum(s >= 0 for s in times_s),
            late_fetches=sum(s > BOUND_S for s in times_s),
            busiest_bytes=max(
                self._network.stream_bytes(node.index) for node in self._network.nodes
            ),
        )


def _changes(small_versions: int, routes: int) -> list[_Change]:
    """Return the long version and the small ones, one route's timeout each."""
    document = long_document(routes)
    changes = [_Change(0.0, record_of(document))]
    names = [name for name in document.sections if name.startswith("route ")]
    for i, name in enumerate(random.Random(3).sample(names, small_versions)):
        changed = {**document.sections[name], "timeout_ms": str(6000 + i)}
        document = document._replace(
            version=document.version + 1,
            sections={**document.sections, name: changed},
        )
        at_s = _STORM_FROM_S + i * _STORM_INTERVAL_S
        changes.append(_Change(at_s, record_of(document)))
    return changes


def first_document() -> ConfigDocument:
    """Return the version that all nodes have from the start."""
    sections: Sections = {f"service service-{i}": {} for i in range(_SERVICES)}
    sections |= _routes(random.Random(1), _ROUTES_BEFORE)
    return ConfigDocument(1, sections, author="operator")


def long_document(routes: int = _ROUTES_ADDED) -> ConfigDocument:
    """Return the version that adds many routes."""
    first = first_document()
    sections = first.sections | _routes(random.Random(2), routes)
    return first._replace(version=_LONG_VERSION, sections=sections)


def _routes(rng: random.Random, count: int) -> Sections:
    """Return routes with random names, hosts and paths, which deflate badly."""
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
    """Return a document as the record that nodes hold."""
    return Record(CONFIG_KEY, document.version, document.encode())
