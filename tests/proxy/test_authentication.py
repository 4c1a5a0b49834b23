"""Tests of authentication by API key at the caller's node."""

import random
from types import SimpleNamespace

import testtools
from tornado.httputil import HTTPHeaders, RequestStartLine

from burdockdock.clock import ManualClock
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.model import EMPTY_SNAPSHOT, Snapshot
from burdockdock.configuration.workspaces import MAX_KEY_BYTES, key_digest
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.metrics import Metrics
from burdockdock.proxy import authentication
from burdockdock.proxy.answers import build_refusal
from burdockdock.proxy.authentication import identity_refusal
from burdockdock.proxy.call import Call
from burdockdock.proxy.call_factory import make_call
from burdockdock.proxy.context import CallContext

_PLATFORM_LIKE = OWN_HEADERS._replace(
    workspace="Tenant", credential="Credential", caller_sets_workspace=False
)
_SECTIONS = {
    "service work": {},
    "route own": {"path": "/own", "service": "work", "priority": "4"},
    "route open": {"path": "/open", "service": "work", "public": "true"},
}
_ACME = {"key_digests": f"{key_digest(b'k1')},{key_digest(b'k2')}", "priority": "1"}


def build(
    version: int = 1, previous: Snapshot = EMPTY_SNAPSHOT, **workspaces: dict
) -> Snapshot:
    """Return a snapshot with a public and another route, and these workspaces."""
    sections = {**_SECTIONS}
    sections.update({f"workspace {name}": pairs for name, pairs in workspaces.items()})
    built = build_snapshot(sections, version=version, previous=previous)
    assert isinstance(built, Snapshot), built
    return built


class _Node:
    """A node that builds calls."""

    def __init__(self, snapshot: Snapshot, names: CallHeaders = OWN_HEADERS) -> None:
        self.snapshot = snapshot
        self.missing_version = 0
        self.metrics = Metrics()
        self._context = CallContext(
            node_id="n",
            availability_zone="z",
            snapshot=lambda: self.snapshot,
            missing_version=lambda: self.missing_version,
            forwarder=SimpleNamespace(),
            clock=ManualClock(),
            metrics=self.metrics,
            rng=random.Random(1),
            headers=names,
        )

    def call(self, path: str, *headers: tuple[str, str]) -> Call | Failure:
        """Build a call to a path."""
        values = HTTPHeaders()
        for name, value in headers:
            values.add(name, value)
        return make_call(self._context, RequestStartLine("GET", path, "1.1"), values)

    def call_with_key(self, path: str, key: str) -> Call | Failure:
        """Build a call with an API key."""
        return self.call(path, (OWN_HEADERS.credential, key))


class AuthenticationTest(testtools.TestCase):
    """Tests of whose request a call is."""

    def test_request_with_a_key_runs_in_its_workspace(self) -> None:
        node = _Node(build(3, acme=_ACME))
        for key in ("k1", "k2"):
            request = node.call_with_key("/own", key).request
            self.assertEqual(
                ("acme", 3), (request.workspace, request.authenticated_version)
            )
            self.assertEqual(int(key_digest(key.encode())[:16], 16), request.key_id)

    def test_request_without_a_valid_key_gets_401(self) -> None:
        node = _Node(build(acme=_ACME))
        for key in ("", "k3", "K1", "k1,k1", "k1 k2", key_digest(b"k1"), "ü"):
            failure = node.call_with_key("/own", key)
            self.assertEqual((Verdict.NOT_RUN, "unknown_key"), failure[:2], key)
            head = build_refusal(failure, random.Random(1)).head
            names = {name.lower() for name, _ in head.headers}
            self.assertEqual(401, head.status)
            self.assertNotIn("retry-after", names)
            self.assertIn("www-authenticate", names)
        count = node.metrics.counter
        self.assertEqual(1, count("authentications", label="no_key"))
        self.assertEqual(6, count("authentications", label="unknown_key"))

    def test_two_credentials_are_not_one(self) -> None:
        # Guards against a request that is served by the one of them that is known.
        node = _Node(build(acme=_ACME))
        name = OWN_HEADERS.credential
        failure = node.call("/own", (name, "k1"), (name, "k2"))
        self.assertEqual("unknown_key", failure.reason)

    def test_unknown_route_comes_before_an_unknown_key(self) -> None:
        node = _Node(build(acme=_ACME))
        self.assertEqual("no_route", node.call_with_key("/other", "x").reason)

    def test_public_route_serves_everybody(self) -> None:
        node = _Node(build(acme=_ACME))
        for key, workspace in (("k1", "acme"), ("x", ""), ("", "")):
            request = node.call_with_key("/open", key).request
            self.assertEqual(workspace, request.workspace)
            self.assertEqual(bool(workspace), request.authenticated_version > 0)

    def test_priority_of_the_workspace_precedes_that_of_the_route(self) -> None:
        node = _Node(build(acme=_ACME, other={"key_digests": key_digest(b"k3")}))
        priorities = [
            node.call_with_key("/own", k).request.priority for k in ("k1", "k3")
        ]
        self.assertEqual([1, 4], priorities)

    def test_key_of_absurd_length_is_refused_without_hashing_it(self) -> None:
        # Guards against callers that occupy a node with the hashes of long keys.
        node = _Node(build(acme=_ACME))
        hashed: list[bytes] = []
        self.patch(authentication, "key_digest", lambda k: hashed.append(k) or "")
        failure = node.call_with_key("/own", "k" * (MAX_KEY_BYTES + 1))
        self.assertEqual(("unknown_key", []), (failure.reason, hashed))
        node.call_with_key("/own", "k" * MAX_KEY_BYTES)
        self.assertEqual(1, len(hashed))

    def test_key_of_non_ascii_bytes_is_known(self) -> None:
        key = "schlüssel-日本"
        node = _Node(build(acme={"key_digests": key_digest(key.encode())}))
        as_received = key.encode().decode("latin-1")
        self.assertEqual(
            "acme", node.call_with_key("/own", as_received).request.workspace
        )

    def test_node_that_lacks_a_version_does_not_answer_401(self) -> None:
        # A 401 is final, but the missing version may have the key.
        node = _Node(build(acme=_ACME))
        node.missing_version = 2
        for key in ("", "k3"):
            failure = node.call_with_key("/own", key)
            self.assertEqual("configuration_behind", failure.reason)
            self.assertEqual(503, build_refusal(failure, random.Random(1)).head.status)
        self.assertEqual("acme", node.call_with_key("/own", "k1").request.workspace)

    def test_failures_do_not_say_the_key(self) -> None:
        node = _Node(build(acme=_ACME))
        for missing_version in (0, 2):
            node.missing_version = missing_version
            self.assertNotIn("secret", repr(node.call_with_key("/own", "secret")))


