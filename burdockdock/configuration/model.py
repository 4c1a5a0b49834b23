"""The data of a configuration version."""

from datetime import datetime
from typing import NamedTuple

Sections = dict[str, dict[str, str]]


class Problem(NamedTuple):
    """One thing that is wrong with a configuration or a settings file.

    :param section: name of the section, empty for the whole file.
    :param key: the key, empty for the whole section.
    :param message: what to change.
    """

    section: str
    key: str
    message: str

    def __str__(self) -> str:
        place = f"[{self.section}]" if self.section else "file"
        return (
            f"{place} {self.key}: {self.message}"
            if self.key
            else (f"{place}: {self.message}")
        )


class Policy(NamedTuple):
    """How calls are handled.

    :param timeout_ms: longest time of a call.
    :param retries: further attempts after the first.
    :param queue_length: calls that may wait at one backend server.
    """

    timeout_ms: int = 2000
    retries: int = 1
    queue_length: int = 32


class Service(NamedTuple):
    """A service that routes may name, with the policy keys that it sets.

    :param initial_version: version that takes the calls before any rollout, empty
        for all alike.
    """

    name: str
    policy_keys: dict[str, int]
    initial_version: str = ""


class SplitPart(NamedTuple):
    """One service's part of a route's calls.

    :param weight: the part, relative to the others' weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that sends calls to a service.

    :param host: host name that the call must carry, empty for any.
    :param path: prefix of the path, whole segments only.
    :param service: empty when the calls are split.
    :param traffic_class: label of the calls in metrics and queues.
    :param priority: lower is served first when calls wait.
    :param kind: what may be repeated; empty when the method says it.
    :param split: services with their weights, among which the calls are divided.
    :param target_latency_ms: time within which an answer is of full use, 0 for none.
    """

    name: str
    path: str
    service: str
    host: str = ""
    traffic_class: str = "default"
    priority: int = 0
    policy_keys: dict[str, int] = {}
    kind: str = ""
    split: tuple[SplitPart, ...] = ()
    target_latency_ms: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that may take the route's calls."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


class Override(NamedTuple):
    """An operator's exception to the policy, with its written reason.

    :param scope_kind: one of ``zone``, ``service``, ``route``, ``node``.
    :param expires: when it ends, None for never.
    """

    name: str
    scope_kind: str
    scope_name: str
    setting: str
    value: int
    reason: str
    expires: datetime | None = None


class Part(NamedTuple):
    """One checked section.

    :param pairs: the section as it stands in the configuration.
    :param digest: of its name and pairs.
    :param value: what the section defines; the policy keys of the defaults.
    """

    pairs: dict[str, str]
    digest: int
    value: "Service | Route | Override | dict[str, int]"


class RouteMatch(NamedTuple):
    """What a route matches; no two routes match the same."""

    host: str
    path: str


class Scope(NamedTuple):
    """What an exception holds for."""

    kind: str
    name: str


class Snapshot(NamedTuple):
    """One whole configuration version.

    :param version: assigned by the platform, 0 before the first.
    :param digest: of the sections, in any order.
    :param parts: the checked sections by name.
    :param by_scope: the overrides of each scope in the order of their names.
    """

    version: int
    digest: int
    defaults: Policy
    services: dict[str, Service]
    routes: dict[RouteMatch, Route]
    overrides: dict[str, Override]
    sections: Sections
    parts: dict[str, Part]
    by_scope: dict[Scope, list[Override]]


EMPTY_SNAPSHOT = Snapshot(0, 0, Policy(), {}, {}, {}, {}, {}, {})
