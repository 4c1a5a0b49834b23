"""Commands for exceptions to the fleet-wide defaults."""

import click

from burdockdock.cli.config_change import EXCEPTION_SECTION_PREFIX, change_config
from burdockdock.cli.exit_status import EXIT_REFUSED
from burdockdock.cli.output import (
    author_option,
    fail,
    node_option,
    output_option,
    platform_option,
    run_async,
    show,
)
from burdockdock.cli.platform_access import read_accepted_or_exit
from burdockdock.configuration.model import Sections


@click.group()
def exception() -> None:
    """Add, list and remove exceptions to the fleet-wide defaults."""


@exception.command()
@click.argument("name")
@click.option(
    "--scope", required=True, help="zone:NAME, service:NAME, route:NAME or node:NAME."
)
@click.option("--setting", required=True, help="Setting to override.")
@click.option("--value", required=True, help="Value of the setting in the scope.")
@click.option("--reason", required=True, help="Reason for the exception.")
@click.option("--expires", help="Time of expiry, such as 2026-12-31T18:00:00Z.")
@author_option
@platform_option
@node_option
@output_option
def add(
    name: str,
    scope: str,
    setting: str,
    value: str,
    reason: str,
    expires: str | None,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
) -> None:
    """Add an exception."""
    pairs = {"scope": scope, "setting": setting, "value": value, "reason": reason}
    if expires:
        pairs["expires"] = expires

    def change(current: Sections) -> Sections:
        if EXCEPTION_SECTION_PREFIX + name in current:
            fail(
                EXIT_REFUSED,
                f"not accepted: exception {name} exists; remove it first",
                output=output,
            )
        return {**current, EXCEPTION_SECTION_PREFIX + name: pairs}

    run_async(
        change_config(
            change,
            reason=f"exception {name}: {reason}",
            author=author,
            platform_url=platform_url,
            node_url=node_url,
            output=output,
        )
    )


@exception.command()
@click.argument("name")
@click.option("--reason", required=True, help="Reason for the removal.")
@author_option
@platform_option
@node_option
@output_option
def remove(
    name: str,
    reason: str,
    author: str,
    platform_url: str,
    node_url: str | None,
    output: str,
) -> None:
    """Remove an exception."""

    def change(current: Sections) -> Sections:
        if EXCEPTION_SECTION_PREFIX + name not in current:
            fail(EXIT_REFUSED, f"there is no exception {name}", output=output)
        return {
            key: v
            for key, v in current.items()
            if key != EXCEPTION_SECTION_PREFIX + name
        }

    run_async(
        change_config(
            change,
            reason=f"exception {name} removed: {reason}",
            author=author,
            platform_url=platform_url,
            node_url=node_url,
            output=output,
        )
    )


@exception.command("list")
@platform_option
@output_option
def list_exceptions(platform_url: str, output: str) -> None:
    """List the exceptions and their reasons."""
    version, sections = run_async(read_accepted_or_exit(platform_url, output))
    found = {
        name.removeprefix(EXCEPTION_SECTION_PREFIX): pairs
        for name, pairs in sections.items()
        if name.startswith(EXCEPTION_SECTION_PREFIX)
    }
    lines = [
        f"{name}: {p['setting']} = {p['value']} for {p['scope']}"
        f"{' until ' + p['expires'] if 'expires' in p else ''}: {p['reason']}"
        for name, p in found.items()
    ]
    show(output, {"version": version, "exceptions": found}, *lines)
