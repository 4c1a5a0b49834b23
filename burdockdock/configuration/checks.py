"""Checks of a whole configuration, on acceptance and again on each node."""

from datetime import datetime

from burdockdock.configuration.ini import digest_of
from burdockdock.configuration.model import (
    Override,
    Policy,
    Problem,
    Route,
    Sections,
    Service,
    Snapshot,
)

_POLICY_BOUNDS = {
    "timeout_ms": (1, 600_000),
    "retries": (0, 5),
    "queue_length": (0, 10_000),
}
_ROUTE_KEYS = {"path", "service", "host", "class", "priority"}
_OVERRIDE_KEYS = {"scope", "setting", "value", "reason", "expires"}
_INITIAL_VERSION = "initial_version"
_SCOPE_KINDS = ("zone", "service", "route", "node")
_MIN_REASON_LENGTH = 5


def build_snapshot(sections: Sections, *, version: int) -> Snapshot | list[Problem]:
    """Check sections and build the snapshot that nodes apply.

    :param version: the version that the snapshot will carry.
    :returns: the snapshot, or everything that is wrong with the sections.
    """
    builder = _Builder()
    for name, pairs in sections.items():
        builder.add_section(name, pairs)
    builder.check_references()
    if builder.problems:
        return builder.problems
    return Snapshot(
        version=version,
        digest=digest_of(sections),
        defaults=builder.defaults,
        services=builder.services,
        routes=tuple(sorted(builder.routes, key=_by_specificity)),
        overrides=tuple(builder.overrides),
        sections=sections,
    )


class _Builder:
    """Collects the parts of a snapshot and the problems found on the way."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.defaults = Policy()
        self.services: dict[str, Service] = {}
        self.routes: list[Route] = []
        self.overrides: list[Override] = []

    def add_section(self, section: str, pairs: dict[str, str]) -> None:
        """Check one section and keep what it says."""
        kind, _, name = section.partition(" ")
        name = name.strip()
        if section == "defaults":
            self.defaults = self.defaults._replace(**self._policy(section, pairs))
        elif kind == "service" and name:
            policy = {k: v for k, v in pairs.items() if k != _INITIAL_VERSION}
            self.services[name] = Service(
                name,
                self._policy(section, policy),
                pairs.get(_INITIAL_VERSION, ""),
            )
        elif kind == "route" and name:
            self._add_route(section, name, pairs)
        elif kind == "exception" and name:
            self._add_override(section, name, pairs)
        else:
            self._problem(
                section,
                "",
                "unknown section; use defaults, service NAME, route NAME "
                "or exception NAME",
            )

    def check_references(self) -> None:
        """Check that every name that is used is also defined."""
        for route in self.routes:
            if route.service not in self.services:
                self._problem(
                    f"route {route.name}",
                    "service",
                    f"service {route.service} is not defined; add "
                    f"[service {route.service}]",
                )
        self._check_route_matches()
        routes = {route.name for route in self.routes}
        known = {"service": self.services.keys(), "route": routes}
        for override in self.overrides:
            names = known.get(override.scope_kind)
            if names is not None and override.scope_name not in names:
                self._problem(
                    f"exception {override.name}",
                    "scope",
                    f"{override.scope_kind} {override.scope_name} is not defined",
                )

    def _check_route_matches(self) -> None:
        seen: dict[tuple[str, str], str] = {}
        for route in self.routes:
            match = (route.host, route.path)
            if match in seen:
                self._problem(
                    f"route {route.name}",
                    "path",
                    f"matches the same calls as route {seen[match]}",
                )
            seen[match] = route.name

    def _add_route(self, section: str, name: str, pairs: dict[str, str]) -> None:
        policy = {k: v for k, v in pairs.items() if k not in _ROUTE_KEYS}
        path = pairs.get("path", "")
        if not path.startswith("/"):
            self._problem(section, "path", "give a path that begins with /")
        if not pairs.get("service"):
            self._problem(section, "service", "give the service's name")
        self.routes.append(
            Route(
                name=name,
                path=path,
                service=pairs.get("service", ""),
                host=pairs.get("host", "").lower(),
                traffic_class=pairs.get("class", "default"),
                priority=self._integer(
                    section, "priority", pairs.get("priority", "0"), 0, 9
                ),
                policy_keys=self._policy(section, policy),
            )
        )

    def _add_override(self, section: str, name: str, pairs: dict[str, str]) -> None:
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
            return
        value = self._integer(
            section, "value", pairs.get("value", ""), *_POLICY_BOUNDS[setting]
        )
        expires = self._time(section, "expires", pairs.get("expires"))
        self.overrides.append(
            Override(name, kind, target, setting, value, reason, expires)
        )

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


def _by_specificity(route: Route) -> tuple[bool, int, str]:
    """Order routes so that the first match is the most specific one."""
    return not route.host, -len(route.path), route.name
