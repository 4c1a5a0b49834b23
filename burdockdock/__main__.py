"""Entry point of ``python -m burdockdock``."""

import gc
import os
import signal
import sys

# SIGHUP requests a settings reload. It may arrive while the imports below still run,
# when its default action would terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _read_node_settings_path(arguments: list[str]) -> str:
    """Return the settings file if the command line starts a node as deployments do.

    :returns: the path; empty if the arguments have to be parsed as a command.
    """
    if arguments == ["node"]:
        return os.environ.get("BURDOCKDOCK_CONFIG", "")
    if len(arguments) == 3 and arguments[:2] == ["node", "--settings"]:
        return arguments[2]
    return ""


if __name__ == "__main__":
    settings_path = _read_node_settings_path(sys.argv[1:])
    if settings_path:
        # Nodes are restarted often: without click and collections during imports a
        # start takes about a sixth less processor time.
        gc.disable()
        from burdockdock.cli.node_process import run_node_process

        run_node_process(settings_path)
    else:
        from burdockdock.cli.main import main

        main()
