"""Parses single sections of a configuration, and collects what is wrong with them."""

from burdockdock.configuration.bounds import (
    LOWEST_PRIORITY,
    MAX_COLD_PER_S,
    MAX_COLD_START_MS,
    ConfigBounds,
)
from burdockdock.configuration.caller_limits import parse_caller_limits
from burdockdock.configuration.model import (
    CallerLimits,
    Override,
    Problem,
    Route,
    Service,
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
from burdockdock.configuration.workspaces import parse_workspace
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


class SectionParser:
    """Parses sections by their kind.

    :param problems: list to which problems are added.
    :param bounds: least and largest values that are allowed.
    """

    def __init__(self, problems: list[Problem], *, bounds: ConfigBounds) -> None:
        self._problems = problems
        self._bounds = bounds

    def parse(
        self, section: str, pairs: dict[str, str]
    ) -> Service | Route | Override | CallerLimits | Workspace | dict[str, int] | None:
        """Parse a section; return None if it defines nothing that could be used."""
        kind, _, name = section.partition(" ")
        name = name.strip()
        if section == "defaults":
            return self._parse_policy(section, pairs)
        if section == "limits":
            return parse_caller_limits(section, pairs, self._problems)
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
        self._problems += [Problem(section, *problem) for problem in problems]

    def _add_problem(self, section: str, key: str, message: str) -> None:
        self._problems.append(Problem(section, key, message))
