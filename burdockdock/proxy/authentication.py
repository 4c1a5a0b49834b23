"""Finds out by its API key which workspace a request belongs to.

Only the caller's node sees the key. It looks up the key's digest, and asks again right
before each attempt, so that a request doesn't outlast its key.
"""

from collections.abc import Callable
from typing import NamedTuple

from burdockdock.configuration.model import (
    NO_WORKSPACES,
    Route,
    Snapshot,
    Workspace,
    WorkspaceTable,
)
from burdockdock.configuration.workspaces import MAX_KEY_BYTES, key_digest, key_id
from burdockdock.coordination.verdict import Failure, Verdict

UNKNOWN_KEY = "unknown_key"
WORKSPACE_CHANGED = "workspace_changed"
CONFIGURATION_BEHIND = "configuration_behind"
# Workspace of the requests that run without a key. No workspace has an empty name.
PUBLIC_WORKSPACE = ""
_COUNTER = "authentications"


class Identity(NamedTuple):
    """Whose request a call is, according to one configuration version.

    :param workspaces: the table in which the key was looked up.
    :param version: configuration version of the table.
    :param public: whether the request's route needs no key.
    :param workspace: None if the request has no valid key, or needs none.
    :param digest: digest of the key, empty without a workspace.
    """

    workspaces: WorkspaceTable
    version: int
    public: bool
    workspace: Workspace | None = None
    digest: str = ""

    @property
    def authenticates(self) -> bool:
        """Whether requests needed an API key when this one arrived."""
        return self.workspaces.authenticates

    @property
    def key_id(self) -> int:
        """Number by which a gate finds the key in its workspace, 0 without one."""
        return key_id(self.digest) if self.digest else 0


# A request that arrived while no workspaces were configured.
ANONYMOUS = Identity(NO_WORKSPACES, 0, public=False)


def identify(
    snapshot: Snapshot,
    route: Route,
    key: str,
    *,
    missing_version: Callable[[], int],
    count: Callable[..., None],
) -> Identity | Failure:
    """Authenticate a request by its key.

    :param key: value of the request's header, empty if it has none.
    :param missing_version: returns the configuration version that is known to exist
        but has not arrived at this node, 0 for none.
    :param count: increments a counter, given its name and its label.
    """
    identity = Identity(snapshot.workspaces, snapshot.version, route.public)
    if not identity.authenticates:
        return identity
    digest = _digest(key)
    workspace = snapshot.workspaces.by_digest.get(digest)
    if workspace is not None:
        count(_COUNTER, label="workspace")
        return identity._replace(workspace=workspace, digest=digest)
    if route.public:
        count(_COUNTER, label="public")
        return identity
    count(_COUNTER, label="unknown_key" if key else "no_key")
    problem = "unknown key" if key else "no key"
    return _unknown_key(f"route {route.name}: {problem}", missing_version())


def identity_refusal(
    identity: Identity, snapshot: Snapshot, missing_version: Callable[[], int]
) -> Failure | None:
    """Return why a request must not be sent any more, None if it may.

    The snapshot is the one that is in force now. A request that would get another
    workspace by now, or another route to the right to run, is refused as not run rather
    than changed on its way: its caller may send it again.
    """
    workspaces = snapshot.workspaces
    if workspaces is identity.workspaces:
        return None
    if identity.workspace is None:
        may_run = identity.public or not workspaces.authenticates
        return None if may_run else _workspace_changed(snapshot)
    found = workspaces.by_digest.get(identity.digest)
    if found is not None and found.name == identity.workspace.name:
        return None
    if found is None and workspaces.authenticates and not identity.public:
        detail = f"the key is not valid since version {snapshot.version} or before"
        return _unknown_key(detail, missing_version())
    return _workspace_changed(snapshot)


def _digest(key: str) -> str:
    """Return a key's digest; empty if there is no key, or one of absurd length."""
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return ""
    # Tornado gives the bytes of headers as latin-1 characters.
    return key_digest(key.encode("latin-1", "backslashreplace"))


def _unknown_key(detail: str, missing_version: int) -> Failure:
    """Return the failure of a request without a valid key.

    While a newer configuration is known but not here, it may have the key.
    """
    if missing_version:
        detail = f"version {missing_version} is not here yet; {detail}"
        return Failure(Verdict.NOT_RUN, CONFIGURATION_BEHIND, detail)
    return Failure(Verdict.NOT_RUN, UNKNOWN_KEY, detail)


def _workspace_changed(snapshot: Snapshot) -> Failure:
    return Failure(
        Verdict.NOT_RUN, WORKSPACE_CHANGED, f"by version {snapshot.version} or before"
    )
