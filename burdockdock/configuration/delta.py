"""Differences between configuration versions, by section."""

import json
from typing import NamedTuple

from burdockdock.configuration.ini import digest_of
from burdockdock.configuration.model import Sections


class ConfigDocument(NamedTuple):
    """What the record of a configuration version carries.

    :param version: the configuration version.
    :param author: who applied it.
    :param reason: why, in the operator's words.
    :param accepted_at: wall-clock time of acceptance in ISO form, for people only.
    """

    version: int
    sections: Sections
    author: str = ""
    reason: str = ""
    accepted_at: str = ""

    def encode(self) -> bytes:
        """Return the document as JSON bytes."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def decode_document(data: bytes) -> ConfigDocument:
    """Read a document.

    :raises ValueError: if the bytes are no document.
    """
    try:
        return ConfigDocument(**json.loads(data))
    except TypeError as error:
        raise ValueError(str(error)) from None


def encode_delta(old: ConfigDocument, new: ConfigDocument) -> bytes:
    """Return the bytes that turn the old document into the new one."""
    changed = {
        name: pairs
        for name, pairs in new.sections.items()
        if old.sections.get(name) != pairs
    }
    removed = [name for name in old.sections if name not in new.sections]
    document = new._replace(sections=changed)._asdict()
    document["removed"] = removed
    document["digest"] = digest_of(new.sections)
    return json.dumps(document, separators=(",", ":")).encode()


def apply_delta(old: ConfigDocument, data: bytes) -> ConfigDocument | None:
    """Return the document that a delta leads to.

    :returns: None if the delta was made against other sections than ours.
    """
    fields = json.loads(data)
    removed = fields.pop("removed")
    digest = fields.pop("digest")
    sections = {k: v for k, v in old.sections.items() if k not in removed}
    sections.update(fields["sections"])
    if digest_of(sections) != digest:
        return None
    return ConfigDocument(**{**fields, "sections": sections})
