"""Entry point of ``python -m burdockdock``."""

import signal

# SIGHUP requests a settings reload. It may arrive while the imports below still run,
# when its default action would terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from burdockdock.cli.main import main

    main()
