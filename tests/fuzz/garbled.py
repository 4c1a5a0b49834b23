"""Tells what a backend server garbled such that no node can see it.

Nodes can't read signatures. So they can't tell an answer whose bytes the backend server
sent with others inside, or under the id of another request, from a whole one.
"""

import re

from burdockdock.standin.faulty_behaviour import Behaviour, FieldPlace, Framing
from burdockdock.standin.ledger import LedgerEntry, SentBytes

_HEAD_END = re.compile(rb"\r?\n\r?\n")
_FORGED_ID = "copy_next_id"


def is_head_garbled(entry: LedgerEntry) -> bool:
    """Return whether an arrival's head has junk inside, or isn't the one that was sent.

    A forged head bears its id, and a copy may be all that is sent of an answer.
    """
    if any(sent.kind == _FORGED_ID for sent in entry.sent):
        return True
    own, others = _split(entry)
    if not own and any(s.owner == entry.arrival.number for s in entry.sent):
        return True
    is_whole = _HEAD_END.search(own) is not None
    return bool(own) and not is_whole and any(s.kind == "junk" for s in others)


def is_body_garbled(behaviour: Behaviour, entry: LedgerEntry, body: bytes) -> bool:
    """Return whether the server sent this body behind the arrival's own whole head."""
    own, others = _split(entry)
    head_end = _HEAD_END.search(own)
    if head_end is None:
        return False
    if behaviour.framing is Framing.NO_LENGTH:
        # The end of the connection is the only end that such a body has.
        behind = own[head_end.end() :] + b"".join(sent.data for sent in others)
        return bool(behaviour.junk.between) or behind.startswith(body)
    is_cut = len(own) == behaviour.cut_at
    return bool(behaviour.junk.between) or (is_cut and bool(others))


def has_malformed_head(behaviour: Behaviour, entry: LedgerEntry) -> bool:
    """Return whether a malformed field line was sent in a head of this arrival."""
    return _has_malformed_field(behaviour, entry, in_trailer=False)


def has_malformed_trailer(behaviour: Behaviour, entry: LedgerEntry) -> bool:
    """Return whether a malformed field line was sent behind this arrival's body.

    Junk between head and body may be a last chunk, behind which nothing is a trailer.
    """
    if behaviour.junk.between:
        return False
    return _has_malformed_field(behaviour, entry, in_trailer=True)


def _has_malformed_field(
    behaviour: Behaviour, entry: LedgerEntry, *, in_trailer: bool
) -> bool:
    field = behaviour.malformed_field
    if field is None or in_trailer is not (field.place is FieldPlace.TRAILER):
        return False
    sent = [s.data for s in entry.sent if s.owner == entry.arrival.number]
    lines = [line for data in sent for line in data.splitlines(keepends=True)]
    return any(line in (field.line + b"\r\n", field.line + b"\n") for line in lines)


def _split(entry: LedgerEntry) -> tuple[bytes, list[SentBytes]]:
    """Return an arrival's own answer as sent, and what was sent behind its start."""
    kinds = [sent.kind for sent in entry.sent]
    if "answer" not in kinds:
        return b"", []
    sent = entry.sent[kinds.index("answer") :]
    own = b"".join(s.data for s in sent if s.kind == "answer")
    return own, [s for s in sent if s.kind != "answer"]
