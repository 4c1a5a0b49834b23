"""Finding the route and the policy of a call in a snapshot."""

from datetime import datetime

from burdockdock.configuration.model import Override, Policy, Route, Snapshot

_SCOPE_ORDER = {"zone": 0, "service": 1, "route": 2, "node": 3}


def find_route(snapshot: Snapshot, *, host: str, path: str) -> Route | None:
    """Return the most specific route for a host and a path."""
    name = host.partition(":")[0].lower()
    for route in snapshot.routes:
        if (not route.host or route.host == name) and _covers(route.path, path):
            return route
    return None


def policy_for(
    snapshot: Snapshot,
    route: Route,
    *,
    availability_zone: str,
    node_id: str,
    now: datetime,
) -> Policy:
    """Return the policy of a route's calls on one node.

    The defaults, then the service, the route, and last the exceptions that apply,
    the narrowest scope last.
    """
    keys = {
        **snapshot.services[route.service].policy_keys,
        **route.policy_keys,
    }
    names = {
        "zone": availability_zone,
        "service": route.service,
        "route": route.name,
        "node": node_id,
    }
    for override in sorted(snapshot.overrides, key=_scope_order):
        if names[override.scope_kind] == override.scope_name and _is_valid(
            override, now
        ):
            keys[override.setting] = override.value
    return snapshot.defaults._replace(**keys)


def _covers(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) :][:1] in ("", "/", "?")


def _scope_order(override: Override) -> int:
    return _SCOPE_ORDER[override.scope_kind]


def _is_valid(override: Override, now: datetime) -> bool:
    return override.expires is None or now < override.expires
