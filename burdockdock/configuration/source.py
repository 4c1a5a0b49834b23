"""Where nodes find the configuration in the platform."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.configuration.acceptance import HEAD_KEY, head_from, read_document
from burdockdock.configuration.delta import ConfigDocument
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import PlatformClient, PlatformObject

# Reason of a failure that reading the same object again would not change.
UNREADABLE = "config_unreadable"


class ConfigSource(NamedTuple):
    """How the configuration is read out of one object of the platform.

    :param key: the object's key.
    :param version_of: returns the version that the object names, 0 for none.
    :param read: returns the whole document that the object names.
    """

    key: str
    version_of: Callable[[PlatformObject], int]
    read: Callable[
        [PlatformClient, PlatformObject], Awaitable[ConfigDocument | Failure]
    ]


def _head_version(found: PlatformObject) -> int:
    return head_from(found).version


async def _read_parts(
    platform: PlatformClient, found: PlatformObject
) -> ConfigDocument | Failure:
    return await read_document(platform, head_from(found))


OWN_SOURCE = ConfigSource(HEAD_KEY, _head_version, _read_parts)
