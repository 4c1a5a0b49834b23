"""Command that reports the state of the fleet."""

from typing import Any

import click

from burdockdock.cli.exit_status import EXIT_UNAVAILABLE
from burdockdock.cli.fleet_text import describe_fleet
from burdockdock.cli.output import fail, node_option, output_option, run_async, show
from burdockdock.node.operator_client import call_node


@click.command()
@node_option
@output_option
def status(node_url: str | None, output: str) -> None:
    """Show the state of the fleet.

    Prints on how many nodes the newest configuration is in force, the members, the
    state of the platform, the moves, the evacuated availability zones, and the sections
    of the configuration that the node can't use.
    """
    if not node_url:
        raise click.UsageError("give --node URL, the operator address of any node")
    node_status = run_async(call_node(node_url, "/status"))
    if node_status is None:
        fail(EXIT_UNAVAILABLE, f"no answer from {node_url}", output=output)
    show(output, node_status, *_render_status(node_status))


def _render_status(node_status: dict[str, Any]) -> list[str]:
    platform = "answers"
    if node_status["platform_failures_in_row"]:
        platform = f"failed {node_status['platform_failures_in_row']} times in a row"
    lines = [
        describe_fleet(node_status["fleet"]),
        f"members: {node_status['members']}, "
        f"recently lost: {node_status['dead_members']}",
        f"platform: {platform}",
    ]
    for move in node_status["moves"]:
        share = f"{move['share']:.0%}"
        lines.append(f"move of {move['service']}: {move['phase']}, share {share}")
    # A node of an earlier release doesn't report these.
    zones = node_status.get("evacuated_zones", [])
    unused = node_status.get("unused_sections", {})
    lines += [f"evacuated: {zone}" for zone in zones]
    return lines + [f"out of use: {problem}" for problem in unused.values()]
