"""Checks of a whole configuration, on acceptance and again on each node."""

from collections.abc import Iterable
from datetime import datetime

from burdockdock.configuration.delta import changed_sections
from burdockdock.configuration.ini import section_digest
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Override,
    Part,
    Policy,
    Problem,
    Route,
    RouteMatch,
    Scope,
    Sections,
    Service,
    Snapshot,
    SplitPart,
)

_POLICY_BOUNDS = {
    "timeout_ms": (1, 600_000),
    "retries": (0, 5),
    "queue_length": (0, 10_000),
}
_ROUTE_KEYS = {
    "path",
    "service",
    "host",
    "class",
    "priority",
    "kind",
    "split",
    "target_latency_ms",
}
_ROUTE_KINDS = ("idempotent", "non_idempotent", "download")
_LONGEST_MS = 600_000
_OVERRIDE_KEYS = {"scope", "setting", "value", "reason", "expires"}
_INITIAL_VERSION = "initial_version"
_SCOPE_KINDS = ("zone", "service", "route", "node")
_MIN_REASON_LENGTH = 5


def build_snapshot(
    sections: Sections, *, version: int, previous: Snapshot = EMPTY_SNAPSHOT
) -> Snapshot | list[Problem]:
    """Check sections and build the snapshot that nodes apply.

    The result does not depend on the previous snapshot; sections that stand in both
    are only not checked again on their own.

    :param version: the version that the snapshot will carry.
    :returns: the snapshot, or everything that is wrong with the sections.
    """
    builder = _Builder(previous)
    builder.change_to(sections)
    builder.check_references()
    if builder.problems:
        return builder.problems
    return builder.snapshot(sections, version)


