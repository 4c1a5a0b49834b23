"""Regions whose backend servers a call may reach."""

from collections.abc import Iterable


def allowed_regions(
    route_regions: Iterable[str], workspace_regions: Iterable[str] = ()
) -> frozenset[str] | None:
    """Return the regions that a call may reach, None for all of them.

    Where both the route and the workspace have a list, both apply.

    :param route_regions: the route's list, empty for no limit.
    :param workspace_regions: the workspace's list, empty for no limit.
    """
    lists = [frozenset(r) for r in (route_regions, workspace_regions) if r]
    return frozenset.intersection(*lists) if lists else None
