"""Finds the route, the service and the policy of a call in a snapshot."""

import random
from collections.abc import Iterable, Iterator
from datetime import datetime

from burdockdock.configuration.model import (
    Override,
    Policy,
    Route,
    RouteMatch,
    Scope,
    Snapshot,
)


def find_route(snapshot: Snapshot, *, host: str, path: str) -> Route | None:
    """Return the most specific matching route: by host first, then by longest path.

    :param host: the request's host; a port after it is ignored.
    """
    host_name = host.partition(":")[0].lower()
    hosts = (host_name, "") if host_name else ("",)
    for route_host in hosts:
        for prefix in _matching_prefixes(path, snapshot.path_lengths):
            route = snapshot.routes.get(RouteMatch(route_host, prefix))
            if route is not None:
                return route
    return None


def path_lengths(matches: Iterable[RouteMatch]) -> tuple[int, ...]:
    """Return the different lengths of routes' paths, longest first."""
    return tuple(sorted({len(match.path) for match in matches}, reverse=True))


def draw_service(route: Route, *, rng: random.Random) -> str:
    """Return the service for one call, drawn at random by weight if the route is split.

    The draw ignores the load of the services, so that each one's share of the calls
    matches its weight even when one of them is short of capacity.
    """
    if not route.split:
        return route.service
    remaining = rng.random() * sum(part.weight for part in route.split)
    for part in route.split:
        remaining -= part.weight
        if remaining < 0.0:
            return part.service
    return next(part.service for part in reversed(route.split) if part.weight)


def policy_for(
    snapshot: Snapshot,
    route: Route,
    *,
    service: str = "",
    availability_zone: str,
    node_id: str,
    now: datetime,
) -> Policy:
    """Return the policy of a route's calls to one service on one node.

    Later sources replace earlier ones: the defaults, the service, the route, then the
    overrides that have not expired, by scope in the order zone, service, route, node.
    Overrides of one scope apply in the order of their names.

    :param service: the service drawn for the call, by default the route's only one.
    :param now: time at which the overrides' expiry is checked.
    """
    service = service or route.service
    settings = {
        **snapshot.services[service].policy_settings,
        **route.policy_settings,
    }
    scopes = (
        Scope("zone", availability_zone),
        Scope("service", service),
        Scope("route", route.name),
        Scope("node", node_id),
    )
    for scope in scopes:
        for override in snapshot.overrides_by_scope.get(scope, ()):
            if _is_active(override, now):
                settings[override.setting] = override.value
    return snapshot.defaults._replace(**settings)


def group_by_scope(overrides: Iterable[Override]) -> dict[Scope, list[Override]]:
    """Return the overrides of each scope, sorted by name."""
    grouped: dict[Scope, list[Override]] = {}
    for override in sorted(overrides, key=lambda o: o.name):
        scope = Scope(override.scope_kind, override.scope_name)
        grouped.setdefault(scope, []).append(override)
    return grouped


def _matching_prefixes(path: str, lengths: tuple[int, ...]) -> Iterator[str]:
    """Return the beginnings of a path that a route may have, longest first.

    Only those of a length that some route has, one at a time: the caller chooses how
    many segments its path has.

    :param lengths: different lengths of the routes' paths, longest first.
    """
    for length in lengths:
        if _ends_segment(path, length):
            yield path[:length]


def _ends_segment(path: str, length: int) -> bool:
    """Return whether a beginning of a path consists of whole segments."""
    if length >= len(path):
        return length == len(path)
    return path[length] == "/" or path[length - 1 : length] == "/"


def _is_active(override: Override, now: datetime) -> bool:
    return override.expires is None or now < override.expires
