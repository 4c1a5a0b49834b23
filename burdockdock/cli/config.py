"""Commands for the fleet's configuration."""

import asyncio
import time
from pathlib import Path
from typing import Any

import click

from burdockdock.cli.output import (
    EXIT_OUTCOME_UNKNOWN,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
    author_option,
    end_progress,
    fail,
    node_option,
    output_option,
    platform_option,
    run_async,
    show,
    show_progress,
)
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import (
    Accepted,
    Head,
    Rejected,
    Undecided,
    accept,
    find_outcome,
    read_document,
    read_head,
)
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import read_sections, write_sections
from burdockdock.configuration.model import Problem, Sections
from burdockdock.coordination.verdict import Failure
from burdockdock.node.operator_client import call_node
from burdockdock.platform_api import PlatformClient

_EXCEPTION_SECTION_PREFIX = "exception "
_POLL_INTERVAL_S = 0.1
_MAX_SUBMISSIONS = 6


@click.group()
def config() -> None:
    """Check, apply and show the fleet's configuration."""


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@output_option
def check(file: Path, output: str) -> None:
    """Check a configuration file without applying it, and report every problem."""
    sections = _read_file(file)
    problems = _find_problems(sections)
    if problems:
        _exit_with_problems(str(file), problems, output)
    show(output, {"good": True, "sections": len(sections)}, f"{file}: good")


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--reason", required=True, help="Reason, kept in the history.")
@click.option("--base", type=int, help="Refuse unless this version is in force.")
@click.option(
    "--wait/--no-wait",
    default=True,
    help="Wait until the version is in force everywhere.",
)
@click.option("--timeout-s", type=float, default=30.0, show_default=True)
@author_option
@platform_option
@node_option
@output_option
def apply(
    file: Path,
    reason: str,
    base: int | None,
    wait: bool,
    timeout_s: float,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
) -> None:
    """Submit a configuration file as the next accepted version.

    Exceptions in the current version are kept unless the file defines one of the same
    name.
    """
    sections = _read_file(file)
    problems = _find_problems(sections)
    if problems:
        _exit_with_problems(str(file), problems, output)

    def merge(current: Sections) -> Sections:
        kept = {
            name: pairs
            for name, pairs in current.items()
            if name.startswith(_EXCEPTION_SECTION_PREFIX)
        }
        return {**kept, **sections}

    run_async(
        change_config(
            merge,
            reason=reason,
            base=base,
            wait=wait and node_url is not None,
            timeout_s=timeout_s,
            author=author,
            platform_url=platform_url,
            node_url=node_url,
            output=output,
        )
    )


@config.command("show")
@platform_option
@output_option
def show_config(platform_url: str, output: str) -> None:
    """Print the accepted configuration."""
    version, sections = run_async(read_accepted_or_exit(platform_url, output))
    show(
        output,
        {"version": version, "sections": sections},
        f"# version {version}",
        write_sections(sections),
    )


@config.command()
@platform_option
@output_option
def history(platform_url: str, output: str) -> None:
    """List the accepted versions, newest first."""
    head = run_async(_load_head_from_url_or_exit(platform_url, output))
    rows = [entry._asdict() for entry in head.history]
    lines = [
        f"{e.version} {e.accepted_at} {e.author}: {e.reason}" for e in head.history
    ]
    show(output, {"history": rows}, *lines)


@config.command()
@click.argument("token")
@click.option(
    "--base", type=int, required=True, help="Version that the change was based on."
)
@platform_option
@output_option
def outcome(token: str, base: int, platform_url: str, output: str) -> None:
    """Look up the outcome of a change whose answer was lost."""

    async def find() -> Accepted | Rejected | Undecided:
        platform = _open_platform(platform_url)
        return await find_outcome(platform, token, base_version=base)

    result = run_async(find())
    version = _version_or_exit(result, base=base, output=output)
    show(output, {"version": version}, f"accepted as version {version}")


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
    platform = _open_platform(platform_url)
    head = await _load_head_or_exit(platform, output)
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
    version = _version_or_exit(result, base=head.version, output=output)
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


def _open_platform(url: str) -> PlatformClient:
    return PlatformClient(url, name="cli", clock=SystemClock())


async def _load_head_from_url_or_exit(platform_url: str, output: str) -> Head:
    return await _load_head_or_exit(_open_platform(platform_url), output)


async def _load_head_or_exit(platform: PlatformClient, output: str) -> Head:
    head = await read_head(platform)
    if isinstance(head, Failure):
        fail(
            EXIT_UNAVAILABLE,
            f"the platform does not answer; nothing was changed: {head.detail}",
            output=output,
        )
    return head


async def read_accepted_or_exit(platform_url: str, output: str) -> tuple[int, Sections]:
    """Return the accepted version and its sections, or print an error and exit."""
    platform = _open_platform(platform_url)
    head = await _load_head_or_exit(platform, output)
    document = await read_document(platform, head)
    if isinstance(document, Failure):
        fail(EXIT_UNAVAILABLE, document.detail, output=output)
    return head.version, document.sections


def _version_or_exit(
    result: Accepted | Rejected | Undecided, *, base: int, output: str
) -> int:
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


def _read_file(file: Path) -> Sections:
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fail(EXIT_USAGE, f"{file}: {error}")
    sections = read_sections(text)
    if isinstance(sections, list):
        _exit_with_problems(str(file), sections, "text")
    return sections


def _find_problems(sections: Sections) -> list[Problem]:
    built = build_snapshot(sections, version=0)
    return built if isinstance(built, list) else []


def _exit_with_problems(file: str, problems: list[Problem], output: str) -> None:
    for problem in problems[:-1]:
        click.echo(f"burdockdock: {file}: {problem}", err=True)
    fail(
        EXIT_USAGE,
        f"{file}: {problems[-1]}",
        output=output,
        problems=[str(problem) for problem in problems],
    )
