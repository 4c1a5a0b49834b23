"""Data types of a configuration version."""

from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

Sections = dict[str, dict[str, str]]


class Problem(NamedTuple):
    """An error in a configuration or a settings file.

    :param section: name of the section, empty for a problem of the whole file.
    :param key: the key, empty for a problem of the whole section.
    :param message: what is wrong, or what to write instead.
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

    :param timeout_ms: longest duration of a call, including all its attempts.
    :param retries: highest number of attempts after the first.
    :param queue_length: highest number of calls that may wait for one backend server.
    """

    timeout_ms: int = 2000
    retries: int = 1
    queue_length: int = 32


class Service(NamedTuple):
    """A service that routes can send calls to.

    :param policy_settings: policy settings of its calls, by name.
    :param initial_version: version of the backend servers that gets the calls before
        the first rollout, empty to send calls to all versions.
    :param cold_per_s: requests per second that a cold backend server takes, 0 for no
        limit.
    :param cold_start_ms: how long a backend server is cold after its start, 0 if
        unknown.
    """

    name: str
    policy_settings: dict[str, int]
    initial_version: str = ""
    cold_per_s: float = 0.0
    cold_start_ms: int = 0


class SplitPart(NamedTuple):
    """A service that gets a share of a split route's calls.

    :param weight: its share, relative to the sum of the weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that sends calls to a service.

    :param path: path prefix that a call must match, in whole segments.
    :param service: service that gets the calls, empty if the calls are split.
    :param host: host name that a call must have, empty for any.
    :param traffic_class: label of the calls in metrics and queues.
    :param priority: lower values are served first when calls wait.
    :param policy_settings: policy settings of its calls, by name.
    :param kind: ``idempotent``, ``non_idempotent`` or ``download`` (idempotent with a
        large answer); empty to decide by the HTTP method whether a call is idempotent.
    :param split: weighted services that the calls are divided among.
    :param target_latency_ms: time after which an answer loses value, 0 for none.
    :param allowed_regions: regions whose backend servers may get the route's calls,
        empty for all.
    :param public: whether it needs no API key where workspaces are configured.
    """

    name: str
    path: str
    service: str
    host: str = ""
    traffic_class: str = "default"
    priority: int = 0
    policy_settings: dict[str, int] = {}
    kind: str = ""
    split: tuple[SplitPart, ...] = ()
    target_latency_ms: int = 0
    allowed_regions: tuple[str, ...] = ()
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that can get the route's calls."""
        if self.split:
            return tuple(part.service for part in self.split)
        return (self.service,)


class Override(NamedTuple):
    """An ``exception`` section: an operator's override of one policy setting.

    :param scope_kind: one of ``zone``, ``service``, ``route``, ``node``.
    :param scope_name: name of the zone, service or route, or ID of the node.
    :param setting: name of the policy setting.
    :param reason: the operator's reason for the override.
    :param expires: time from which it no longer applies, None for never.
    """

    name: str
    scope_kind: str
    scope_name: str
    setting: str
    value: int
    reason: str
    expires: datetime | None = None


class CallerLimits(NamedTuple):
    """What callers may send; 0 for no limit.

    :param max_header_bytes: size of a request's head.
    :param max_body_bytes: size of a request's body.
    :param header_timeout_ms: time for a request's head, from its first byte.
    :param idle_timeout_ms: time that a connection may wait for its next request.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class Workspace(NamedTuple):
    """A group of callers that share API keys, a priority and a quota.

    :param key_digests: SHA-256 digests of its API keys, in lower-case hex.
    :param priority: replaces the priority of routes, None to leave it.
    :param rate_per_s: requests per second that it may send, 0 for no limit.
    :param burst: requests that it may send beyond that rate.
    :param allowed_regions: regions whose backend servers may run its requests, empty
        for all.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class WorkspaceTable(NamedTuple):
    """The workspaces of one configuration version.

    A table never changes. Versions whose workspaces are the same share one table, so
    that an identity check tells whether anything changed.

    :param by_digest: the workspace of each API key, by the key's digest.
    :param requires_key: whether requests need a key even without any workspace.
    """

    by_digest: Mapping[str, Workspace]
    by_name: Mapping[str, Workspace]
    requires_key: bool = False

    @property
    def authenticates(self) -> bool:
        """Whether requests need an API key, except on public routes."""
        return self.requires_key or bool(self.by_name)


NO_WORKSPACES = WorkspaceTable({}, {})


class CheckedSection(NamedTuple):
    """A section of the configuration that passed its checks.

    :param pairs: keys and values as written in the configuration.
    :param digest: digest of its name and pairs.
    :param value: what the section defines; a dict of policy settings for the defaults.
    """

    pairs: dict[str, str]
    digest: int
    value: "Service | Route | Override | CallerLimits | Workspace | dict[str, int]"


class RouteMatch(NamedTuple):
    """The host and path that a route matches; unique among the routes."""

    host: str
    path: str


class Scope(NamedTuple):
    """The zone, service, route or node that an override applies to."""

    kind: str
    name: str


class Snapshot(NamedTuple):
    """A whole configuration version, checked and indexed for lookups.

    :param version: configuration version as stored in the platform, 0 before the first.
    :param digest: digest of the sections that does not depend on their order.
    :param overrides: the overrides by name.
    :param sections: the sections as written in the configuration.
    :param checked_sections: the checked sections by name.
    :param overrides_by_scope: the overrides of each scope, sorted by name.
    :param limits: what callers may send.
    :param workspaces: the workspaces and their API keys.
    :param path_lengths: different lengths of the routes' paths, longest first.
    """

    version: int
    digest: int
    defaults: Policy
    services: dict[str, Service]
    routes: dict[RouteMatch, Route]
    overrides: dict[str, Override]
    sections: Sections
    checked_sections: dict[str, CheckedSection]
    overrides_by_scope: dict[Scope, list[Override]]
    limits: CallerLimits = CallerLimits()
    workspaces: WorkspaceTable = NO_WORKSPACES
    path_lengths: tuple[int, ...] = ()


EMPTY_SNAPSHOT = Snapshot(0, 0, Policy(), {}, {}, {}, {}, {}, {})
