"""Traffic weights of a service's versions before any rollout."""

from collections.abc import Mapping


def default_weights(
    slots: Mapping[str, int], *, ordered_version: str = ""
) -> dict[str, float]:
    """Return the weights of a service's versions before any rollout.

    A version that has just started alongside another gets no calls without a rollout:
    its rollout may already be ordered, and not be known to this node yet.

    :param slots: total slots of each version's members that accept calls.
    :param ordered_version: the version that an order names, which must wait for its
        rollout.
    :returns: all to the version with the most slots; empty unless there are several.
    """
    if len(slots) < 2:
        return {}
    others = sorted(version for version in slots if version != ordered_version)
    return {max(others, key=lambda version: slots[version]): 1.0}
