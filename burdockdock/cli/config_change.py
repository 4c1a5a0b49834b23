"""Changes the accepted configuration and reports how far the change has come."""

import asyncio
import time
from typing import Any

from burdockdock.cli.exit_status import (
    EXIT_OUTCOME_UNKNOWN,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
)
from burdockdock.cli.fleet_text import describe_fleet
from burdockdock.cli.output import end_progress, fail, show, show_progress
from burdockdock.cli.platform_access import load_head_or_exit, open_platform
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import (
    Accepted,
    Head,
    Rejected,
    Undecided,
    accept,
    read_document,
)
from burdockdock.configuration.model import Sections
from burdockdock.coordination.verdict import Failure
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient

EXCEPTION_SECTION_PREFIX = "exception "
_POLL_INTERVAL_S = 0.1
_MAX_SUBMISSIONS = 6


async def change_config(
    change: Any,
    *,
    reason: str,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
    base: int | None = None,
    wait: bool = True,
    timeout_s: float = 30.0,
) -> None:
    """Change the accepted sections with a conditional update and print the outcome.

    Exits with a status other than 0 unless the change was accepted and, if it waits,
    applied by all nodes in time.

    :param change: function that takes the current sections and returns the new ones.
    :param node_url: operator URL of a node that reads the new version from the platform
        at once and reports its progress; None for no node, and no wait.
    :param base: version that must be in force; None to change any version.
    :param wait: whether to wait until all nodes apply the new version.
    :param timeout_s: longest wait, in seconds.
    """
    platform = open_platform(platform_url)
    head = await load_head_or_exit(platform, output)
    if base is not None and head.version != base:
        fail(
            EXIT_REFUSED,
            f"not accepted: version {head.version} is in force, not {base}",
            output=output,
        )
    document = await read_document(platform, head)
    if isinstance(document, Failure):
        fail(EXIT_UNAVAILABLE, f"not accepted: {document.detail}", output=output)
    sections = change(document.sections)
    started_s = time.monotonic()
    result = await _submit_until_known(platform, sections, head, author, reason)
    version = version_or_exit(result, base=head.version, output=output)
    data: dict[str, Any] = {"version": version}
    if node_url is not None:
        # Starts the distribution at once; the relays' watches would do so later.
        await call_node(node_url, "/refresh", method="POST")
    lines = [f"accepted as version {version}"]
    if wait and node_url is not None:
        lines.append(
            await _wait_until_in_force(node_url, version, started_s, timeout_s, data)
        )
    show(output, data, *lines)
    if data.get("in_force") is False:
        raise SystemExit(EXIT_OUTCOME_UNKNOWN)


async def _submit_until_known(
    platform: PlatformClient, sections: Sections, head: Head, author: str, reason: str
) -> Accepted | Rejected | Undecided:
    """Submit a change, and retry with the same token while its outcome is unknown."""
    token = platform.new_token()
    for _ in range(_MAX_SUBMISSIONS):
        result = await accept(
            platform,
            sections,
            base=head,
            author=author,
            reason=reason,
            clock=SystemClock(),
            token=token,
        )
        if not isinstance(result, Undecided):
            return result
        show_progress(f"outcome not known yet, retrying: {result.detail}")
    return result


async def _wait_until_in_force(
    node_url: str,
    version: int,
    started_s: float,
    timeout_s: float,
    data: dict[str, Any],
) -> str:
    """Wait until all nodes apply a version.

    :param started_s: monotonic time at which the change was submitted.
    :param data: JSON document of the command, which gets the result.
    :returns: the line to print.
    """
    fleet: dict[str, Any] | None = None
    last_line = ""
    while time.monotonic() - started_s < timeout_s:
        status = await call_node(node_url, "/status")
        fleet = (status or {}).get("fleet") or fleet
        elapsed_s = time.monotonic() - started_s
        if fleet is not None and fleet["version"] >= version:
            line = f"{fleet['applied']} of {fleet['total']} nodes"
            if fleet["applied"] == fleet["total"]:
                end_progress()
                data.update(in_force=True, seconds_s=round(elapsed_s, 3), fleet=fleet)
                return f"in force on {line} after {elapsed_s:.1f} s"
            if line != last_line:
                show_progress(f"version {version}: in force on {line}")
            last_line = line
        await asyncio.sleep(_POLL_INTERVAL_S)
    end_progress()
    data.update(in_force=False, fleet=fleet)
    return f"not in force everywhere after {timeout_s:g} s: {describe_fleet(fleet)}"


def version_or_exit(
    result: Accepted | Rejected | Undecided, *, base: int, output: str
) -> int:
    """Return the version of an accepted change, or print why there is none and exit.

    :param base: version that the change was based on.
    """
    if isinstance(result, Accepted):
        return result.version
    if isinstance(result, Undecided):
        fail(
            EXIT_OUTCOME_UNKNOWN,
            f"outcome not known yet: {result.detail}; look it up with: "
            f"burdockdock config outcome {result.token} --base {base}",
            output=output,
            token=result.token,
            base=base,
        )
    message = "; ".join(map(str, result.problems))
    if result.winner is not None:
        winner = result.winner
        message += (
            f": version {winner.version} by {winner.author} ({winner.reason}) was "
            "accepted first"
        )
    fail(EXIT_REFUSED, f"not accepted: {message}", output=output)
