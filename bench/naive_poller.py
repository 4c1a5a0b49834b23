"""Baseline for bench.distribution: a node that polls the platform for new versions.

Usage: python -m bench.naive_poller NAME PLATFORM_URL
"""

import asyncio
import sys

from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import read_document, read_head
from burdockdock.coordination.records import Record
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event, start_logging
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.platform_api import PlatformClient

_POLL_INTERVAL_S = 1.0


async def _poll(name: str, url: str) -> None:
    platform = PlatformClient(url, name=name, clock=SystemClock())
    config = ConfigState(name)
    while True:
        head = await read_head(platform)
        if not isinstance(head, Failure) and head.version != config.snapshot.version:
            document = await read_document(platform, head)
            if not isinstance(document, Failure):
                config.accept(Record(CONFIG_KEY, head.version, document.encode()))
                log_event("config.applied", version=config.snapshot.version)
        await asyncio.sleep(_POLL_INTERVAL_S)


def main() -> None:
    """Poll as the node named on the command line."""
    start_logging(node=sys.argv[1])
    asyncio.run(_poll(sys.argv[1], sys.argv[2]))


if __name__ == "__main__":
    main()
