"""Client of the platform's object API."""

from burdockdock.platform_api.client import (
    MAX_VALUE_BYTES,
    Conflict,
    PlatformClient,
    PlatformObject,
    WatchResult,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Conflict",
    "PlatformClient",
    "PlatformObject",
    "WatchResult",
]
