"""The roster: addresses in the platform by which starting nodes find each other."""

import random
from typing import Any

from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.overlay.datagrams import Address
from burdockdock.platform_api import Conflict, PlatformClient

_PREFIX = "roster/"
_LENGTH = 8
_WRITE_TRIES = 5


class Roster:
    """Reads all zones' addresses and writes those of this node's zone.

    Each zone has one object of a few addresses, so that neither its size nor the
    writes grow with the zone.
    """

    def __init__(
        self, platform: PlatformClient, *, own: Member, rng: random.Random
    ) -> None:
        self._platform = platform
        self._zone = own.availability_zone
        self._own = (own.host, own.port)
        self._rng = rng

    async def addresses(self) -> list[Address] | Failure:
        """Return the other nodes' addresses, in a random order."""
        found = await self._platform.list(_PREFIX)
        if isinstance(found, Failure):
            return found
        addresses = [a for entry in found.objects for a in _addresses_in(entry.value)]
        others = [a for a in dict.fromkeys(addresses) if a != self._own]
        self._rng.shuffle(others)
        return others

    async def enter(self) -> Failure | None:
        """Add this node to its zone's addresses while there is room.

        Whoever lists after its own entry sees all who entered before, so that nodes
        that start at the same moment find each other.
        """
        for _ in range(_WRITE_TRIES):
            found = await self._platform.read(_PREFIX + self._zone)
            if isinstance(found, Failure):
                return found
            known = _addresses_in(found.value)
            if self._own in known or len(known) >= _LENGTH:
                return None
            result = await self._write([*known, self._own], found.version)
            if not isinstance(result, Conflict):
                return result if isinstance(result, Failure) else None
        return None

    async def renew(self, live: list[Member]) -> None:
        """Replace addresses of members that are gone by those of live ones."""
        found = await self._platform.read(_PREFIX + self._zone)
        if isinstance(found, Failure):
            return
        known = _addresses_in(found.value)
        alive = [(m.host, m.port) for m in live]
        kept = [a for a in known if a in alive]
        spare = [a for a in alive if a not in kept]
        self._rng.shuffle(spare)
        wanted = (kept + spare)[:_LENGTH]
        if set(wanted) != set(known):
            await self._write(wanted, found.version)

    async def _write(self, addresses: list[Address], version: int) -> Any:
        result = await self._platform.try_update(
            _PREFIX + self._zone,
            expected_version=version,
            value={"addresses": sorted(list(a) for a in addresses)},
        )
        log_event(
            "roster.written",
            availability_zone=self._zone,
            addresses=len(addresses),
            base_version=version,
            written=bool(result),
        )
        return result


def _addresses_in(value: dict[str, Any]) -> list[Address]:
    """Read the addresses of an entry; what is no address is left out."""
    listed = value.get("addresses")
    found = []
    for item in listed if isinstance(listed, list) else ():
        if isinstance(item, list) and len(item) == 2:
            host, port = item
            if isinstance(host, str) and isinstance(port, int):
                found.append((host, port))
    return found
