"""Tests of spread and repair over a network that loses, duplicates and reorders."""

import random
import zlib

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.configuration.delta import ConfigDocument
from burdockdock.configuration.model import Sections
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.overlay.datagrams import MAX_DATAGRAM_BYTES
from burdockdock.overlay.spread import DeltaCodec, Spreader
from burdockdock.overlay.sync import SyncClient
from burdockdock.overlay.sync_server import SyncServer
from burdockdock.protocol import decode, encode
from burdockdock.protocol.codec import HEADER_BYTES
from burdockdock.protocol.handshake import PeerIdentity

_SERVICE_COUNT = 60
_NODE_COUNT = 9


class _Network:
    """Datagrams in flight and requested fetches."""

    def __init__(self) -> None:
        self.datagrams: list[tuple[int, bytes]] = []
        self.fetches: list[tuple[int, str]] = []
        self.nodes: list[_FakeNode] = []

    def deliver(self, i: int) -> None:
        """Deliver one datagram and keep it in flight, as a duplicate."""
        port, data = self.datagrams[i]
        spread = decode(data).spread
        self.nodes[port].handlers["spread"](spread, ("fake", 0))

    def run_fetch(self) -> None:
        """Run the oldest fetch."""
        port, node_id = self.fetches.pop(0)
        self.nodes[port].fetch_from(self.nodes[int(node_id)])


