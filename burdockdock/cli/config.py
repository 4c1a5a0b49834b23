"""Commands for the fleet's configuration."""

from pathlib import Path

import click

from burdockdock.cli.config_change import (
    EXCEPTION_SECTION_PREFIX,
    change_config,
    version_or_exit,
)
from burdockdock.cli.exit_status import EXIT_USAGE
from burdockdock.cli.output import (
    author_option,
    fail,
    node_option,
    output_option,
    platform_option,
    run_async,
    show,
)
from burdockdock.cli.platform_access import (
    load_head_or_exit,
    open_platform,
    read_accepted_or_exit,
)
from burdockdock.configuration.acceptance import (
    Accepted,
    Head,
    Rejected,
    Undecided,
    find_outcome,
)
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import read_sections, write_sections
from burdockdock.configuration.model import Problem, Sections


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
            if name.startswith(EXCEPTION_SECTION_PREFIX)
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
        platform = open_platform(platform_url)
        return await find_outcome(platform, token, base_version=base)

    result = run_async(find())
    version = version_or_exit(result, base=base, output=output)
    show(output, {"version": version}, f"accepted as version {version}")


async def _load_head_from_url_or_exit(platform_url: str, output: str) -> Head:
    return await load_head_or_exit(open_platform(platform_url), output)


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
