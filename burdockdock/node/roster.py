"""The roster: node addresses on the platform, used by starting nodes for discovery."""

import ipaddress
import random
from typing import Any

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.overlay.datagrams import Address
from burdockdock.platform_api import Conflict, PlatformClient

_KEY_PREFIX = "roster/"
_MAX_ADDRESSES_PER_ZONE = 8
_MAX_WRITE_ATTEMPTS = 5
_MAX_PORT = 65_535


class Roster:
    """Reads the addresses of all zones and writes those of this node's zone.

    Each zone has one object with a few addresses, so neither its size nor the number
    of writes grows with the zone.
    """

    def __init__(
        self, platform: PlatformClient, *, own: Member, rng: random.Random
    ) -> None:
        self._platform = platform
        self._zone = own.availability_zone
        self._own_address = (own.host, own.port)
        self._rng = rng
        self._may_be_old = False

    @property
    def may_be_old(self) -> bool:
        """Whether the list read last has no address of another node of this era.

        A store that returned from an older copy may have lost the addresses.
        """
        return self._may_be_old

    async def addresses(self) -> list[Address] | Failure:
        """Return the addresses of other nodes in random order."""
        found = await self._platform.list(_KEY_PREFIX)
        if isinstance(found, Failure):
            return found
        listed: dict[Address, bool] = {}
        for entry in found.objects:
            current = self._is_current(entry.value)
            listed |= dict.fromkeys(_parse_addresses(entry.value), current)
        listed.pop(self._own_address, None)
        self._may_be_old = bool(self._platform.era.newest) and not any(listed.values())
        others = list(listed)
        self._rng.shuffle(others)
        return others

    async def register(self) -> Failure | None:
        """Add this node to its zone's addresses unless the list is full.

        A node that lists the roster after its own registration sees all earlier ones,
        so nodes that start at the same time find each other.
        """
        for _ in range(_MAX_WRITE_ATTEMPTS):
            found = await self._platform.read(_KEY_PREFIX + self._zone)
            if isinstance(found, Failure):
                return found
            known = _parse_addresses(found.value)
            if self._own_address in known or len(known) >= _MAX_ADDRESSES_PER_ZONE:
                return None
            result = await self._write([*known, self._own_address], found.version)
            if not isinstance(result, Conflict):
                return result if isinstance(result, Failure) else None
        return None

    async def renew(self, live: list[Member]) -> None:
        """Replace the addresses of members that are not live.

        :param live: live members of this node's zone.
        """
        found = await self._platform.read(_KEY_PREFIX + self._zone)
        if isinstance(found, Failure):
            return
        known = _parse_addresses(found.value)
        alive = [(m.host, m.port) for m in live]
        kept = [a for a in known if a in alive]
        unlisted = [a for a in alive if a not in kept]
        self._rng.shuffle(unlisted)
        wanted = (kept + unlisted)[:_MAX_ADDRESSES_PER_ZONE]
        if set(wanted) != set(known) or not self._is_current(found.value):
            await self._write(wanted, found.version)

    def _is_current(self, value: dict[str, Any]) -> bool:
        """Return whether an entry was written since the store returned last."""
        return value.get("era", 0) == self._platform.era.newest

    async def _write(self, addresses: list[Address], version: int) -> Any:
        result = await self._platform.try_update(
            _KEY_PREFIX + self._zone,
            expected_version=version,
            value={
                "addresses": sorted(list(a) for a in addresses),
                "era": self._platform.era.newest,
            },
        )
        log_event(
            "roster.written",
            availability_zone=self._zone,
            addresses=len(addresses),
            base_version=version,
            written=bool(result),
        )
        return result


def _parse_addresses(value: dict[str, Any]) -> list[Address]:
    """Return the addresses of a roster object, skipping malformed items."""
    listed = value.get("addresses", [])
    items = listed if isinstance(listed, list) else [listed]
    found = [(item[0], item[1]) for item in items if _is_address(item)]
    if len(found) < len(items):
        log_event("roster.odd_entries", skipped=len(items) - len(found))
    return found


def _is_address(item: Any) -> bool:
    if not isinstance(item, list) or len(item) != 2:
        return False
    return _is_host(item[0]) and _is_port(item[1])


def _is_host(value: Any) -> bool:
    """Return whether a value is an IP address."""
    if not isinstance(value, str):
        return False
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_port(value: Any) -> bool:
    # A bool is an int too.
    return type(value) is int and 0 < value <= _MAX_PORT
