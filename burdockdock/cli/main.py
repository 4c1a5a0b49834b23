"""The command line."""

from importlib import import_module

import click

from burdockdock import __version__

# Where each command stands. Its module is imported when it runs, so that a node does
# not keep the other commands in memory.
_MODULES = {
    "node": "node",
    "settings": "node",
    "config": "config",
    "exception": "exception",
    "move": "move",
    "status": "status",
    "logs": "logs",
    "demo": "demo",
    "standin": "standin",
}


class _CommandsOnDemand(click.Group):
    """A group whose commands are imported when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command."""
        if cmd_name not in _MODULES:
            return None
        module = import_module(f"burdockdock.cli.{_MODULES[cmd_name]}")
        return getattr(module, cmd_name)


@click.group(
    cls=_CommandsOnDemand, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.version_option(__version__, prog_name="burdockdock")
def main() -> None:
    """Distribute configuration to every proxy of a service mesh.

    Exit statuses: 0 done, 1 refused or taken back, 2 wrong input, 3 not known yet,
    4 the platform or the node does not answer.
    """


if __name__ == "__main__":
    main()
