"""Run the command line with ``python -m burdockdock``."""

from burdockdock.cli.main import main

if __name__ == "__main__":
    main()
