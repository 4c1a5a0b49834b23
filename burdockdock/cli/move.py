"""Commands that move a service's traffic to another version."""

import asyncio
import re
import time
from datetime import UTC, datetime, timedelta

import click

from burdockdock.cli.exit_status import (
    EXIT_OUTCOME_UNKNOWN,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
)
from burdockdock.cli.output import (
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
from burdockdock.cli.platform_access import open_platform
from burdockdock.clock import SystemClock
from burdockdock.coordination.verdict import Failure
from burdockdock.node.operator_client import call_node
from burdockdock.rollout.model import ROLLOUT_PREFIX, Phase, Rollout, rollout_from
from burdockdock.rollout.start import (
    ChangeFailure,
    cancel_rollout,
    read_rollout,
    start_rollout,
)

_POLL_INTERVAL_S = 0.5
_PHASE_LABELS = {Phase.ROLLED_BACK: "taken back"}
_RELATIVE_TIME = re.compile(r"\+(\d+)([smh])")
_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600}


@click.group()
def move() -> None:
    """Start, follow and cancel moves to another version."""


@move.command()
@click.argument("service")
@click.option("--from", "from_version", required=True, help="Version to move from.")
@click.option("--to", "to_version", required=True, help="Version to move to.")
@click.option(
    "--finish-by",
    required=True,
    help="Deadline: a time with a UTC offset, or a time from now: +30s, +10m, +2h.",
)
@click.option("--reason", required=True, help="Reason for the move.")
@author_option
@platform_option
@node_option
@output_option
def start(
    service: str,
    from_version: str,
    to_version: str,
    finish_by: str,
    reason: str,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
) -> None:
    """Move a service's traffic to another version by a deadline."""
    deadline = _parse_time(finish_by)

    async def run() -> Rollout | ChangeFailure:
        started = await start_rollout(
            open_platform(platform_url),
            service=service,
            from_version=from_version,
            to_version=to_version,
            deadline=deadline,
            author=author,
            reason=reason,
            clock=SystemClock(),
        )
        if started and node_url:
            await call_node(node_url, "/refresh", method="POST")
        return started

    rollout = _rollout_or_exit(run_async(run()), "not started", output)
    show(output, rollout.to_value(), f"started: {_describe(rollout)}")


@move.command("list")
@platform_option
@output_option
def list_moves(platform_url: str, output: str) -> None:
    """List the newest move of each service."""
    found = run_async(open_platform(platform_url).list(ROLLOUT_PREFIX))
    if isinstance(found, Failure):
        fail(
            EXIT_UNAVAILABLE, f"platform request failed: {found.detail}", output=output
        )
    rollouts = [rollout_from(item.value) for item in found.objects]
    rows = [rollout.to_value() for rollout in rollouts]
    show(output, {"moves": rows}, *map(_describe, rollouts))


@move.command("show")
@click.argument("service")
@platform_option
@output_option
def show_move(service: str, platform_url: str, output: str) -> None:
    """Show a service's newest move and its history."""
    rollout = run_async(_read_rollout_or_exit(platform_url, service, output))
    lines = [f"  {c.at} {_phase_label(c.phase)}: {c.reason}" for c in rollout.history]
    show(output, rollout.to_value(), _describe(rollout), *lines)


@move.command()
@click.argument("service")
@click.option("--reason", required=True, help="Reason for the cancellation.")
@author_option
@platform_option
@node_option
@output_option
def cancel(
    service: str,
    reason: str,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
) -> None:
    """Cancel a service's move: its traffic returns to the old version."""

    async def run() -> Rollout | ChangeFailure:
        cancelled = await cancel_rollout(
            open_platform(platform_url),
            service=service,
            author=author,
            reason=reason,
            clock=SystemClock(),
        )
        if cancelled and node_url:
            await call_node(node_url, "/refresh", method="POST")
        return cancelled

    rollout = _rollout_or_exit(run_async(run()), "not cancelled", output)
    show(output, rollout.to_value(), f"cancelled: {_describe(rollout)}")


@move.command()
@click.argument("service")
@click.option("--timeout-s", type=float, default=86_400.0, show_default=True)
@platform_option
@output_option
def wait(service: str, timeout_s: float, platform_url: str, output: str) -> None:
    """Wait for a move to end.

    Exits with 0 when it is done, 1 when it was taken back, 3 when it has not ended.
    """
    rollout = run_async(_wait_for_end(platform_url, service, timeout_s, output))
    show(output, rollout.to_value(), _describe(rollout))
    if rollout.phase is Phase.ROLLED_BACK:
        raise SystemExit(EXIT_REFUSED)
    if rollout.phase is not Phase.DONE:
        raise SystemExit(EXIT_OUTCOME_UNKNOWN)


async def _wait_for_end(
    platform_url: str, service: str, timeout_s: float, output: str
) -> Rollout:
    """Poll until a move ends or the timeout passes.

    If the platform fails after the first read, polling continues.
    """
    platform = open_platform(platform_url)
    wait_deadline_s = time.monotonic() + timeout_s
    last_line = ""
    rollout = await _read_rollout_or_exit(platform_url, service, output)
    while not rollout.phase.final and time.monotonic() < wait_deadline_s:
        line = _describe(rollout)
        if line != last_line:
            show_progress(line)
        last_line = line
        await asyncio.sleep(_POLL_INTERVAL_S)
        found = await read_rollout(platform, service)
        if not isinstance(found, Failure) and found.rollout is not None:
            rollout = found.rollout
    end_progress()
    return rollout


async def _read_rollout_or_exit(
    platform_url: str, service: str, output: str
) -> Rollout:
    found = await read_rollout(open_platform(platform_url), service)
    if isinstance(found, Failure):
        fail(
            EXIT_UNAVAILABLE, f"platform request failed: {found.detail}", output=output
        )
    if found.rollout is None:
        fail(EXIT_REFUSED, f"no move of {service} was ever started", output=output)
    return found.rollout


def _rollout_or_exit(
    result: Rollout | ChangeFailure, prefix: str, output: str
) -> Rollout:
    if isinstance(result, ChangeFailure):
        status = EXIT_OUTCOME_UNKNOWN if result.outcome_unknown else EXIT_REFUSED
        fail(status, f"{prefix}: {result.message}", output=output)
    return result


def _describe(rollout: Rollout) -> str:
    reason = rollout.history[-1].reason if rollout.history else rollout.reason
    return (
        f"{rollout.service} {rollout.from_version} to {rollout.to_version}: "
        f"{_phase_label(rollout.phase.value)}, share {rollout.share:.0%}, finish by "
        f"{rollout.deadline.isoformat(timespec='seconds')} ({reason})"
    )


def _phase_label(phase: str) -> str:
    return _PHASE_LABELS.get(Phase(phase), phase)


def _parse_time(text: str) -> datetime:
    relative = _RELATIVE_TIME.fullmatch(text)
    if relative:
        offset_s = int(relative[1]) * _SECONDS_PER_UNIT[relative[2]]
        return datetime.now(UTC) + timedelta(seconds=offset_s)
    try:
        parsed_time = datetime.fromisoformat(text)
    except ValueError:
        parsed_time = None
    if parsed_time is None or parsed_time.tzinfo is None:
        raise click.BadParameter(
            f"{text!r} is not a time with a UTC offset; give +10m or "
            "2026-12-31T18:00:00Z",
            param_hint="--finish-by",
        )
    return parsed_time
