"""Describes how nodes read the configuration from the platform."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockdock.configuration.acceptance import HEAD_KEY, parse_head, read_document
from burdockdock.configuration.delta import ConfigDocument
from burdockdock.coordination.verdict import Failure
from burdockdock.platform_api import PlatformClient, PlatformObject

# Failure reason of an object that can't be decoded; reading it again would not help.
UNREADABLE = "config_unreadable"


class ConfigSource(NamedTuple):
    """How to read the configuration, starting from one platform object.

    :param key: the object's key.
    :param version_of: returns the configuration version that the object contains or
        points at, 0 for none.
    :param read: returns the whole document that the object contains or points at.
    :param is_binding: whether a version is in force once it is stored. Nodes then leave
        out the sections that they can't use; otherwise they refuse the whole version.
    """

    key: str
    version_of: Callable[[PlatformObject], int]
    read: Callable[
        [PlatformClient, PlatformObject], Awaitable[ConfigDocument | Failure]
    ]
    is_binding: bool = False


def _head_version(found: PlatformObject) -> int:
    return parse_head(found).version


async def _read_parts(
    platform: PlatformClient, found: PlatformObject
) -> ConfigDocument | Failure:
    return await read_document(platform, parse_head(found))


# Reads what :mod:`burdockdock.configuration.acceptance` writes.
OWN_SOURCE = ConfigSource(HEAD_KEY, _head_version, _read_parts)
