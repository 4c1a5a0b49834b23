"""Tests of how calls are built from callers' requests."""

import random
from types import SimpleNamespace

import testtools
from tornado.httputil import HTTPHeaders, RequestStartLine

from burdockdock.clock import ManualClock
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Route,
    RouteMatch,
    Service,
)
from burdockdock.coordination.shutdown import ShutdownLimit
from burdockdock.coordination.verdict import Failure
from burdockdock.gate.headers import OWN_HEADERS
from burdockdock.metrics import Metrics
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import make_call

_TIMEOUT_MS = 1500
_ANSWER_BY_S = 5.1
_WHOLE_TIME_FROM_S = 2.5


def _make_call_at(now_s: float) -> Call | Failure:
    """Build a call that arrives at a node that stops."""
    route = Route("work", "/", "work", policy_settings={"timeout_ms": _TIMEOUT_MS})
    clock = ManualClock()
    stopped_at_s = clock.monotonic()
    clock.advance(now_s)
    context = SimpleNamespace(
        refusing=False,
        snapshot=lambda: EMPTY_SNAPSHOT._replace(
            version=1,
            services={"work": Service("work", {})},
            routes={RouteMatch("", "/"): route},
            path_lengths=(1,),
        ),
        config_refusal=lambda: None,
        missing_version=lambda: 0,
        metrics=Metrics(),
        headers=OWN_HEADERS,
        rng=random.Random(1),
        availability_zone="z",
        node_id="n",
        clock=clock,
        shutdown=ShutdownLimit(
            whole_time_from_s=stopped_at_s + _WHOLE_TIME_FROM_S,
            answer_by_s=stopped_at_s + _ANSWER_BY_S,
        ),
        replaced_headers=frozenset(),
        may_wait=True,
    )
    return make_call(context, RequestStartLine("GET", "/", "HTTP/1.1"), HTTPHeaders())


class StoppingNodeTest(testtools.TestCase):
    """Tests of the time that calls get at a node that stops."""

    def test_call_gets_all_of_its_time_before_the_end(self) -> None:
        call = _make_call_at(_ANSWER_BY_S - 1.6)
        self.assertEqual(_TIMEOUT_MS, call.request.time_left_ms)

    def test_late_call_without_all_of_its_time_is_refused(self) -> None:
        # Guards against calls that the end of a stop cuts at their backend server.
        refusal = _make_call_at(_ANSWER_BY_S - 1.4)
        self.assertEqual("node_stopping", getattr(refusal, "reason", refusal))
