"""Which version takes the calls while no rollout says it."""

from collections import Counter
from collections.abc import Iterable

from burdockdock.coordination.membership import Member


def incumbent_weights(
    members: Iterable[Member], *, ordered_version: str = ""
) -> dict[str, float]:
    """Return the weights of a service's versions before any rollout.

    A version that has just started beside another gets no calls on its own: its
    rollout may be ordered already, and not be known here yet.

    :param members: the service's members that take calls.
    :param ordered_version: the version that an order names, which must wait for its
        rollout.
    :returns: all to the version of most slots; empty while there is one version only.
    """
    slots: Counter[str] = Counter()
    for member in members:
        slots[member.service_version] += max(1, member.slots)
    if len(slots) < 2:
        return {}
    slots.pop(ordered_version, None)
    return {max(sorted(slots), key=slots.get): 1.0}
