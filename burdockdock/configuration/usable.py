"""Builds a snapshot of a configuration that was accepted elsewhere.

Whoever accepted it holds every node to it, so that a node can't keep an older version
instead. A section that a node can't use is left out alone.
"""

from typing import NamedTuple

from burdockdock.configuration.bounds import NODE_BOUNDS
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Problem,
    Sections,
    Snapshot,
)

_WORKSPACE_PREFIX = "workspace "


class UsableSnapshot(NamedTuple):
    """The snapshot of the sections that a node can use.

    :param snapshot: what calls are handled by.
    :param base: the snapshot to build the next version on.
    :param unused: why sections were left out, by their names.
    """

    snapshot: Snapshot
    base: Snapshot
    unused: dict[str, Problem]


def build_usable_snapshot(
    sections: Sections, *, version: int, previous: Snapshot = EMPTY_SNAPSHOT
) -> UsableSnapshot:
    """Build the snapshot of the sections that can be used.

    The result depends on the sections alone, not on their order nor on the previous
    snapshot, so that all nodes leave out the same ones.

    :param previous: base of the version applied before, which only saves work.
    """
    built = build_snapshot(
        sections, version=version, previous=previous, bounds=NODE_BOUNDS
    )
    unused: dict[str, Problem] = {}
    if isinstance(built, list):
        built, unused = _leave_out_unusable(sections, version)
    return UsableSnapshot(_keep_authentication(built, unused), built, unused)


def _leave_out_unusable(
    sections: Sections, version: int
) -> tuple[Snapshot, dict[str, Problem]]:
    """Build a snapshot from nothing without the sections that have problems."""
    usable = dict(sorted(sections.items()))
    unused: dict[str, Problem] = {}
    while True:
        built = build_snapshot(usable, version=version, bounds=NODE_BOUNDS)
        if isinstance(built, Snapshot):
            return built, unused
        # Without these, others that refer to them may be unusable as well.
        for problem in built:
            usable.pop(problem.section, None)
            unused.setdefault(problem.section, problem)


def _keep_authentication(snapshot: Snapshot, unused: dict[str, Problem]) -> Snapshot:
    """Return a snapshot that requires keys also without the unused workspaces."""
    if not any(section.startswith(_WORKSPACE_PREFIX) for section in unused):
        return snapshot
    return snapshot._replace(workspaces=snapshot.workspaces._replace(requires_key=True))
