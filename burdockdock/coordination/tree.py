"""The spread tree: which members a node passes a message on to."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

FANOUT = 8


class TreeMember(NamedTuple):
    """What the tree needs to know of a member."""

    node_id: str
    availability_zone: str


def rank(node_id: str, salt: str) -> bytes:
    """Return a position that is the same on every node for one salt."""
    return hashlib.blake2b(f"{salt}/{node_id}".encode(), digest_size=8).digest()


def zone_order(members: Iterable[TreeMember], salt: str) -> dict[str, list[str]]:
    """Order the members of each availability zone by their rank.

    :returns: node ids by availability zone.
    """
    zones: dict[str, list[str]] = defaultdict(list)
    for member in members:
        zones[member.availability_zone].append(member.node_id)
    for node_ids in zones.values():
        node_ids.sort(key=lambda node_id: rank(node_id, salt))
    return dict(zones)


def children(order: Sequence[str], node_id: str, *, fanout: int = FANOUT) -> list[str]:
    """Return the members below a node in a heap-shaped tree.

    :param order: the members of the node's zone by rank.
    """
    try:
        index = order.index(node_id)
    except ValueError:
        return []
    first = index * fanout + 1
    return list(order[first : first + fanout])


def targets_of_origin(
    zones: dict[str, list[str]], node_id: str, *, entries_per_zone: int = 2
) -> list[str]:
    """Return whom the origin of a message sends it to.

    The first members of every zone's order, more than one of each, so that a dead
    one can't keep a message from its zone.
    """
    return [
        target
        for order in zones.values()
        for target in order[:entries_per_zone]
        if target != node_id
    ]
