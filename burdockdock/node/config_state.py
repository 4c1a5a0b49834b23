"""The configuration that a node applies, and deltas between its versions."""

from collections import OrderedDict

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.delta import (
    ConfigDocument,
    apply_delta,
    decode_document,
    encode_delta,
)
from burdockdock.configuration.ini import configuration_digest
from burdockdock.configuration.model import EMPTY_SNAPSHOT, Problem, Snapshot
from burdockdock.configuration.usable import UsableSnapshot, build_usable_snapshot
from burdockdock.coordination.records import Record
from burdockdock.overlay.applied_status import AppliedState
from burdockdock.overlay.spread import DeltaCodec

CONFIG_KEY = "config"
_MAX_RECENT_DOCUMENTS = 16


class ConfigState:
    """Applies configuration versions atomically, by replacing one reference.

    :param is_binding: whether a version that was stored is in force whether or not this
        node can use all of it.
    :ivar unused: why sections of the version applied were left out, by their names.
    """

    def __init__(self, node_id: str, *, is_binding: bool = False) -> None:
        self._node_id = node_id
        self._is_binding = is_binding
        self._document = ConfigDocument(0, {})
        self._recent: OrderedDict[int, ConfigDocument] = OrderedDict()
        self._delta_document: ConfigDocument | None = None
        self._encoded_document: tuple[int, bytes] = (0, b"")
        self._refused_version = 0
        self._refusal = ""
        self._base: Snapshot = EMPTY_SNAPSHOT
        self._digest = EMPTY_SNAPSHOT.digest
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.unused: dict[str, Problem] = {}

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
        built = self._build(document, record.version)
        if isinstance(built, list):
            self._record_refusal(record.version, str(built[0]))
            return False
        # Sections that didn't change are shared with the version before.
        sections = {**document.sections, **built.base.sections}
        document = document._replace(sections=sections)
        self._document = document
        self._recent[record.version] = document
        if len(self._recent) > _MAX_RECENT_DOCUMENTS:
            self._recent.popitem(last=False)
        self._base = built.base
        self._digest = (
            configuration_digest(sections) if built.unused else built.base.digest
        )
        self.unused = built.unused
        self.snapshot = built.snapshot
        return True

    def _build(
        self, document: ConfigDocument, version: int
    ) -> UsableSnapshot | list[Problem]:
        """Return what to apply of a version, or why it is refused."""
        sections = document.sections
        if self._is_binding:
            return build_usable_snapshot(sections, version=version, previous=self._base)
        built = build_snapshot(sections, version=version, previous=self._base)
        return built if isinstance(built, list) else UsableSnapshot(built, built, {})

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
        return encode_delta(base, self._document, digest=self._digest)

    def _apply_delta(self, record: Record) -> Record | None:
        self._delta_document = apply_delta(
            self._document, record.value, digest=self._digest
        )
        if self._delta_document is None:
            return None
        return record._replace(value=b"")
