"""Commands that run a node and check its settings."""

import click

from burdockdock.cli.node_process import read_settings_or_exit, run_node_process

_SETTINGS_OPTION = click.option(
    "--settings",
    "path",
    type=click.Path(),
    required=True,
    envvar="BURDOCKDOCK_CONFIG",
    help="INI file with the node's settings.",
)


@click.command()
@_SETTINGS_OPTION
def node(path: str) -> None:
    """Run one node beside a backend server."""
    run_node_process(path)


@click.group()
def settings() -> None:
    """Check a node's settings, or print a sample."""


@settings.command()
@_SETTINGS_OPTION
def check(path: str) -> None:
    """Check a settings file and report every problem."""
    read_settings_or_exit(path)
    click.echo(f"{path}: good")


@settings.command()
def sample() -> None:
    """Print a sample settings file that explains every key."""
    # Only this command needs the module, which takes 10 ms to import.
    from importlib import resources

    text = resources.files("burdockdock.node").joinpath("sample.ini").read_text()
    click.echo(text, nl=False)
