"""Checks a whole configuration and builds its snapshot.

Runs when a configuration is accepted, and again on each node that applies it.
"""

from burdockdock.configuration.bounds import (
    LOWEST_PRIORITY,
    MAX_COLD_PER_S,
    MAX_COLD_START_MS,
    OPERATOR_BOUNDS,
    ConfigBounds,
)
from burdockdock.configuration.caller_limits import parse_caller_limits
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
from burdockdock.configuration.values import (
    KeyProblem,
    parse_flag,
    parse_list,
    parse_number,
    parse_split,
    parse_time,
)
from burdockdock.configuration.workspaces import (
    WorkspaceTableBuilder,
    parse_workspace,
)
from burdockdock.coordination.whole_numbers import parse_whole_number

_ROUTE_KEYS = {
    "path",
    "service",
    "host",
    "class",
    "priority",
    "kind",
    "split",
    "target_latency_ms",
    "allowed_regions",
    "public",
}
_ROUTE_KINDS = ("idempotent", "non_idempotent", "download")
_OVERRIDE_KEYS = {"scope", "setting", "value", "reason", "expires"}
_SERVICE_KEYS = {"initial_version", "cold_per_s", "cold_start_ms"}
_SCOPE_KINDS = ("zone", "service", "route", "node")
_MIN_REASON_LENGTH = 5


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
        self._previous = previous
        self._bounds = bounds
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
        value = self._parse_section(section, pairs)
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
            self._note_problems(section, self._workspaces.add(value))
        else:
            self._defaults = Policy()._replace(**value)

    def _parse_section(
        self, section: str, pairs: dict[str, str]
    ) -> Service | Route | Override | CallerLimits | Workspace | dict[str, int] | None:
        kind, _, name = section.partition(" ")
        name = name.strip()
        if section == "defaults":
            return self._parse_policy(section, pairs)
        if section == "limits":
            return parse_caller_limits(section, pairs, self.problems)
        if kind == "service" and name:
            return self._parse_service(section, name, pairs)
        if kind == "route" and name:
            return self._parse_route(section, name, pairs)
        if kind == "exception" and name:
            return self._parse_override(section, name, pairs)
        if kind == "workspace" and name:
            workspace, problems = parse_workspace(name, pairs)
            self._note_problems(section, problems)
            return workspace
        allowed = "defaults, limits, service NAME, route NAME, workspace NAME"
        message = f"unknown section; use {allowed} or exception NAME"
        self._add_problem(section, "", message)
        return None

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

    def _parse_service(self, section: str, name: str, pairs: dict[str, str]) -> Service:
        policy = {k: v for k, v in pairs.items() if k not in _SERVICE_KEYS}
        cold_per_s, problems = parse_number(
            "cold_per_s", pairs.get("cold_per_s", "0"), 0, MAX_COLD_PER_S
        )
        self._note_problems(section, problems)
        cold_start = pairs.get("cold_start_ms", "0")
        return Service(
            name,
            self._parse_policy(section, policy),
            pairs.get("initial_version", ""),
            cold_per_s,
            self._parse_integer(
                section, "cold_start_ms", cold_start, 0, MAX_COLD_START_MS
            ),
        )

    def _parse_route(self, section: str, name: str, pairs: dict[str, str]) -> Route:
        policy = {k: v for k, v in pairs.items() if k not in _ROUTE_KEYS}
        path = pairs.get("path", "")
        if not path.startswith("/"):
            self._add_problem(section, "path", "give a path that begins with /")
        split, problems = parse_split(pairs.get("split", ""))
        self._note_problems(section, problems)
        if not pairs.get("service") and not split:
            self._add_problem(section, "service", "give the service's name")
        kind = pairs.get("kind", "")
        if kind and kind not in _ROUTE_KINDS:
            self._add_problem(section, "kind", f"give one of {', '.join(_ROUTE_KINDS)}")
        public, problems = parse_flag("public", pairs.get("public", "false"))
        self._note_problems(section, problems)
        return Route(
            name=name,
            path=path,
            service=pairs.get("service", ""),
            host=pairs.get("host", "").lower(),
            traffic_class=pairs.get("class", "default"),
            priority=self._parse_integer(
                section, "priority", pairs.get("priority", "0"), 0, LOWEST_PRIORITY
            ),
            policy_settings=self._parse_policy(section, policy),
            kind=kind,
            split=split,
            target_latency_ms=self._parse_integer(
                section,
                "target_latency_ms",
                pairs.get("target_latency_ms", "0"),
                *self._bounds.target_latency_ms,
            ),
            allowed_regions=parse_list(pairs.get("allowed_regions", "")),
            public=public,
        )

    def _parse_override(
        self, section: str, name: str, pairs: dict[str, str]
    ) -> Override | None:
        for key in pairs.keys() - _OVERRIDE_KEYS:
            self._add_problem(section, key, "unknown key")
        kind, _, target = pairs.get("scope", "").partition(":")
        if kind not in _SCOPE_KINDS or not target:
            self._add_problem(
                section, "scope", "give zone:NAME, service:NAME, route:NAME or node:ID"
            )
        reason = pairs.get("reason", "").strip()
        if len(reason) < _MIN_REASON_LENGTH:
            self._add_problem(section, "reason", "give a written reason")
        setting = pairs.get("setting", "")
        if setting not in self._bounds.policy:
            self._add_problem(
                section, "setting", f"give one of {', '.join(self._bounds.policy)}"
            )
            return None
        value = self._parse_integer(
            section, "value", pairs.get("value", ""), *self._bounds.policy[setting]
        )
        expires, problems = parse_time("expires", pairs.get("expires"))
        self._note_problems(section, problems)
        return Override(name, kind, target, setting, value, reason, expires)

    def _parse_policy(self, section: str, pairs: dict[str, str]) -> dict[str, int]:
        settings: dict[str, int] = {}
        for key, text in pairs.items():
            if key not in self._bounds.policy:
                self._add_problem(section, key, "unknown key")
                continue
            settings[key] = self._parse_integer(
                section, key, text, *self._bounds.policy[key]
            )
        return settings

    def _parse_integer(
        self, section: str, key: str, text: str, low: int, high: int
    ) -> int:
        number = parse_whole_number(text, low - 1)
        if low <= number <= high:
            return number
        self._add_problem(
            section, key, f"give a whole number from {low} to {high}, not {text!r}"
        )
        return low

    def _note_problems(self, section: str, problems: list[KeyProblem]) -> None:
        self.problems += [Problem(section, *problem) for problem in problems]

    def _add_problem(self, section: str, key: str, message: str) -> None:
        self.problems.append(Problem(section, key, message))


def _route_match(route: Route) -> RouteMatch:
    return RouteMatch(route.host, route.path)