class _FakeNode:
    """The spread and sync parts of a node, connected to the fake network.

    :param delta_encoders: receives this node's index each time it encodes a delta.
    """

    def __init__(
        self, index: int, network: _Network, *, delta_encoders: list[int] | None = None
    ) -> None:
        clock = ManualClock()
        members = [
            Member(str(i), "fake", i, "r", f"z{i % 3}", 1) for i in range(_NODE_COUNT)
        ]
        self.index = index
        self.network = network
        self.handlers: dict = {}
        self.seen_versions: list[int] = []
        self.membership = MembershipTable(members[index], clock=clock)
        for member in members:
            if member.node_id != str(index):
                self.membership.merge(member)
        self.config = ConfigState(str(index))
        self.records = RecordStore(accept=self._accept)
        deltas = {CONFIG_KEY: self.config.codec}
        self.spreader = Spreader(
            membership=self.membership,
            ranking=MemberRanking(self.membership),
            records=self.records,
            datagrams=self,
            deltas={CONFIG_KEY: self._recording_codec(delta_encoders)},
            fetch=lambda node_id, cause: network.fetches.append((index, node_id)),
        )
        self.server = SyncServer(
            membership=self.membership,
            records=self.records,
            deltas=deltas,
            clock=clock,
        )
        self.client = SyncClient(
            own=PeerIdentity("m", str(index), 1),
            membership=self.membership,
            records=self.records,
            deltas=deltas,
            on_new_record=lambda record, before: self.spreader.forward_record(
                record, base_version=before
            ),
            clock=clock,
            rng=random.Random(index),
        )

    def _recording_codec(self, delta_encoders: list[int] | None) -> DeltaCodec:
        """Return the codec, wrapped to record this node when it encodes a delta."""
        codec = self.config.codec
        if delta_encoders is None:
            return codec

        def encode_delta(base_version: int) -> bytes | None:
            delta_encoders.append(self.index)
            return codec.encode_delta(base_version)

        return codec._replace(encode_delta=encode_delta)

    def on(self, kind: str, handler: object) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Add a datagram to those in flight."""
        data = encode(kind, mesh="m", **fields)
        self.network.datagrams.append((address[1], data))

    def fetch_from(self, other: "_FakeNode") -> None:
        """Fetch the state of another node, without a connection."""
        request = encode(
            "syncRequest",
            versions=[
                {"key": key, "version": version}
                for key, version in self.records.versions().items()
                if key not in self.client._full_record_keys
            ],
            bucketDigests=list(self.membership.bucket_digests),
        )
        reply = other.server.reply_to(decode(request).syncRequest)
        message = decode(reply[HEADER_BYTES:]).syncReply
        self.client._merge_members(message)
        self.client._store_records(message)

    def _accept(self, record: Record) -> bool:
        accepted = self.config.accept(record)
        snapshot = self.config.snapshot
        self.seen_versions.append(snapshot.version)
        for route in snapshot.routes.values():
            assert route.service in snapshot.services, route
        return accepted


def _document(version: int, rng: random.Random) -> ConfigDocument:
    """Return a random version, which differs from others in services and routes."""
    sections: Sections = {}
    for i in rng.sample(range(_SERVICE_COUNT), _SERVICE_COUNT - 5):
        sections[f"service s{i}"] = {"timeout_ms": str(version)} if i % 9 else {}
        sections[f"route r{i}"] = {"path": f"/{i}", "service": f"s{i}"}
    return ConfigDocument(version, sections)


class SpreadTest(testtools.TestCase):
    """Tests of nine nodes in three availability zones."""

    @settings(max_examples=30)
    @given(
        st.randoms(use_true_random=False),
        st.integers(1, 6),
        st.floats(0.0, 1.0),
        st.booleans(),
    )
    def test_nodes_converge_despite_reordering_loss_and_duplicates(
        self, rng: random.Random, changes: int, delivery_share: float, small: bool
    ) -> None:
        network = _Network()
        network.nodes = [_FakeNode(i, network) for i in range(_NODE_COUNT)]
        base = _document(1, rng)
        documents = {}
        for version in range(1, changes + 1):
            if small:
                sections = {**base.sections, "defaults": {"retries": str(version % 5)}}
                documents[version] = ConfigDocument(version, sections)
            else:
                documents[version] = _document(version, rng)
        order = list(documents)
        rng.shuffle(order)
        for version in order:
            origin = rng.choice(network.nodes)
            record = Record(CONFIG_KEY, version, documents[version].encode())
            origin.spreader.broadcast_record(record)
            self._run_lossy(network, rng, delivery_share)
        self._sync_all(network)
        for node in network.nodes:
            self.assertEqual(sorted(node.seen_versions), node.seen_versions)
            snapshot = node.config.snapshot
            self.assertEqual(documents[changes].sections, snapshot.sections)
            self.assertEqual(changes, snapshot.version)

    def _run_lossy(
        self, network: _Network, rng: random.Random, delivery_share: float
    ) -> None:
        for _ in range(int(delivery_share * 60)):
            if network.fetches and rng.random() < 0.5:
                network.run_fetch()
            elif network.datagrams:
                i = rng.randrange(len(network.datagrams))
                network.deliver(i)
                if rng.random() < 0.7:
                    network.datagrams.pop(i)
        lost_count = int(len(network.datagrams) * rng.random())
        del network.datagrams[:lost_count]

    def _sync_all(self, network: _Network) -> None:
        """Let every node fetch from its neighbour until all have the same state.

        In a real fleet, differing digests cause these fetches.
        """
        network.fetches.clear()
        for _ in range(_NODE_COUNT):
            for i, node in enumerate(network.nodes):
                node.fetch_from(network.nodes[(i + 1) % _NODE_COUNT])

    def test_a_node_without_children_encodes_no_delta(self) -> None:
        delta_encoders = []
        network = _Network()
        network.nodes = [
            _FakeNode(i, network, delta_encoders=delta_encoders)
            for i in range(_NODE_COUNT)
        ]
        rng = random.Random(1)
        for version in (1, 2):
            record = Record(CONFIG_KEY, version, _document(version, rng).encode())
            network.nodes[0].spreader.broadcast_record(record)
            self._deliver_all(network)
        forwarders = {0} | {
            node.index for node in network.nodes if node.spreader._child_targets()
        }
        self.assertLess(len(forwarders), _NODE_COUNT)
        self.assertEqual(forwarders, set(delta_encoders))

    def _broadcast_delta_of_seven_routes(self) -> _Network:
        """Broadcast a version whose delta is longer than a datagram."""
        network = _Network()
        network.nodes = [_FakeNode(i, network) for i in range(_NODE_COUNT)]
        first = _document(1, random.Random(1))
        routes = [name for name in first.sections if name.startswith("route")][:7]
        kind = {"kind": "non_idempotent", "class": "non_idempotent", "host": "h" * 80}
        changed = {name: {**first.sections[name], **kind} for name in routes}
        self.second = ConfigDocument(2, {**first.sections, **changed})
        origin = network.nodes[0].spreader
        origin.broadcast_record(Record(CONFIG_KEY, 1, first.encode()))
        self._deliver_all(network)
        origin.broadcast_record(Record(CONFIG_KEY, 2, self.second.encode()))
        return network

    def test_a_delta_that_fits_when_deflated_needs_no_fetch(self) -> None:
        network = self._broadcast_delta_of_seven_routes()
        longest = max(len(data) for _, data in network.datagrams)
        self.assertLessEqual(longest, MAX_DATAGRAM_BYTES)
        while network.datagrams:
            network.deliver(0)
            network.datagrams.pop(0)
            self.assertEqual([], network.fetches)
        for node in network.nodes:
            self.assertEqual(self.second.sections, node.config.snapshot.sections)

    def _send_delta_from_older_base(self, last_retries: str) -> _Network:
        """Send the delta from version 1 to 3 to a node that has version 2."""
        network = _Network()
        network.nodes = [_FakeNode(i, network) for i in range(_NODE_COUNT)]
        sender, target = network.nodes[0], network.nodes[4]
        sections = _document(1, random.Random(1)).sections
        records = []
        for version, retries in enumerate(("0", "1", last_retries), start=1):
            changed = {**sections, "defaults": {"retries": retries}}
            value = ConfigDocument(version, changed).encode()
            records.append(Record(CONFIG_KEY, version, value))
        sender.records.put(records[0])
        target.records.put(records[0])
        target.records.put(records[1])
        sender.spreader.broadcast_record(records[2])
        for i, (port, _) in enumerate(network.datagrams):
            if port == target.index:
                network.deliver(i)
        return network

    def test_a_delta_from_an_older_base_is_applied_if_the_result_is_correct(
        self,
    ) -> None:
        network = self._send_delta_from_older_base("2")
        self.assertEqual([], network.fetches)
        snapshot = network.nodes[4].config.snapshot
        self.assertEqual((3, 2), (snapshot.version, snapshot.defaults.retries))

    def test_a_delta_from_an_older_base_that_misses_a_change_causes_a_fetch(
        self,
    ) -> None:
        network = self._send_delta_from_older_base("0")
        self.assertEqual([(4, "0")], network.fetches)
        self.assertEqual(2, network.nodes[4].config.snapshot.version)
        network.run_fetch()
        snapshot = network.nodes[4].config.snapshot
        self.assertEqual((3, 0), (snapshot.version, snapshot.defaults.retries))

    def test_a_notice_without_a_delta_causes_a_fetch(self) -> None:
        network = self._broadcast_delta_of_seven_routes()
        port, data = network.datagrams[0]
        notice = decode(data).spread.recordNotice
        plain = encode(
            "spread",
            mesh="m",
            nodeId="0",
            recordNotice={"key": notice.key, "version": notice.version},
        )
        network.datagrams[:] = [(port, plain)]
        network.deliver(0)
        self.assertEqual([(port, "0")], network.fetches)
        network.run_fetch()
        self.assertEqual(2, network.nodes[port].config.snapshot.version)

    def test_an_invalid_deflated_delta_changes_nothing(self) -> None:
        network = self._broadcast_delta_of_seven_routes()
        port, _ = network.datagrams[0]
        decompression_bomb = zlib.compress(bytes(1_000_000))
        for deflated in (b"\0", decompression_bomb, zlib.compress(b"{}" * 40)[:-4]):
            notice = {"key": CONFIG_KEY, "version": 2, "baseVersion": 1}
            notice["deflatedDelta"] = deflated
            data = encode("spread", mesh="m", nodeId="0", recordNotice=notice)
            network.datagrams[:] = [(port, data)]
            self.assertRaises(ValueError, network.deliver, 0)
        self.assertEqual(1, network.nodes[port].config.snapshot.version)

    def _deliver_all(self, network: _Network) -> None:
        while network.datagrams or network.fetches:
            if network.fetches:
                network.run_fetch()
            else:
                network.deliver(0)
                network.datagrams.pop(0)

    def test_members_on_both_sides_of_a_partition_find_each_other(self) -> None:
        network = _Network()
        network.nodes = [_FakeNode(i, network) for i in range(_NODE_COUNT)]
        node_a, node_b = network.nodes[0], network.nodes[8]
        for node, dead_ids in ((node_a, range(5, 9)), (node_b, range(0, 5))):
            for i in dead_ids:
                member = node.membership.get(str(i))
                node.membership.merge(member._replace(state=MemberState.DEAD))
        node_a.fetch_from(node_b)
        node_b.fetch_from(node_a)
        node_a.fetch_from(node_b)
        self.assertIs(MemberState.ALIVE, node_b.membership.get("0").state)
        self.assertIs(MemberState.ALIVE, node_a.membership.get("8").state)
