"""Encodes and applies the differences between configuration versions, by section."""

import json
from typing import NamedTuple

from burdockdock.configuration.ini import section_digest
from burdockdock.configuration.model import Sections


class ConfigDocument(NamedTuple):
    """A configuration version as it is stored and distributed.

    :param version: the configuration version.
    :param author: the operator who applied it.
    :param reason: the operator's reason for the change.
    :param accepted_at: wall-clock time of acceptance in ISO 8601 format, for display
        only.
    """

    version: int
    sections: Sections
    author: str = ""
    reason: str = ""
    accepted_at: str = ""

    def encode(self) -> bytes:
        """Return the document as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def changed_sections(old: Sections, new: Sections) -> Sections:
    """Return the sections of the new version that were added or changed.

    Versions share the objects of unchanged sections, so that an identity check spares
    most comparisons.
    """
    return {
        name: pairs
        for name, pairs in new.items()
        if (known := old.get(name)) is not pairs and known != pairs
    }


def decode_document(data: bytes) -> ConfigDocument:
    """Decode a document from JSON bytes.

    :raises ValueError: if the bytes are not a valid document.
    """
    try:
        return ConfigDocument(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None


def encode_delta(old: ConfigDocument, new: ConfigDocument, *, digest: int) -> bytes:
    """Return the encoded delta that turns the old document into the new one.

    :param digest: digest of the new document's sections.
    """
    changed = changed_sections(old.sections, new.sections)
    removed = [name for name in old.sections if name not in new.sections]
    document = new._replace(sections=changed)._asdict()
    document["removed"] = removed
    document["digest"] = f"{digest:032x}"
    return json.dumps(document, separators=(",", ":")).encode()


def apply_delta(
    old: ConfigDocument, data: bytes, *, digest: int
) -> ConfigDocument | None:
    """Apply an encoded delta to a document.

    :param digest: digest of the old document's sections.
    :returns: the new document, or None if the delta was made against other sections,
        which shows in a digest that differs from the one in the delta.
    :raises ValueError: if the bytes are not a valid delta.
    """
    try:
        fields = json.loads(data)
        removed = fields.pop("removed")
        expected = int(fields.pop("digest"), 16)
        changed: Sections = fields.pop("sections")
        document = ConfigDocument(sections=dict(old.sections), **fields)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(str(error)) from None
    sections = document.sections
    for name in [*removed, *changed]:
        pairs = sections.pop(name, None)
        if pairs is not None:
            digest ^= section_digest(name, pairs)
    for name, pairs in changed.items():
        sections[name] = pairs
        digest ^= section_digest(name, pairs)
    return document if digest == expected else None
