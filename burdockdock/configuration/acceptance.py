"""Stores accepted configuration versions in the platform.

The document is written first, in parts of bounded size. The head, which points at the
parts, is written last, so that readers never see an incomplete version.
"""

import gzip
import hashlib
from base64 import b64decode, b64encode
from typing import Any, NamedTuple

from burdockdock.clock import Clock
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.delta import ConfigDocument, decode_document
from burdockdock.configuration.model import Problem, Sections
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.platform_api.client import Conflict, PlatformClient, PlatformObject
from burdockdock.platform_api.era import ordered_version

HEAD_KEY = "config/head"
PARTS_PREFIX = "config-parts/"
_MAX_PART_BYTES = 600_000
_MAX_HISTORY_ENTRIES = 100
_MAX_OLD_DOCUMENTS = 4


class HistoryEntry(NamedTuple):
    """One accepted version, as listed for operators.

    :param accepted_at: wall-clock time of acceptance in ISO 8601 format.
    :param token: identifies the write that made this version.
    """

    version: int
    author: str
    reason: str
    accepted_at: str
    token: str


class Accepted(NamedTuple):
    """The configuration was accepted as this version."""

    version: int


class Rejected(NamedTuple):
    """The configuration was not accepted, and this change had no effect.

    :param winner: the version that was accepted instead, None unless a concurrent
        change was accepted first.
    """

    problems: list[Problem]
    winner: HistoryEntry | None = None


class Undecided(NamedTuple):
    """The outcome is unknown: the platform did not answer, or a write may be delayed.

    :param token: finds the outcome later, through :func:`find_outcome`.
    """

    token: str
    detail: str


class Head(NamedTuple):
    """The newest accepted configuration version in the platform.

    :param version: configuration version, 0 before the first.
    :param object_version: version of the platform's object, which the next update
        must expect.
    :param parts: keys of the objects that hold the document.
    :param history: accepted versions, newest first.
    :param old_parts: keys of the parts of earlier documents, newest first.
    :param era: era of the platform in which it was read.
    :param written_era: era in which it was written.
    """

    version: int
    object_version: int
    parts: list[str]
    history: list[HistoryEntry]
    old_parts: list[list[str]] = []
    era: int = 0
    written_era: int = 0

    @property
    def next_version(self) -> int:
        """The version of the next change.

        If the platform returned from an older copy, versions above this one may have
        been in force, so the next one is above all of the earlier eras.
        """
        if self.era > self.written_era:
            return ordered_version(self.era, self.version + 1)
        return self.version + 1

    def find_entry(self, token: str) -> HistoryEntry | None:
        """Return the history entry written with a token, or None."""
        return next((e for e in self.history if e.token == token), None)


async def read_head(platform: PlatformClient) -> Head | Failure:
    """Read the head; its version is 0 before the first configuration."""
    found = await platform.read(HEAD_KEY)
    if not isinstance(found, PlatformObject):
        return found
    return parse_head(found)


def parse_head(found: PlatformObject) -> Head:
    """Parse the head from its platform object."""
    history = [HistoryEntry(*entry) for entry in found.value.get("history", [])]
    return Head(
        version=found.value.get("version", 0),
        object_version=found.version,
        parts=found.value.get("parts", []),
        history=history,
        old_parts=found.value.get("old_parts", []),
        era=found.era,
        # Without a head, or with one that states no era, a return may have gone before.
        written_era=found.value.get("era", 0),
    )


async def read_document(
    platform: PlatformClient, head: Head
) -> ConfigDocument | Failure:
    """Read the document that a head points at; fail if any part is missing."""
    if not head.parts:
        return ConfigDocument(head.version, {})
    texts = []
    for key in head.parts:
        part = await platform.read(key)
        if isinstance(part, Failure):
            return part
        if not part.version:
            return Failure(Verdict.NOT_RUN, "part_missing", key)
        texts.append(part.value["text"])
    document = decode_document(gzip.decompress(b64decode("".join(texts))))
    return document._replace(version=head.version)


