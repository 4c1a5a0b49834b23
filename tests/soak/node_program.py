"""The real program, with its connections to other nodes led through lines.

The environment names a file with the line's port for each port of a node.
"""

import signal

# As in the program itself: not before the other imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

LINES_VARIABLE = "SOAK_LINES"


def _lead_through_lines() -> None:
    import json
    import os
    from pathlib import Path

    from tornado.tcpclient import TCPClient

    connect = TCPClient.connect

    async def connect_by_line(
        self: TCPClient, host: str, port: int, **options: object
    ) -> object:
        lines = json.loads(Path(os.environ[LINES_VARIABLE]).read_text())
        return await connect(self, host, lines.get(str(port), port), **options)

    TCPClient.connect = connect_by_line  # type: ignore[method-assign]


if __name__ == "__main__":
    import runpy

    _lead_through_lines()
    runpy.run_module("burdockdock", run_name="__main__")
