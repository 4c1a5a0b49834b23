"""Checks a whole configuration and builds its snapshot.

Runs when a configuration is accepted, and again on each node that applies it.
"""

from burdockdock.configuration.bounds import OPERATOR_BOUNDS, ConfigBounds
from burdockdock.configuration.delta import changed_sections
from burdockdock.configuration.ini import section_digest
from burdockdock.configuration.lookup import group_by_scope, path_lengths
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    CallerLimits,
    CheckedSection,
    Override,
    Policy,
    Problem,
    Route,
    RouteMatch,
    Sections,
    Service,
    Snapshot,
    Workspace,
)
from burdockdock.configuration.sections import SectionParser
from burdockdock.configuration.workspaces import WorkspaceTableBuilder


def build_snapshot(
    sections: Sections,
    *,
    version: int,
    previous: Snapshot = EMPTY_SNAPSHOT,
    bounds: ConfigBounds = OPERATOR_BOUNDS,
) -> Snapshot | list[Problem]:
    """Check sections and build the snapshot that nodes apply.

    The result does not depend on the previous snapshot. It only saves work: sections
    that did not change are not parsed again.

    :param version: configuration version of the snapshot.
    :param previous: snapshot of another version to build on, by the same bounds.
    :returns: the snapshot, or all problems found in the sections.
    """
    builder = _SnapshotBuilder(previous, bounds)
    builder.apply_sections(sections)
    builder.check_references()
    if builder.problems:
        return builder.problems
    return builder.build(sections, version)


class _SnapshotBuilder:
    """Builds a snapshot from a previous one and collects problems."""

    def __init__(self, previous: Snapshot, bounds: ConfigBounds) -> None:
        self.problems: list[Problem] = []
        self._parser = SectionParser(self.problems, bounds=bounds)
        self._previous = previous
        self._digest = previous.digest
        self._defaults = previous.defaults
        self._limits = previous.limits
        self._services = dict(previous.services)
        self._routes = dict(previous.routes)
        self._overrides = dict(previous.overrides)
        self._workspaces = WorkspaceTableBuilder(previous.workspaces)
        self._checked = dict(previous.checked_sections)
        self._added: list[str] = []
        self._services_removed = False

    def apply_sections(self, sections: Sections) -> None:
        """Remove the sections that are gone or changed, then add the new ones."""
        old = self._previous.sections
        changed = changed_sections(old, sections)
        removed = [name for name in old if name not in sections]
        for name in [*removed, *(n for n in changed if n in old)]:
            self._remove_section(name)
        for name in changed:
            self._add_section(name, sections[name])

    def check_references(self) -> None:
        """Check that every referenced service and route is defined.

        Unchanged routes need this check only if a service was removed.
        """
        names = self._checked if self._services_removed else self._added
        for name in names:
            value = self._checked[name].value
            if isinstance(value, Route):
                self._check_services(name, value)
        for override in self._overrides.values():
            self._check_scope(override)

    def _check_services(self, section: str, route: Route) -> None:
        for service in route.services:
            if service not in self._services:
                self._add_problem(
                    section,
                    "split" if route.split else "service",
                    f"service {service} is not defined; add [service {service}]",
                )

    def build(self, sections: Sections, version: int) -> Snapshot:
        """Return the snapshot.

        Sections that did not change are the same objects as in the previous snapshot,
        so that versions held in memory together share them.
        """
        return Snapshot(
            version=version,
            digest=self._digest,
            defaults=self._defaults,
            services=self._services,
            routes=self._routes,
            overrides=self._overrides,
            sections={name: self._checked[name].pairs for name in sections},
            checked_sections=self._checked,
            overrides_by_scope=group_by_scope(self._overrides.values()),
            limits=self._limits,
            workspaces=self._workspaces.build(),
            path_lengths=path_lengths(self._routes),
        )

    def _remove_section(self, section: str) -> None:
        checked = self._checked.pop(section)
        self._digest ^= checked.digest
        if isinstance(checked.value, Service):
            del self._services[checked.value.name]
            self._services_removed = True
        elif isinstance(checked.value, Route):
            del self._routes[_route_match(checked.value)]
        elif isinstance(checked.value, Override):
            del self._overrides[checked.value.name]
        elif isinstance(checked.value, CallerLimits):
            self._limits = CallerLimits()
        elif isinstance(checked.value, Workspace):
            self._workspaces.remove(checked.value)
        else:
            self._defaults = Policy()

    def _add_section(self, section: str, pairs: dict[str, str]) -> None:
        """Check one section and add what it defines."""
        value = self._parser.parse(section, pairs)
        if value is None:
            return
        digest = section_digest(section, pairs)
        self._digest ^= digest
        self._checked[section] = CheckedSection(pairs, digest, value)
        self._added.append(section)
        if isinstance(value, Service):
            self._services[value.name] = value
        elif isinstance(value, Route):
            self._add_route(section, value)
        elif isinstance(value, Override):
            self._overrides[value.name] = value
        elif isinstance(value, CallerLimits):
            self._limits = value
        elif isinstance(value, Workspace):
            problems = self._workspaces.add(value)
            self.problems += [Problem(section, *problem) for problem in problems]
        else:
            self._defaults = Policy()._replace(**value)

    def _add_route(self, section: str, route: Route) -> None:
        other = self._routes.setdefault(_route_match(route), route)
        if other is not route:
            self._add_problem(
                section, "path", f"matches the same calls as route {other.name}"
            )

    def _check_scope(self, override: Override) -> None:
        defined = {
            "service": lambda name: name in self._services,
            "route": lambda name: f"route {name}" in self._checked,
        }
        is_defined = defined.get(override.scope_kind)
        if is_defined is not None and not is_defined(override.scope_name):
            self._add_problem(
                f"exception {override.name}",
                "scope",
                f"{override.scope_kind} {override.scope_name} is not defined",
            )

    def _add_problem(self, section: str, key: str, message: str) -> None:
        self.problems.append(Problem(section, key, message))


def _route_match(route: Route) -> RouteMatch:
    return RouteMatch(route.host, route.path)
