"""Runs the command line as ``python -m burdockdock``."""

import signal

# A settings change may be signalled while the imports below still run, and the
# default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from burdockdock.cli.main import main

    main()
