"""The spread tree: which members a node passes a message on to."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

FANOUT = 8
ENTRY_NODES_PER_ZONE = 2

_Node = TypeVar("_Node")


def rank(node_id: str, salt: str) -> bytes:
    """Return a position that is the same on every node for one salt."""
    return hashlib.blake2b(f"{salt}/{node_id}".encode(), digest_size=8).digest()


def children(
    order: Sequence[_Node], index: int, *, fanout: int = FANOUT
) -> Sequence[_Node]:
    """Return the nodes below one in a heap-shaped tree.

    :param order: the nodes of an availability zone by rank.
    :param index: position of the node whose children are asked for.
    """
    first = index * fanout + 1
    return order[first : first + fanout]


def entry_nodes(zones: Iterable[Sequence[_Node]]) -> list[_Node]:
    """Return the nodes that the origin of a message sends it to.

    The first nodes of every zone's order, more than one of each, so that a dead one
    can't keep a message from its zone.
    """
    return [node for order in zones for node in order[:ENTRY_NODES_PER_ZONE]]
