"""Checks ``workspace`` sections and builds the table of workspaces and API keys.

Problems never quote a value of ``key_digests``: a section may have the key itself there
by mistake.
"""

import hashlib
import re

from burdockdock.configuration.bounds import LOWEST_PRIORITY, MAX_RATE_PER_S
from burdockdock.configuration.model import Workspace, WorkspaceTable
from burdockdock.configuration.values import KeyProblem, parse_list, parse_number
from burdockdock.coordination.verdict import KEY_REVOKED, Failure, Verdict
from burdockdock.coordination.whole_numbers import parse_whole_number

_KEYS = {"key_digests", "priority", "rate_per_s", "burst", "allowed_regions"}
_DIGEST = re.compile(r"[0-9a-f]{64}")
# A name is sent as the value of a header, which can't contain control characters.
_CONTROL_CHARS = re.compile(r"[\x00-\x1f\x7f]")
_MAX_NAME_BYTES = 200
# Longer keys are unknown without being hashed. The limit is well below that of a
# request's header section.
MAX_KEY_BYTES = 4096


def key_digest(key: bytes) -> str:
    """Return the digest by which an API key is known, in lower-case hex."""
    return hashlib.sha256(key).hexdigest()


def key_id(digest: str) -> int:
    """Return the first 64 bits of a digest, which tell a workspace's keys apart."""
    return int(digest[:16], 16)


def revocation(
    table: WorkspaceTable, name: str, key_number: int, *, version: int
) -> Failure | None:
    """Return why a key that was valid by an older version is not, None if it still is.

    :param name: the workspace that the key belonged to.
    :param key_number: the key's number as :func:`key_id` returns it.
    :param version: configuration version of the table.
    """
    workspace = table.by_name.get(name)
    digests = () if workspace is None else workspace.key_digests
    if any(key_id(digest) == key_number for digest in digests):
        return None
    return Failure(Verdict.NOT_RUN, KEY_REVOKED, f"by version {version} or before")


def parse_workspace(
    name: str, pairs: dict[str, str]
) -> tuple[Workspace, list[KeyProblem]]:
    """Parse a ``workspace`` section.

    :returns: the workspace, and all problems found.
    """
    problems = [KeyProblem(key, "unknown key") for key in pairs.keys() - _KEYS]
    if _CONTROL_CHARS.search(name) or len(name.encode()) > _MAX_NAME_BYTES:
        problems.append(
            KeyProblem(
                "",
                f"the name must have {_MAX_NAME_BYTES} bytes at most and no control "
                "characters",
            )
        )
    workspace = Workspace(
        name=name,
        key_digests=_parse_digests(pairs.get("key_digests", ""), problems),
        priority=_parse_priority(pairs.get("priority", ""), problems),
        rate_per_s=_parse_rate("rate_per_s", pairs, problems),
        burst=_parse_rate("burst", pairs, problems),
        allowed_regions=parse_list(pairs.get("allowed_regions", "")),
    )
    return workspace, problems


class WorkspaceTableBuilder:
    """Builds a table of workspaces from the one of another version.

    The table is copied when the first workspace changes; without changes, the versions
    share it.
    """

    def __init__(self, previous: WorkspaceTable) -> None:
        self._table = previous
        self._by_digest: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        self._changed = False

    def remove(self, workspace: Workspace) -> None:
        """Remove a workspace and its keys."""
        self._copy_once()
        del self._by_name[workspace.name]
        for digest in workspace.key_digests:
            del self._by_digest[digest]

    def add(self, workspace: Workspace) -> list[KeyProblem]:
        """Add a workspace; return the problems with the ones that are there."""
        self._copy_once()
        if workspace.name in self._by_name:
            return [KeyProblem("", "there is another section of this workspace")]
        self._by_name[workspace.name] = workspace
        problems = []
        for digest in workspace.key_digests:
            other = self._by_digest.setdefault(digest, workspace)
            if other is not workspace:
                message = f"has a key that workspace {other.name} has as well"
                problems.append(KeyProblem("key_digests", message))
        return problems

    def build(self) -> WorkspaceTable:
        """Return the table, the previous one if nothing changed."""
        if not self._changed:
            return self._table
        return WorkspaceTable(self._by_digest, self._by_name)

    def _copy_once(self) -> None:
        if not self._changed:
            self._by_digest = dict(self._table.by_digest)
            self._by_name = dict(self._table.by_name)
            self._changed = True


def _parse_digests(text: str, problems: list[KeyProblem]) -> tuple[str, ...]:
    digests = parse_list(text.lower())
    if any(_DIGEST.fullmatch(digest) is None for digest in digests):
        message = "give SHA-256 digests of the keys, each as 64 hex digits"
        problems.append(KeyProblem("key_digests", message))
        return ()
    return digests


def _parse_priority(text: str, problems: list[KeyProblem]) -> int | None:
    if not text:
        return None
    number = parse_whole_number(text, -1)
    if not 0 <= number <= LOWEST_PRIORITY:
        message = f"give a whole number from 0 to {LOWEST_PRIORITY}, not {text!r}"
        problems.append(KeyProblem("priority", message))
        return None
    return number


def _parse_rate(key: str, pairs: dict[str, str], problems: list[KeyProblem]) -> float:
    number, found = parse_number(key, pairs.get(key) or "0", 0.0, MAX_RATE_PER_S)
    problems += found
    return number
