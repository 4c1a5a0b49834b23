"""The command that says how the fleet is doing."""

from typing import Any

import click

from burdockdock.cli.config import describe_fleet
from burdockdock.cli.output import (
    EXIT_UNAVAILABLE,
    fail,
    node_option,
    output_option,
    run_async,
    show,
)
from burdockdock.node.operator_client import call_node


@click.command()
@node_option
@output_option
def status(node_url: str | None, output: str) -> None:
    """Say how far the newest configuration is in force, and how moves stand."""
    if not node_url:
        raise click.UsageError("give --node URL, the operators' address of any node")
    found = run_async(call_node(node_url, "/status"))
    if found is None:
        fail(EXIT_UNAVAILABLE, f"no answer from {node_url}", output=output)
    show(output, found, *_lines(found))


def _lines(found: dict[str, Any]) -> list[str]:
    platform = "answers"
    if found["platform_failures_in_row"]:
        platform = f"failed {found['platform_failures_in_row']} times in a row"
    lines = [
        describe_fleet(found["fleet"]),
        f"members: {found['members']}, lost lately: {found['dead_members']}",
        f"platform: {platform}",
    ]
    for move in found["moves"]:
        share = f"{move['share']:.0%}"
        lines.append(f"move of {move['service']}: {move['phase']}, share {share}")
    return lines
