"""The configuration that a node applies, and its differences to older ones."""

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
from burdockdock.overlay.applied import AppliedState
from burdockdock.overlay.spread import DeltaCodec

CONFIG_KEY = "config"
_KEPT_DOCUMENTS = 16


class ConfigState:
    """Applies whole configuration versions, each by one change of a reference."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._document = ConfigDocument(0, {})
        self._recent: OrderedDict[int, ConfigDocument] = OrderedDict()
        self._from_delta: ConfigDocument | None = None
        self._whole: tuple[int, bytes] = (0, b"")
        self._refused_version = 0
        self._refusal = ""
        self.snapshot: Snapshot = EMPTY_SNAPSHOT

    @property
    def codec(self) -> DeltaCodec:
        """How configuration records are sent."""
        return DeltaCodec(self._encode_whole, self._encode_delta, self._apply_delta)

    def accept(self, record: Record) -> bool:
        """Check a record whole and apply it; a bad one changes nothing."""
        try:
            document = self._document_of(record)
        except ValueError as error:
            self._refuse(record.version, str(error))
            return False
        built = build_snapshot(
            document.sections, version=record.version, previous=self.snapshot
        )
        if isinstance(built, list):
            self._refuse(record.version, str(built[0]))
            return False
        document = document._replace(sections=built.sections)
        self._document = document
        self._recent[record.version] = document
        if len(self._recent) > _KEPT_DOCUMENTS:
            self._recent.popitem(last=False)
        self.snapshot = built
        return True

    def applied_state(self) -> AppliedState:
        """Return what this node applies, for the reporter."""
        return AppliedState(
            self._node_id, self.snapshot.version, self._refused_version, self._refusal
        )

    def _document_of(self, record: Record) -> ConfigDocument:
        """Return the document that a delta led to, or read a whole one."""
        document = self._from_delta
        self._from_delta = None
        if document is not None and document.version == record.version:
            return document
        return decode_document(record.value)

    def _refuse(self, version: int, reason: str) -> None:
        self._refused_version = version
        self._refusal = reason

    def _encode_whole(self) -> bytes:
        if self._whole[0] != self._document.version:
            self._whole = (self._document.version, self._document.encode())
        return self._whole[1]

    def _encode_delta(self, base_version: int) -> bytes | None:
        base = self._recent.get(base_version)
        if base is None:
            return None
        return encode_delta(base, self._document, digest=self.snapshot.digest)

    def _apply_delta(self, record: Record) -> Record | None:
        self._from_delta = apply_delta(
            self._document, record.value, digest=self.snapshot.digest
        )
        if self._from_delta is None:
            return None
        return record._replace(value=b"")
