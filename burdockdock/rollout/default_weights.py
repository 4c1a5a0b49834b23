"""Which version takes the calls while no rollout says it."""

from collections.abc import Mapping


def default_weights(
    slots: Mapping[str, int], *, ordered_version: str = ""
) -> dict[str, float]:
    """Return the weights of a service's versions before any rollout.

    A version that has just started beside another gets no calls on its own: its
    rollout may be ordered already, and not be known here yet.

    :param slots: calls that the members of each version run at a time, of those
        members that take calls.
    :param ordered_version: the version that an order names, which must wait for its
        rollout.
    :returns: all to the version of most slots; empty while there is one version only.
    """
    if len(slots) < 2:
        return {}
    others = sorted(version for version in slots if version != ordered_version)
    return {max(others, key=lambda version: slots[version]): 1.0}
