"""Tests of the headers of requests to backend servers."""

import testtools

from burdockdock.gate.exchange import backend_request
from burdockdock.gate.headers import OWN_HEADERS, CallHeaders
from burdockdock.gate.model import BackendServer
from burdockdock.protocol.calls import CallRequest

_BACKEND = BackendServer("work", "1", "127.0.0.1", 1)
_REQUEST = CallRequest("id-1", "acme", "c", "r", "work", 1000, True, "GET", "/", ())
_PLATFORM_LIKE = OWN_HEADERS._replace(
    workspace="Tenant", credential="Credential", caller_sets_workspace=False
)
_CALLERS_HEADERS = (
    ("X-Other", "1"),
    ("tenant", "other"),
    ("x-tenant", "other"),
    ("credential", "key"),
    ("x-burdockdock-key", "key"),
)


def _sent(names: CallHeaders, request: CallRequest) -> list[str]:
    built = backend_request(
        names, request, _BACKEND, time_left_s=1.0, needs_fresh_connection=False
    )
    return built.headers


class WorkspaceHeaderTest(testtools.TestCase):
    """Tests of the header that tells a backend server the workspace."""

    def test_authenticated_workspace_is_told_once(self) -> None:
        # Guards against a caller's header that stands beside the node's.
        for names in (OWN_HEADERS, _PLATFORM_LIKE):
            request = _REQUEST._replace(
                headers=_CALLERS_HEADERS, authenticated_version=3
            )
            sent = _sent(names, request)
            prefix = f"{names.workspace.lower()}:"
            told = [line for line in sent if line.lower().startswith(prefix)]
            self.assertEqual([f"{names.workspace}: acme"], told)
            credential = f"{names.credential.lower()}:"
            self.assertFalse([s for s in sent if s.lower().startswith(credential)])
            self.assertIn("X-Other: 1", sent)

    def test_platform_passes_no_callers_workspace_or_key_on(self) -> None:
        # Guards against the headers of a node of an earlier release.
        sent = _sent(_PLATFORM_LIKE, _REQUEST._replace(headers=_CALLERS_HEADERS))
        names = {line.partition(":")[0].lower() for line in sent}
        self.assertEqual(set(), names & {"tenant", "credential"})

    def test_own_form_without_workspaces_changes_nothing(self) -> None:
        sent = _sent(OWN_HEADERS, _REQUEST._replace(headers=_CALLERS_HEADERS))
        self.assertIn("x-tenant: other", sent)
        self.assertIn("x-burdockdock-key: key", sent)

    def test_name_is_sent_in_utf_8(self) -> None:
        # Guards against a call that fails in the gate because of a workspace's name.
        request = _REQUEST._replace(workspace="Žižkov", authenticated_version=3)
        lines = [line.encode("latin-1") for line in _sent(OWN_HEADERS, request)]
        self.assertIn("X-Tenant: Žižkov".encode(), lines)
