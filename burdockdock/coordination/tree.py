"""Broadcast trees, which determine the members that a node forwards a message to."""

import hashlib
from collections.abc import Iterable, Sequence
from typing import TypeVar

FANOUT = 8
ENTRY_NODES_PER_ZONE = 2

_Node = TypeVar("_Node")


def rank(node_id: str, salt: str) -> bytes:
    """Return the sort key of a node for a salt, which is the same on every node."""
    return hashlib.blake2b(f"{salt}/{node_id}".encode(), digest_size=8).digest()


def children(
    order: Sequence[_Node], index: int, *, fanout: int = FANOUT
) -> Sequence[_Node]:
    """Return the children of a node in a tree with the array layout of a heap.

    :param order: nodes of an availability zone, sorted by rank.
    :param index: position of the node in this order.
    :param fanout: maximum number of children of each node.
    """
    first = index * fanout + 1
    return order[first : first + fanout]


def entry_nodes(zones: Iterable[Sequence[_Node]]) -> list[_Node]:
    """Return the nodes to which the origin of a message sends it.

    These are the first nodes of every availability zone. There are several per zone, so
    that one dead node can't prevent a message from reaching its zone.

    :param zones: nodes of each availability zone, sorted by rank.
    """
    return [node for order in zones for node in order[:ENTRY_NODES_PER_ZONE]]
