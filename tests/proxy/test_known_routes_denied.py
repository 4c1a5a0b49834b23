"""What a node says of a route that it may only not have heard of yet."""

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

_KEY = "config"
_PEER = ("10.0.0.2", 1)


class _Node:
    """A node at version 1 that hears datagrams."""

    def __init__(self, *, accept: Callable[[Record], bool] = lambda _: True) -> None:
        clock = ManualClock()
        self.sent: dict = {}
        self.handlers: dict = {}
        membership = MembershipTable(Member("a", "h", 1, "r", "z", 1), clock=clock)
        self.records = RecordStore(accept=accept)
        self.records.put(Record(_KEY, 1, b""))
        spreader = Spreader(
            membership=membership,
            ranking=MemberRanking(membership),
            records=self.records,
            datagrams=self,
            deltas={_KEY: DeltaCodec(lambda: b"", lambda _: None, lambda _: None)},
            pull=lambda _node_id, cause: None,
        )
        self.detector = FailureDetector(
            membership=membership,
            records=self.records,
            datagrams=self,
            clock=clock,
            rng=random.Random(1),
            on_digest=lambda _: None,
            spread=spreader.broadcast_member,
            head_key=_KEY,
        )
        self._context = SimpleNamespace(
            refusing=False,
            snapshot=lambda: EMPTY_SNAPSHOT._replace(version=1),
            missing_version=lambda: self.records.missing_version(_KEY),
            headers=OWN_HEADERS,
        )

    def on(self, kind: str, handler: object) -> None:
        """Keep a handler, as datagrams do."""
        self.handlers[kind] = handler

    def send(self, address: tuple[str, int], kind: str, **fields: object) -> None:
        """Keep what was sent last."""
        self.sent = fields

    def hear(self, kind: str, **fields: object) -> None:
        """Receive a datagram."""
        message = decode(encode(kind, mesh="m", **fields))
        self.handlers[kind](getattr(message, kind), _PEER)

    def reason_without_route(self) -> str:
        """Return why a request on a route that is not here is refused."""
        start_line = RequestStartLine("GET", "/new/1", "HTTP/1.1")
        failure = make_call(self._context, start_line, HTTPHeaders({"Host": "h"}))
        assert isinstance(failure, Failure)
        assert failure.verdict is Verdict.NOT_RUN
        return failure.reason


class KnownRoutesDeniedTest(testtools.TestCase):
    """No route is denied on knowledge that is known to be old."""

    def test_a_route_that_no_version_has_is_denied(self) -> None:
        self.assertEqual("no_route", _Node().reason_without_route())

    def test_a_peer_names_a_newer_version(self) -> None:
        node = _Node()
        node.hear("ping", nodeId="b", headVersion=2)
        self.assertEqual("configuration_behind", node.reason_without_route())

    def test_a_notice_of_a_newer_version_came(self) -> None:
        node = _Node()
        node.hear("spread", nodeId="b", recordNotice={"key": _KEY, "version": 2})
        self.assertEqual("configuration_behind", node.reason_without_route())

    def test_a_delta_came_to_a_version_that_is_not_here(self) -> None:
        node = _Node()
        record = {"key": _KEY, "version": 3, "baseVersion": 2, "value": b"x"}
        node.hear("spread", nodeId="b", record=record)
        self.assertEqual("configuration_behind", node.reason_without_route())

    def test_the_newer_version_has_no_such_route_either(self) -> None:
        node = _Node()
        node.hear("ping", nodeId="b", headVersion=2)
        node.records.put(Record(_KEY, 2, b""))
        self.assertEqual("no_route", node.reason_without_route())

    def test_a_peer_of_an_earlier_release_names_none(self) -> None:
        node = _Node()
        node.hear("ping", nodeId="b")
        self.assertEqual("no_route", node.reason_without_route())

    def test_a_newer_version_that_was_refused_here_is_not_waited_for(self) -> None:
        node = _Node(accept=lambda record: record.version < 2)
        node.hear("ping", nodeId="b", headVersion=2)
        node.records.put(Record(_KEY, 2, b""))
        self.assertEqual("no_route", node.reason_without_route())

    def test_a_version_that_was_refused_here_is_named_to_nobody(self) -> None:
        node = _Node(accept=lambda record: record.version < 2)
        node.records.put(Record(_KEY, 2, b""))
        node.detector.ping(Member("b", *_PEER, "r", "z", 1))
        self.assertEqual(1, node.sent["headVersion"])