class HeadersTest(testtools.TestCase):
    """Tests of the headers that state a workspace or a key."""

    def _passed(self, node: _Node, path: str, *headers: tuple[str, str]) -> set[str]:
        call = node.call(path, *headers, ("X-Other", "1"))
        return {name.lower() for name, _ in call.request.headers}

    def test_no_header_of_a_caller_states_workspace_or_key(self) -> None:
        # Guards against callers that name the workspace of others, and against keys
        # that reach backend servers.
        for names in (OWN_HEADERS, _PLATFORM_LIKE):
            node = _Node(build(acme=_ACME), names)
            for path in ("/own", "/open"):
                for workspace in (names.workspace, names.workspace.upper()):
                    passed = self._passed(
                        node,
                        path,
                        (workspace, "other"),
                        (workspace, "another"),
                        (names.credential.lower(), "k1"),
                    )
                    self.assertIn("x-other", passed)
                    self.assertNotIn(names.workspace.lower(), passed)
                    self.assertNotIn(names.credential.lower(), passed)

    def test_callers_state_their_workspace_while_none_is_configured(self) -> None:
        node = _Node(build())
        call = node.call("/own", ("X-Tenant", "acme"))
        self.assertIn(("X-Tenant", "acme"), call.request.headers)
        self.assertEqual(
            ("acme", 0), (call.request.workspace, call.request.authenticated_version)
        )
        self.assertEqual("default", node.call("/own").request.workspace)

    def test_platform_drops_both_headers_while_no_workspace_is_configured(self) -> None:
        node = _Node(build(), _PLATFORM_LIKE)
        call = node.call("/own", ("Tenant", "acme"), ("Credential", "k1"))
        names = {name for name, _ in call.request.headers}
        self.assertEqual(set(), names & {"Tenant", "Credential"})
        self.assertEqual(
            ("default", 0), (call.request.workspace, call.request.authenticated_version)
        )


class RevocationTest(testtools.TestCase):
    """Tests of calls that were authenticated by an older version."""

    def _reason(
        self, path: str, key: str, before: Snapshot, after: Snapshot, missing: int = 0
    ) -> str:
        call = _Node(before).call_with_key(path, key)
        refusal = identity_refusal(call.identity, after, lambda: missing)
        if refusal is None:
            return ""
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        return refusal.reason

    def test_call_does_not_outlast_its_key(self) -> None:
        without_k2 = {"key_digests": key_digest(b"k1")}
        before = build(1, acme=_ACME)
        after = build(2, before, acme=without_k2)
        self.assertEqual("", self._reason("/own", "k1", before, after))
        self.assertEqual("unknown_key", self._reason("/own", "k2", before, after))
        self.assertEqual(
            "configuration_behind", self._reason("/own", "k2", before, after, 3)
        )

    def test_call_on_a_public_route_may_be_sent_again_by_its_caller(self) -> None:
        before = build(1, acme=_ACME)
        after = build(2, before, acme={})
        self.assertEqual(
            "workspace_changed", self._reason("/open", "k1", before, after)
        )
        self.assertEqual("", self._reason("/open", "x", before, after))

    def test_call_whose_key_moved_does_not_run_in_the_old_workspace(self) -> None:
        before = build(1, acme=_ACME)
        after = build(2, before, other=_ACME)
        self.assertEqual("workspace_changed", self._reason("/own", "k1", before, after))

    def test_call_from_before_authentication_needs_a_key_once_it_is_on(self) -> None:
        before = build(1)
        after = build(2, before, acme=_ACME)
        self.assertEqual("workspace_changed", self._reason("/own", "x", before, after))
        self.assertEqual("", self._reason("/open", "x", before, after))
        self.assertEqual("workspace_changed", self._reason("/own", "k1", after, before))

    def test_version_without_changed_keys_refuses_nothing(self) -> None:
        before = build(1, acme=_ACME)
        changed = {**_ACME, "rate_per_s": "5"}
        for after in (build(2, before, acme=_ACME), build(2, before, acme=changed)):
            self.assertEqual("", self._reason("/own", "k1", before, after))
