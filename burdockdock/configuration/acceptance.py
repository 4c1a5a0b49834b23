"""Accepting a configuration: the parts first, the head last."""

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

HEAD_KEY = "config/head"
PARTS_PREFIX = "config-parts/"
_PART_BYTES = 600_000
_HISTORY_LENGTH = 100
_KEPT_DOCUMENTS = 4


class HistoryEntry(NamedTuple):
    """One accepted version, as told to operators."""

    version: int
    author: str
    reason: str
    accepted_at: str
    token: str


class Accepted(NamedTuple):
    """The configuration was accepted as this version."""

    version: int


class Rejected(NamedTuple):
    """The configuration was not accepted, and nothing changed.

    :param winner: the version that won a race, None without one.
    """

    problems: list[Problem]
    winner: HistoryEntry | None = None


class Undecided(NamedTuple):
    """The platform did not answer; the token will tell what became of it."""

    token: str
    detail: str


class Head(NamedTuple):
    """The newest accepted configuration version in the platform.

    :param object_version: version of the platform's object, for the next update.
    :param parts: keys of the objects that hold the document.
    """

    version: int
    object_version: int
    parts: list[str]
    history: list[HistoryEntry]
    old_parts: list[list[str]] = []

    def entry_of(self, token: str) -> HistoryEntry | None:
        """Return the entry that a write's token made."""
        return next((e for e in self.history if e.token == token), None)


async def read_head(platform: PlatformClient) -> Head | Failure:
    """Read the head; version 0 before the first configuration."""
    found = await platform.read(HEAD_KEY)
    if not isinstance(found, PlatformObject):
        return found
    return head_from(found)


def head_from(found: PlatformObject) -> Head:
    """Read the head out of its object."""
    history = [HistoryEntry(*entry) for entry in found.value.get("history", [])]
    return Head(
        version=found.value.get("version", 0),
        object_version=found.version,
        parts=found.value.get("parts", []),
        history=history,
        old_parts=found.value.get("old_parts", []),
    )


async def read_document(
    platform: PlatformClient, head: Head
) -> ConfigDocument | Failure:
    """Read the document that a head points at, whole or not at all."""
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

    :param base: the head that the operator saw; another operator's change after it
        wins, and this one is rejected.
    :param token: token of an earlier try, to find out what became of it.
    """
    version = base.version + 1
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
        "old_parts": [base.parts, *base.old_parts][:_KEPT_DOCUMENTS],
        "token": token,
        "history": [entry, *base.history][:_HISTORY_LENGTH],
    }
    result = await platform.update(
        HEAD_KEY, expected_version=base.object_version, value=value
    )
    outcome = _describe(result, token=token, version=version)
    if isinstance(outcome, Accepted):
        await _delete_dropped_parts(platform, base, keep=parts)
    return outcome


async def accept_over_newest(
    platform: PlatformClient,
    sections: Sections,
    *,
    author: str,
    reason: str,
    clock: Clock,
) -> Accepted | Rejected | Undecided:
    """Accept a configuration in place of whichever is the newest now."""
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
    """Tell what became of an earlier change by its token.

    While the head still stands where the change found it, a delayed write may yet
    take effect, so that an absent token is no rejection.
    """
    head = await read_head(platform)
    if isinstance(head, Failure):
        return Undecided(token, head.detail)
    entry = head.entry_of(token)
    if entry is not None:
        return Accepted(entry.version)
    if head.version <= base_version:
        return Undecided(token, "no change was accepted since")
    problem = Problem("", "", "another change was accepted first")
    return Rejected([problem], head.history[0] if head.history else None)


async def _write_parts(
    platform: PlatformClient, document: ConfigDocument
) -> list[str] | Failure:
    """Write the document under keys that name its content."""
    text = b64encode(gzip.compress(document.encode(), mtime=0)).decode()
    digest = hashlib.sha256(text.encode()).hexdigest()[:32]
    keys = []
    for index, start in enumerate(range(0, len(text), _PART_BYTES)):
        key = f"{PARTS_PREFIX}{digest}-{index}"
        part = {"text": text[start : start + _PART_BYTES]}
        result = await platform.update(key, expected_version=0, value=part)
        if isinstance(result, Failure):
            return result
        keys.append(key)
    return keys


async def _delete_dropped_parts(
    platform: PlatformClient, base: Head, *, keep: list[str]
) -> None:
    """Delete the parts of the oldest document, unless a kept one shares them."""
    if len(base.old_parts) < _KEPT_DOCUMENTS:
        return
    kept = {*keep, *base.parts}
    kept.update(key for keys in base.old_parts[:-1] for key in keys)
    for key in base.old_parts[-1]:
        if key not in kept:
            await platform.delete(key)


def _describe(
    result: PlatformObject | Conflict | Failure, *, token: str, version: int
) -> Accepted | Rejected | Undecided:
    if isinstance(result, PlatformObject):
        return Accepted(version)
    if isinstance(result, Failure):
        return Undecided(token, result.detail or result.reason)
    head = head_from(result.current)
    entry = head.entry_of(token)
    if entry is not None:
        return Accepted(entry.version)
    winner = head.history[0] if head.history else None
    return Rejected([Problem("", "", "another change was accepted first")], winner)
