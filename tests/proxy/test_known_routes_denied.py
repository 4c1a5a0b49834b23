"""Tests of the refusal of a request whose route this node does not know.

A node that lags behind must not refuse a route as unknown: the newer configuration that
it has yet to receive may contain the route.
"""

import random
from collections.abc import Callable
from types import SimpleNamespace

import testtools
from tornado.httputil import HTTPHeaders, RequestStartLine

from burdockdock.clock import ManualClock
from burdockdock.configuration.model import EMPTY_SNAPSHOT
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.headers import OWN_HEADERS
from burdockdock.overlay.failure_detector import FailureDetector
from burdockdock.overlay.spread import DeltaCodec, Spreader
from burdockdock.protocol import decode, encode
from burdockdock.proxy.call_factory import make_call

_CONFIG_KEY = "config"
_PEER_ADDRESS = ("10.0.0.2", 1)


class _Node:
    """A node with configuration version 1 that receives datagrams."""

    def __init__(self, *, accept: Callable[[Record], bool] = lambda _: True) -> None:
        clock = ManualClock()
        self.sent: dict = {}
        self.handlers: dict = {}
        membership = MembershipTable(Member("a", "h", 1, "r", "z", 1), clock=clock)
        self.records = RecordStore(accept=accept)
        self.records.put(Record(_CONFIG_KEY, 1, b""))
        spreader = Spreader(
            membership=membership,
            ranking=MemberRanking(membership),
            records=self.records,
            datagrams=self,
            deltas={
                _CONFIG_KEY: DeltaCodec(lambda: b"", lambda _: None, lambda _: None)
            },
            fetch=lambda _node_id, cause: None,
        )
        self.detector = FailureDetector(
            membership=membership,
            records=self.records,
            datagrams=self,
            clock=clock,
            rng=random.Random(1),
            on_digest=lambda _: None,
            spread=spreader.broadcast_member,
            head_key=_CONFIG_KEY,
        )
        self._context = SimpleNamespace(
            refusing=False,
            snapshot=lambda: EMPTY_SNAPSHOT._replace(version=1),
            missing_version=lambda: self.records.missing_version(_CONFIG_KEY),
            config_refusal=lambda: None,
            headers=OWN_HEADERS,
        )

    def on(self, kind: str, handler: object) -> None:
        """Register a handler, as the datagram transport does."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Record the fields that were sent last."""
        self.sent = fields

    def receive(self, kind: str, **fields: object) -> None:
        """Receive a datagram."""
        message = decode(encode(kind, mesh="m", **fields))
        self.handlers[kind](getattr(message, kind), _PEER_ADDRESS)

    def refusal_reason(self) -> str:
        """Return the reason for which a request with an unknown route is refused."""
        start_line = RequestStartLine("GET", "/new/1", "HTTP/1.1")
        failure = make_call(self._context, start_line, HTTPHeaders({"Host": "h"}))
        assert isinstance(failure, Failure)
        assert failure.verdict is Verdict.NOT_RUN
        return failure.reason


class MissingRouteTest(testtools.TestCase):
    """Tests that a route is refused as unknown only if no newer version is known."""

    def test_a_route_that_no_known_version_has_is_refused(self) -> None:
        self.assertEqual("no_route", _Node().refusal_reason())

    def test_a_peer_advertises_a_newer_version(self) -> None:
        node = _Node()
        node.receive("ping", nodeId="b", headVersion=2)
        self.assertEqual("configuration_behind", node.refusal_reason())

    def test_a_notice_of_a_newer_version_arrives(self) -> None:
        node = _Node()
        node.receive(
            "spread", nodeId="b", recordNotice={"key": _CONFIG_KEY, "version": 2}
        )
        self.assertEqual("configuration_behind", node.refusal_reason())

    def test_a_delta_against_a_missing_version_arrives(self) -> None:
        node = _Node()
        record = {"key": _CONFIG_KEY, "version": 3, "baseVersion": 2, "value": b"x"}
        node.receive("spread", nodeId="b", record=record)
        self.assertEqual("configuration_behind", node.refusal_reason())

    def test_the_newer_version_has_no_such_route_either(self) -> None:
        node = _Node()
        node.receive("ping", nodeId="b", headVersion=2)
        node.records.put(Record(_CONFIG_KEY, 2, b""))
        self.assertEqual("no_route", node.refusal_reason())

    def test_a_peer_of_an_earlier_release_advertises_none(self) -> None:
        node = _Node()
        node.receive("ping", nodeId="b")
        self.assertEqual("no_route", node.refusal_reason())

    def test_a_newer_version_that_was_refused_here_is_not_awaited(self) -> None:
        node = _Node(accept=lambda record: record.version < 2)
        node.receive("ping", nodeId="b", headVersion=2)
        node.records.put(Record(_CONFIG_KEY, 2, b""))
        self.assertEqual("no_route", node.refusal_reason())

    def test_a_version_that_was_refused_here_is_not_advertised(self) -> None:
        node = _Node(accept=lambda record: record.version < 2)
        node.records.put(Record(_CONFIG_KEY, 2, b""))
        node.detector.ping(Member("b", *_PEER_ADDRESS, "r", "z", 1))
        self.assertEqual(1, node.sent["headVersion"])
