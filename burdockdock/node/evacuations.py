"""Evacuations of availability zones: from the platform to the gate and the callers."""

import asyncio
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.gate.gate import Gate
from burdockdock.logs import log_event
from burdockdock.metrics import Metrics
from burdockdock.platform_api.client import PlatformObject, WatchResult
from burdockdock.platform_api.era import era_of
from burdockdock.proxy.endpoints import Endpoints

# Prefix of the operators' objects in the platform, one for each zone to evacuate.
EVACUATION_OBJECTS = "evacuations/"
# Prefix of the records that tell every node of them.
EVACUATION_RECORDS = "evacuation/"
_EVACUATED = b"evacuated"
_ENDED = b"ended"


class EvacuationReader:
    """Turns the operators' objects into records, on the nodes that read them.

    The content of an object doesn't matter: its name is the zone.

    :param spread: stores a record and broadcasts it to every node.
    """

    def __init__(
        self, records: RecordStore, *, spread: Callable[[Record], None]
    ) -> None:
        self._records = records
        self._spread = spread
        self._kept: set[tuple[str, int]] = set()

    def ingest(self, found: PlatformObject) -> None:
        """Broadcast the beginning of an evacuation, or the end if it was deleted."""
        zone = found.key.removeprefix(EVACUATION_OBJECTS)
        if not found.version:
            self._end(zone)
            return
        key = EVACUATION_RECORDS + zone
        self._spread(Record(key, found.record_version, _EVACUATED))

    def end_missing(self, listed: WatchResult) -> None:
        """End the evacuations that a complete list of the objects lacks.

        A list from before an object was written says nothing about it. Neither does a
        store that returned from an older copy, which may have lost the object: the
        evacuation then stays in force until its object is written again and deleted.
        """
        present = {
            found.key.removeprefix(EVACUATION_OBJECTS) for found in listed.objects
        }
        for zone, record in _active(self._records).items():
            if zone in present or record.version > listed.record_version:
                continue
            if era_of(record.version) == listed.era:
                self._end(zone)
            else:
                self._note_kept(zone, listed.era)

    def _end(self, zone: str) -> None:
        """Broadcast the end, unless it is known.

        Several nodes read the deletion. If each of them raised the version, it could
        pass that of the zone's next evacuation. A deletion that is read before any
        record of the zone has no version to follow and ends nothing; if the record
        comes later, the next complete list ends it.
        """
        record = self._records.get(EVACUATION_RECORDS + zone)
        if record is None:
            log_event("evacuation.end_ignored", zone=zone)
        elif record.value != _ENDED:
            self._spread(Record(record.key, record.version + 1, _ENDED))

    def _note_kept(self, zone: str, era: int) -> None:
        if (zone, era) not in self._kept:
            self._kept.add((zone, era))
            reason = "store_restored_from_older_copy"
            log_event("evacuation.kept", zone=zone, reason=reason, era=era)


class Evacuations:
    """The evacuated availability zones, as this node's records say.

    :param on_change: called with all evacuated zones whenever they change.
    """

    def __init__(
        self,
        records: RecordStore,
        *,
        metrics: Metrics,
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self._metrics = metrics
        self._on_change = on_change
        self.zones: frozenset[str] = frozenset()
        records.subscribe(self._on_record)

    def _on_record(self, record: Record) -> None:
        if not record.key.startswith(EVACUATION_RECORDS):
            return
        zone = record.key.removeprefix(EVACUATION_RECORDS)
        ended = record.value == _ENDED
        zones = self.zones - {zone} if ended else self.zones | {zone}
        if zones == self.zones:
            return
        self.zones = zones
        event = "ended" if ended else "begun"
        log_event(f"evacuation.{event}", zone=zone, version=record.version)
        self._metrics.count("evacuations", label=event)
        self._on_change(zones)


class ZoneGate:
    """Closes the gate while its availability zone is evacuated.

    :param zone: availability zone of this node.
    """

    def __init__(self, zone: str, *, gate: Gate, clock: Clock) -> None:
        self._zone = zone
        self._gate = gate
        self._clock = clock
        self._evacuated = False
        self._idle_task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stop waiting for the last calls."""
        if self._idle_task is not None:
            self._idle_task.cancel()

    def update(self, zones: frozenset[str]) -> None:
        """Open or close the gate, given all evacuated zones."""
        evacuated = self._zone in zones
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        self.close()
        self._gate.set_evacuated(evacuated)
        if evacuated:
            self._idle_task = asyncio.create_task(self._report_idle())

    async def _report_idle(self) -> None:
        """Log when the last call at the backend server has ended."""
        started_s = self._clock.monotonic()
        await self._gate.wait_idle()
        waited_s = self._clock.monotonic() - started_s
        log_event("evacuation.gate_empty", zone=self._zone, waited_s=waited_s)


class EvacuationParts:
    """What a node does about evacuations: as the callers' node, and as a gate."""

    def __init__(
        self,
        zone: str,
        *,
        records: RecordStore,
        endpoints: Endpoints,
        gate: Gate,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._endpoints = endpoints
        self._zone_gate = ZoneGate(zone, gate=gate, clock=clock)
        self._evacuations = Evacuations(records, metrics=metrics, on_change=self._apply)

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated availability zones."""
        return self._evacuations.zones

    def close(self) -> None:
        """Stop what runs in the background."""
        self._zone_gate.close()

    def _apply(self, zones: frozenset[str]) -> None:
        self._endpoints.exclude_zones(zones)
        self._zone_gate.update(zones)


def _active(records: RecordStore) -> dict[str, Record]:
    """Return the records of the evacuations in force by zone."""
    return {
        key.removeprefix(EVACUATION_RECORDS): record
        for key in records.versions()
        if key.startswith(EVACUATION_RECORDS)
        and (record := records.get(key)) is not None
        and record.value != _ENDED
    }
