"""Finding the route and the policy of a call in a snapshot."""

import random
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
    """Return the most specific route: by host first, then by the longest path."""
    name = host.partition(":")[0].lower()
    hosts = (name, "") if name else ("",)
    prefixes = _prefixes(path)
    for route_host in hosts:
        for prefix in prefixes:
            route = snapshot.routes.get(RouteMatch(route_host, prefix))
            if route is not None:
                return route
    return None


def draw_service(route: Route, *, rng: random.Random) -> str:
    """Return the service for one call, drawn by weight where the route is split.

    The draw does not look at which service has room, so that the parts keep their
    weights when one of them is short of it.
    """
    if not route.split:
        return route.service
    point = rng.random() * sum(part.weight for part in route.split)
    for part in route.split:
        point -= part.weight
        if point < 0.0:
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

    The defaults, then the service, the route, and last the exceptions that apply,
    the narrowest scope last, and of those of one scope in the order of their names.

    :param service: the service drawn for the call, by default the route's only one.
    """
    service = service or route.service
    keys = {
        **snapshot.services[service].policy_keys,
        **route.policy_keys,
    }
    scopes = (
        Scope("zone", availability_zone),
        Scope("service", service),
        Scope("route", route.name),
        Scope("node", node_id),
    )
    for scope in scopes:
        for override in snapshot.by_scope.get(scope, ()):
            if _is_valid(override, now):
                keys[override.setting] = override.value
    return snapshot.defaults._replace(**keys)


def _prefixes(path: str) -> list[str]:
    """Return the paths of routes that cover a path, the longest first."""
    found = [path]
    end = path.rfind("/")
    while end >= 0:
        if end + 1 < len(path) or len(found) > 1:
            found.append(path[: end + 1])
        if end > 0:
            found.append(path[:end])
        end = path.rfind("/", 0, end)
    return list(dict.fromkeys(found))


def _is_valid(override: Override, now: datetime) -> bool:
    return override.expires is None or now < override.expires
