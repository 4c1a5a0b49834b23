"""Runs burdockdock with its connections to other nodes redirected to proxies.

An environment variable names a JSON file that maps each port of a node to the port of
its proxy.
"""

import signal

# As in burdockdock.__main__: the imports take time, and a SIGHUP that arrives before
# they are done would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

PROXY_PORTS_VARIABLE = "SOAK_PROXY_PORTS"


def _connect_through_proxies() -> None:
    import json
    import os
    from pathlib import Path

    from tornado.tcpclient import TCPClient

    connect = TCPClient.connect

    async def connect_to_proxy(
        self: TCPClient, host: str, port: int, **options: object
    ) -> object:
        proxy_ports = json.loads(Path(os.environ[PROXY_PORTS_VARIABLE]).read_text())
        return await connect(self, host, proxy_ports.get(str(port), port), **options)

    TCPClient.connect = connect_to_proxy  # type: ignore[method-assign]


if __name__ == "__main__":
    import runpy

    _connect_through_proxies()
    runpy.run_module("burdockdock", run_name="__main__")
