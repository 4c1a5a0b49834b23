"""The commands' access to the platform, and the configuration accepted there."""

from burdockdock.cli.exit_status import EXIT_UNAVAILABLE
from burdockdock.cli.output import fail
from burdockdock.clock import SystemClock
from burdockdock.configuration.acceptance import Head, read_document, read_head
from burdockdock.configuration.model import Sections
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import PlatformClient


def open_platform(url: str) -> PlatformClient:
    """Return a client of the platform for a command."""
    return PlatformClient(url, name="cli", clock=SystemClock())


async def load_head_or_exit(platform: PlatformClient, output: str) -> Head:
    """Return the head of the configuration, or print an error and exit."""
    head = await read_head(platform)
    if isinstance(head, Failure):
        fail(
            EXIT_UNAVAILABLE,
            f"the platform does not answer; nothing was changed: {head.detail}",
            output=output,
        )
    return head


async def read_accepted_or_exit(platform_url: str, output: str) -> tuple[int, Sections]:
    """Return the accepted version and its sections, or print an error and exit."""
    platform = open_platform(platform_url)
    head = await load_head_or_exit(platform, output)
    document = await read_document(platform, head)
    if isinstance(document, Failure):
        fail(EXIT_UNAVAILABLE, document.detail, output=output)
    return head.version, document.sections