class _Builder:
    """Collects the parts of a snapshot and the problems found on the way."""

    def __init__(self, previous: Snapshot) -> None:
        self.problems: list[Problem] = []
        self._previous = previous
        self._digest = previous.digest
        self._defaults = previous.defaults
        self._services = dict(previous.services)
        self._routes = dict(previous.routes)
        self._overrides = dict(previous.overrides)
        self._parts = dict(previous.parts)
        self._added: list[str] = []
        self._services_removed = False

    def change_to(self, sections: Sections) -> None:
        """Take out the sections that are gone or changed, then add the new ones."""
        old = self._previous.sections
        changed = changed_sections(old, sections)
        gone = [name for name in old if name not in sections]
        for name in [*gone, *(n for n in changed if n in old)]:
            self._remove(name)
        for name in changed:
            self._add(name, sections[name])

    def check_references(self) -> None:
        """Check that every name that is used is also defined."""
        names = self._parts if self._services_removed else self._added
        for name in names:
            value = self._parts[name].value
            if isinstance(value, Route):
                self._check_services(name, value)
        for override in self._overrides.values():
            self._check_scope(override)

    def _check_services(self, section: str, route: Route) -> None:
        for service in route.services:
            if service not in self._services:
                self._problem(
                    section,
                    "split" if route.split else "service",
                    f"service {service} is not defined; add [service {service}]",
                )

    def snapshot(self, sections: Sections, version: int) -> Snapshot:
        """Return what was built.

        Sections that did not change are the very objects of the previous snapshot, so
        that versions kept beside each other share them.
        """
        return Snapshot(
            version=version,
            digest=self._digest,
            defaults=self._defaults,
            services=self._services,
            routes=self._routes,
            overrides=self._overrides,
            sections={name: self._parts[name].pairs for name in sections},
            parts=self._parts,
            by_scope=_by_scope(self._overrides.values()),
        )

    def _remove(self, section: str) -> None:
        part = self._parts.pop(section)
        self._digest ^= part.digest
        if isinstance(part.value, Service):
            del self._services[part.value.name]
            self._services_removed = True
        elif isinstance(part.value, Route):
            del self._routes[_match_of(part.value)]
        elif isinstance(part.value, Override):
            del self._overrides[part.value.name]
        else:
            self._defaults = Policy()

    def _add(self, section: str, pairs: dict[str, str]) -> None:
        """Check one section and keep what it says."""
        value = self._read(section, pairs)
        if value is None:
            return
        digest = section_digest(section, pairs)
        self._digest ^= digest
        self._parts[section] = Part(pairs, digest, value)
        self._added.append(section)
        if isinstance(value, Service):
            self._services[value.name] = value
        elif isinstance(value, Route):
            self._add_match(section, value)
        elif isinstance(value, Override):
            self._overrides[value.name] = value
        else:
            self._defaults = Policy()._replace(**value)

    def _read(
        self, section: str, pairs: dict[str, str]
    ) -> Service | Route | Override | dict[str, int] | None:
        kind, _, name = section.partition(" ")
        name = name.strip()
        if section == "defaults":
            return self._policy(section, pairs)
        if kind == "service" and name:
            return self._read_service(section, name, pairs)
        if kind == "route" and name:
            return self._read_route(section, name, pairs)
        if kind == "exception" and name:
            return self._read_override(section, name, pairs)
        self._problem(
            section,
            "",
            "unknown section; use defaults, service NAME, route NAME or exception NAME",
        )
        return None

    def _add_match(self, section: str, route: Route) -> None:
        other = self._routes.setdefault(_match_of(route), route)
        if other is not route:
            self._problem(
                section, "path", f"matches the same calls as route {other.name}"
            )

    def _check_scope(self, override: Override) -> None:
        defined = {
            "service": lambda name: name in self._services,
            "route": lambda name: f"route {name}" in self._parts,
        }
        is_defined = defined.get(override.scope_kind)
        if is_defined is not None and not is_defined(override.scope_name):
            self._problem(
                f"exception {override.name}",
                "scope",
                f"{override.scope_kind} {override.scope_name} is not defined",
            )

    def _read_service(self, section: str, name: str, pairs: dict[str, str]) -> Service:
        policy = {k: v for k, v in pairs.items() if k != _INITIAL_VERSION}
        return Service(
            name, self._policy(section, policy), pairs.get(_INITIAL_VERSION, "")
        )

    def _read_route(self, section: str, name: str, pairs: dict[str, str]) -> Route:
        policy = {k: v for k, v in pairs.items() if k not in _ROUTE_KEYS}
        path = pairs.get("path", "")
        if not path.startswith("/"):
            self._problem(section, "path", "give a path that begins with /")
        split = self._split(section, pairs.get("split", ""))
        if not pairs.get("service") and not split:
            self._problem(section, "service", "give the service's name")
        kind = pairs.get("kind", "")
        if kind and kind not in _ROUTE_KINDS:
            self._problem(section, "kind", f"give one of {', '.join(_ROUTE_KINDS)}")
        return Route(
            name=name,
            path=path,
            service=pairs.get("service", ""),
            host=pairs.get("host", "").lower(),
            traffic_class=pairs.get("class", "default"),
            priority=self._integer(
                section, "priority", pairs.get("priority", "0"), 0, 9
            ),
            policy_keys=self._policy(section, policy),
            kind=kind,
            split=split,
            target_latency_ms=self._integer(
                section,
                "target_latency_ms",
                pairs.get("target_latency_ms", "0"),
                0,
                _LONGEST_MS,
            ),
        )

    def _split(self, section: str, text: str) -> tuple[SplitPart, ...]:
        """Read services with weights, such as ``work:90, work-next:10``."""
        parts = []
        for item in text.split(",") if text else ():
            service, _, weight = item.strip().rpartition(":")
            try:
                part = SplitPart(service, float(weight))
            except ValueError:
                part = SplitPart("", 0.0)
            if not part.service or not 0 <= part.weight < float("inf"):
                self._problem(section, "split", "give SERVICE:WEIGHT, SERVICE:WEIGHT")
                return ()
            parts.append(part)
        if parts and not any(part.weight for part in parts):
            self._problem(section, "split", "give one weight above 0 at least")
        return tuple(parts)

    def _read_override(
        self, section: str, name: str, pairs: dict[str, str]
    ) -> Override | None:
        for key in pairs.keys() - _OVERRIDE_KEYS:
            self._problem(section, key, "unknown key")
        kind, _, target = pairs.get("scope", "").partition(":")
        if kind not in _SCOPE_KINDS or not target:
            self._problem(
                section, "scope", "give zone:NAME, service:NAME, route:NAME or node:ID"
            )
        reason = pairs.get("reason", "").strip()
        if len(reason) < _MIN_REASON_LENGTH:
            self._problem(section, "reason", "give a written reason")
        setting = pairs.get("setting", "")
        if setting not in _POLICY_BOUNDS:
            self._problem(
                section, "setting", f"give one of {', '.join(_POLICY_BOUNDS)}"
            )
            return None
        value = self._integer(
            section, "value", pairs.get("value", ""), *_POLICY_BOUNDS[setting]
        )
        expires = self._time(section, "expires", pairs.get("expires"))
        return Override(name, kind, target, setting, value, reason, expires)

    def _policy(self, section: str, pairs: dict[str, str]) -> dict[str, int]:
        keys: dict[str, int] = {}
        for key, text in pairs.items():
            if key not in _POLICY_BOUNDS:
                self._problem(section, key, "unknown key")
                continue
            keys[key] = self._integer(section, key, text, *_POLICY_BOUNDS[key])
        return keys

    def _integer(self, section: str, key: str, text: str, low: int, high: int) -> int:
        if text.isascii() and text.isdecimal() and low <= int(text) <= high:
            return int(text)
        self._problem(
            section, key, f"give a whole number from {low} to {high}, not {text!r}"
        )
        return low

    def _time(self, section: str, key: str, text: str | None) -> datetime | None:
        if text is None:
            return None
        try:
            time = datetime.fromisoformat(text)
        except ValueError:
            time = None
        if time is None or time.tzinfo is None:
            self._problem(
                section, key, "give a time with its zone, such as 2026-12-31T18:00:00Z"
            )
            return None
        return time

    def _problem(self, section: str, key: str, message: str) -> None:
        self.problems.append(Problem(section, key, message))


def _by_scope(overrides: Iterable[Override]) -> dict[Scope, list[Override]]:
    found: dict[Scope, list[Override]] = {}
    for override in sorted(overrides, key=lambda o: o.name):
        scope = Scope(override.scope_kind, override.scope_name)
        found.setdefault(scope, []).append(override)
    return found


def _match_of(route: Route) -> RouteMatch:
    return RouteMatch(route.host, route.path)
