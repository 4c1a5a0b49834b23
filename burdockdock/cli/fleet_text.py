"""Text on which version is in force on the nodes of the fleet."""

from typing import Any


def describe_fleet(fleet: dict[str, Any] | None) -> str:
    """Describe on how many nodes the newest version is in force, and which lag."""
    if fleet is None:
        return "the reporter of the node's zone did not answer"
    text = (
        f"version {fleet['version']} in force on {fleet['applied']} of "
        f"{fleet['total']} nodes"
    )
    if fleet["laggards"]:
        text += "; behind: " + ", ".join(map(_describe_laggard, fleet["laggards"]))
    return text


def _describe_laggard(laggard: dict[str, Any]) -> str:
    reason = laggard["reason"] or f"at version {laggard['version']}"
    return f"{laggard['node_id']} ({reason})"
