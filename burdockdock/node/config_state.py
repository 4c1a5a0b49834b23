"""The configuration that a node applies, and deltas between its versions."""

from collections import OrderedDict

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.delta import (
    ConfigDocument,
    apply_delta,
    decode_document,
    encode_delta,
)
from burdockdock.configuration.model import EMPTY_SNAPSHOT, Snapshot
from burdockdock.coordination.records import Record
from burdockdock.overlay.applied_status import AppliedState
from burdockdock.overlay.spread import DeltaCodec

CONFIG_KEY = "config"
_MAX_RECENT_DOCUMENTS = 16


class ConfigState:
    """Applies configuration versions atomically, by replacing one reference."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._document = ConfigDocument(0, {})
        self._recent: OrderedDict[int, ConfigDocument] = OrderedDict()
        self._delta_document: ConfigDocument | None = None
        self._encoded_document: tuple[int, bytes] = (0, b"")
        self._refused_version = 0
        self._refusal = ""
        self.snapshot: Snapshot = EMPTY_SNAPSHOT

    @property
    def codec(self) -> DeltaCodec:
        """The codec that sends configuration records in full or as deltas."""
        return DeltaCodec(self._encode_full, self._encode_delta, self._apply_delta)

    def accept(self, record: Record) -> bool:
        """Validate a record and apply it; an invalid one changes nothing.

        :returns: whether the record was applied.
        """
        try:
            document = self._load_document(record)
        except ValueError as error:
            self._record_refusal(record.version, str(error))
            return False
        built = build_snapshot(
            document.sections, version=record.version, previous=self.snapshot
        )
        if isinstance(built, list):
            self._record_refusal(record.version, str(built[0]))
            return False
        document = document._replace(sections=built.sections)
        self._document = document
        self._recent[record.version] = document
        if len(self._recent) > _MAX_RECENT_DOCUMENTS:
            self._recent.popitem(last=False)
        self.snapshot = built
        return True

    def applied_state(self) -> AppliedState:
        """Return the applied and the refused version, for the reporter."""
        return AppliedState(
            self._node_id, self.snapshot.version, self._refused_version, self._refusal
        )

    def _load_document(self, record: Record) -> ConfigDocument:
        """Return the document built from a delta, or decode a full one."""
        document = self._delta_document
        self._delta_document = None
        if document is not None and document.version == record.version:
            return document
        return decode_document(record.value)

    def _record_refusal(self, version: int, reason: str) -> None:
        self._refused_version = version
        self._refusal = reason

    def _encode_full(self) -> bytes:
        if self._encoded_document[0] != self._document.version:
            self._encoded_document = (self._document.version, self._document.encode())
        return self._encoded_document[1]

    def _encode_delta(self, base_version: int) -> bytes | None:
        base = self._recent.get(base_version)
        if base is None:
            return None
        return encode_delta(base, self._document, digest=self.snapshot.digest)

    def _apply_delta(self, record: Record) -> Record | None:
        self._delta_document = apply_delta(
            self._document, record.value, digest=self.snapshot.digest
        )
        if self._delta_document is None:
            return None
        return record._replace(value=b"")