async def accept(
    platform: PlatformClient,
    sections: Sections,
    *,
    base: Head,
    author: str,
    reason: str,
    clock: Clock,
    token: str | None = None,
) -> Accepted | Rejected | Undecided:
    """Check a configuration and make it the accepted version.

    :param base: the head that the operator's change is based on. If another change was
        accepted after it, this one is rejected.
    :param token: token of an earlier attempt at the same change; a new one is made by
        default. If the earlier attempt took effect, its version is returned.
    """
    version = base.next_version
    built = build_snapshot(sections, version=version)
    if isinstance(built, list):
        return Rejected(built)
    token = token or platform.new_token()
    accepted_at = clock.now().isoformat(timespec="seconds")
    document = ConfigDocument(version, sections, author, reason, accepted_at)
    parts = await _write_parts(platform, document)
    if isinstance(parts, Failure):
        message = f"the platform can't be reached, nothing changed: {parts.detail}"
        return Rejected([Problem("", "", message)])
    entry = HistoryEntry(version, author, reason, accepted_at, token)
    value: dict[str, Any] = {
        "version": version,
        "parts": parts,
        "old_parts": [base.parts, *base.old_parts][:_MAX_OLD_DOCUMENTS],
        "token": token,
        "era": base.era,
        "history": [entry, *base.history][:_MAX_HISTORY_ENTRIES],
    }
    result = await platform.update(
        HEAD_KEY, expected_version=base.object_version, value=value
    )
    outcome = _outcome_of_update(result, token=token, version=version)
    if isinstance(outcome, Accepted):
        await _delete_oldest_parts(platform, base, keep=parts)
    return outcome


async def accept_over_newest(
    platform: PlatformClient,
    sections: Sections,
    *,
    author: str,
    reason: str,
    clock: Clock,
) -> Accepted | Rejected | Undecided:
    """Accept a configuration as the successor of the newest version."""
    base = await read_head(platform)
    if isinstance(base, Failure):
        return Rejected(
            [Problem("", "", f"the platform can't be reached: {base.detail}")]
        )
    return await accept(
        platform, sections, base=base, author=author, reason=reason, clock=clock
    )


async def find_outcome(
    platform: PlatformClient, token: str, *, base_version: int
) -> Accepted | Rejected | Undecided:
    """Find the outcome of an earlier change by its token.

    While the head is still at the version that the change was based on, a delayed
    write can still take effect. A missing token is therefore not a rejection.

    :param base_version: configuration version that the change was based on.
    """
    head = await read_head(platform)
    if isinstance(head, Failure):
        return Undecided(token, head.detail)
    entry = head.find_entry(token)
    if entry is not None:
        return Accepted(entry.version)
    if head.version <= base_version:
        return Undecided(token, "no change was accepted since")
    problem = Problem("", "", "another change was accepted first")
    return Rejected([problem], head.history[0] if head.history else None)


async def _write_parts(
    platform: PlatformClient, document: ConfigDocument
) -> list[str] | Failure:
    """Write the document in parts, under keys derived from a digest of its content."""
    text = b64encode(gzip.compress(document.encode(), mtime=0)).decode()
    digest = hashlib.sha256(text.encode()).hexdigest()[:32]
    keys = []
    for index, start in enumerate(range(0, len(text), _MAX_PART_BYTES)):
        key = f"{PARTS_PREFIX}{digest}-{index}"
        part = {"text": text[start : start + _MAX_PART_BYTES]}
        result = await platform.update(key, expected_version=0, value=part)
        if isinstance(result, Failure):
            return result
        keys.append(key)
    return keys


async def _delete_oldest_parts(
    platform: PlatformClient, base: Head, *, keep: list[str]
) -> None:
    """Delete the oldest document's parts once the limit of old documents is reached.

    Parts that a remaining document shares are kept.
    """
    if len(base.old_parts) < _MAX_OLD_DOCUMENTS:
        return
    kept = {*keep, *base.parts}
    kept.update(key for keys in base.old_parts[:-1] for key in keys)
    for key in base.old_parts[-1]:
        if key not in kept:
            await platform.delete(key)


def _outcome_of_update(
    result: PlatformObject | Conflict | Failure, *, token: str, version: int
) -> Accepted | Rejected | Undecided:
    if isinstance(result, PlatformObject):
        return Accepted(version)
    if isinstance(result, Failure):
        return Undecided(token, result.detail or result.reason)
    head = parse_head(result.current)
    entry = head.find_entry(token)
    if entry is not None:
        return Accepted(entry.version)
    winner = head.history[0] if head.history else None
    return Rejected([Problem("", "", "another change was accepted first")], winner)
