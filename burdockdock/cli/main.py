"""The command line."""

import click

from burdockdock import __version__
from burdockdock.cli.config import config
from burdockdock.cli.demo import demo
from burdockdock.cli.exception import exception
from burdockdock.cli.move import move
from burdockdock.cli.node import node, settings
from burdockdock.cli.standin import standin
from burdockdock.cli.status import status


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="burdockdock")
def main() -> None:
    """Distribute configuration to every proxy of a service mesh.

    Exit statuses: 0 done, 1 refused or taken back, 2 wrong input, 3 not known yet,
    4 the platform or the node does not answer.
    """


for command in (node, settings, config, exception, move, status, demo, standin):
    main.add_command(command)

if __name__ == "__main__":
    main()
