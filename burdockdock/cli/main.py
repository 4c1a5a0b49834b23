"""Entry point of the command line, which imports each command on demand."""

from importlib import import_module

import click

from burdockdock import __version__

# Module of each command. It is imported only when the command runs, so a node doesn't
# keep the other commands in memory.
_COMMAND_MODULES = {
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


class _LazyGroup(click.Group):
    """Click group that imports a command when it is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(_COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command by its name; return None if it does not exist."""
        if cmd_name not in _COMMAND_MODULES:
            return None
        module = import_module(f"burdockdock.cli.{_COMMAND_MODULES[cmd_name]}")
        return getattr(module, cmd_name)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="burdockdock")
def main() -> None:
    """Distribute configuration to every proxy of a service mesh.

    Exit statuses: 0 success, 1 refused or taken back, 2 invalid input, 3 outcome not
    known yet, 4 the platform or the node does not answer.
    """


if __name__ == "__main__":
    main()
