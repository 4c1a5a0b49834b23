"""Compares what callers got with a backend server's ledger."""

from collections.abc import Iterator
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from burdockdock.coordination.verdict import Verdict
from burdockdock.standin.faulty_answers import signed_arrival
from burdockdock.standin.faulty_behaviour import Ending
from burdockdock.standin.ledger import Answer, LedgerEntry
from tests.fuzz.garbled import (
    has_malformed_head,
    has_malformed_trailer,
    is_body_garbled,
    is_head_garbled,
)
from tests.fuzz.outcomes import Outcome, Run
from tests.fuzz.sequences import LONG_TIME_LEFT_MS
from tests.header_names import HEADER_NAMES

_NAMES = HEADER_NAMES

# Reasons of failures whose answer was the arrival's own.
_OWN_REFUSALS = ("backend_refused", "other_instance")

# Statuses that callers take for "not run" unless the answer is signed.
_PROMISES_NOT_RUN = (408, 421, 429, 503)


class Rule(Enum):
    """What must hold for every sequence."""

    NO_RUN = "the arrival that is signed for didn't run"
    OTHER_ARRIVAL = "the answer of another arrival"
    OTHER_STATUS = "another status than the run's"
    OTHER_BODY = "a whole body that isn't the run's"
    UNSIGNED_SUCCESS = "a success without a signature"
    UNKNOWN_ANSWER = "an answer that no arrival of the attempt had"
    RAN_THOUGH_NOT_RUN = "said not run, but it ran"
    RAN_TWICE = "not idempotent, but ran twice"
    OTHERS_PROMISE = "an unsigned answer that says not run, but an arrival before ran"
    EXTRA_ARRIVAL = "sent again past the gate"
    TOO_MANY_SERVERS = "sent to more backend servers than its route allows"
    USED_AGAIN = "a connection used behind the answer that ended it"
    MALFORMED_FIELD = "an answer with a malformed field"
    LOST_ANSWER = "a faultless answer on a faultless connection was lost"


# Rules that are broken still; KNOWN-RED.txt lists a test of each.
KNOWN_BROKEN: frozenset[Rule] = frozenset()


class Violation(NamedTuple):
    """A rule that is broken."""

    rule: Rule
    detail: str


def judge(run: Run) -> list[Violation]:
    """Return the rules that a sequence at a gate broke."""
    found = _check_outcomes(run)
    for outcome in run.outcomes:
        found += _check_arrivals(run, outcome)
        found += _check_liveness(run, outcome)
    return found + list(_check_connections(run))


def judge_nodes(run: Run, *, max_attempts: int) -> list[Violation]:
    """Return the rules that a sequence through nodes broke.

    :param max_attempts: backend servers that an attempt of a caller may be sent to.
    """
    found = _check_outcomes(run)
    for outcome in run.outcomes:
        found += _check_attempts(run, outcome, max_attempts)
    return found


def _check_outcomes(run: Run) -> list[Violation]:
    found = []
    for outcome in run.outcomes:
        found += _check_answer(run, outcome)
    return found + list(_check_runs(run))


def _check_answer(run: Run, outcome: Outcome) -> Iterator[Violation]:
    entries = run.entries_of(outcome.attempt)
    if any(is_head_garbled(entry) for entry in entries):
        return
    if outcome.failure is not None and outcome.failure.verdict is Verdict.NOT_RUN:
        if any(entry.ran for entry in entries):
            yield Violation(Rule.RAN_THOUGH_NOT_RUN, outcome.attempt)
    yield from _check_fields(run, outcome, entries)
    if not outcome.status:
        return
    signature = outcome.header(_NAMES.signature)
    if not signature:
        yield from _check_unsigned(outcome, entries)
        return
    entry = run.entry(signed_arrival(signature))
    if entry not in entries:
        yield Violation(Rule.OTHER_ARRIVAL, f"{outcome.attempt} got {signature}")
    elif not entry.ran:
        yield Violation(Rule.NO_RUN, outcome.attempt)
    elif (outcome.status, signature) != (entry.answer.status, entry.answer.signature):
        detail = f"{outcome.attempt} got {outcome.status}, not {entry.answer.status}"
        yield Violation(Rule.OTHER_STATUS, detail)
    elif outcome.failure is None and not _is_own_body(run, outcome, entry):
        yield Violation(Rule.OTHER_BODY, f"{outcome.attempt} got {outcome.body[:80]}")


def _check_fields(
    run: Run, outcome: Outcome, entries: list[LedgerEntry]
) -> Iterator[Violation]:
    """Check that nothing is believed of an answer with a malformed field."""
    malformed = [e for e in entries if has_malformed_head(run.behaviour_of(e), e)]
    signed = run.entry(signed_arrival(outcome.header(_NAMES.signature)))
    # An answer without a signature may be that of any arrival.
    sources = entries if signed is None else [signed]
    if outcome.status and sources and all(e in malformed for e in sources):
        yield Violation(Rule.MALFORMED_FIELD, f"{outcome.attempt}: taken")
    if outcome.failure is None and signed is not None:
        if has_malformed_trailer(run.behaviour_of(signed), signed):
            yield Violation(Rule.MALFORMED_FIELD, f"{outcome.attempt}: whole")
    if outcome.failure is not None and outcome.failure.reason in _OWN_REFUSALS:
        if malformed:
            yield Violation(Rule.MALFORMED_FIELD, f"{outcome.attempt}: not run")


def _check_unsigned(
    outcome: Outcome, entries: list[LedgerEntry]
) -> Iterator[Violation]:
    promises = outcome.status in _PROMISES_NOT_RUN
    if promises and any(entry.ran for entry in entries):
        yield Violation(Rule.OTHERS_PROMISE, f"{outcome.attempt}: {outcome.status}")
    if 200 <= outcome.status < 300:
        yield Violation(Rule.UNSIGNED_SUCCESS, outcome.attempt)
    elif Answer(outcome.status) not in [entry.answer for entry in entries]:
        detail = f"{outcome.attempt} got {outcome.status} without a signature"
        yield Violation(Rule.UNKNOWN_ANSWER, detail)


def _is_own_body(run: Run, outcome: Outcome, entry: LedgerEntry) -> bool:
    """Return whether a whole body is that of the run, as far as a node can tell."""
    if outcome.call.method == "HEAD":
        return not outcome.body
    is_own = outcome.body == entry.answer.body
    return is_own or is_body_garbled(run.behaviour_of(entry), entry, outcome.body)


def _check_arrivals(run: Run, outcome: Outcome) -> Iterator[Violation]:
    """Check that the gate sends a request once."""
    if len(run.entries_of(outcome.attempt)) > 1:
        yield Violation(Rule.EXTRA_ARRIVAL, outcome.attempt)


def _check_attempts(
    run: Run, outcome: Outcome, max_attempts: int
) -> Iterator[Violation]:
    """Check that an attempt of a caller reached no more backend servers than it may."""
    entries = run.entries_of(outcome.attempt)
    # A request whose kept connection was dead is sent to the same one again.
    servers = {e.arrival.instance for e in entries}
    if len(servers) > max_attempts:
        detail = f"{outcome.attempt} at {sorted(servers)}"
        yield Violation(Rule.TOO_MANY_SERVERS, detail)


def _check_runs(run: Run) -> Iterator[Violation]:
    once = {o.request_id for o in run.outcomes if not o.call.idempotent}
    for request_id in sorted(once):
        entries = [e for e in run.entries if e.arrival.request_id == request_id]
        runs = [entry for entry in entries if entry.ran]
        if len(runs) > 1:
            yield Violation(Rule.RAN_TWICE, request_id)


def _check_connections(run: Run) -> Iterator[Violation]:
    entries = sorted(run.entries, key=lambda e: e.arrival.connection)
    for entry, later in pairwise(entries):
        if entry.arrival.connection != later.arrival.connection:
            continue
        if _ended_connection(run, entry):
            detail = f"arrival {later.arrival.number} after {entry.arrival.number}"
            yield Violation(Rule.USED_AGAIN, detail)


def _ended_connection(run: Run, entry: LedgerEntry) -> bool:
    outcome = run.outcome_of(entry)
    if run.behaviour_of(entry).ending is Ending.ANNOUNCED_CLOSE:
        return True
    failure = outcome.failure if outcome else None
    return failure is not None and failure.reason not in _OWN_REFUSALS


def _check_liveness(run: Run, outcome: Outcome) -> Iterator[Violation]:
    entries = run.entries_of(outcome.attempt)
    is_short = outcome.call.time_left_ms < LONG_TIME_LEFT_MS
    if len(entries) != 1 or is_short or _restarts(run):
        return
    entry = entries[0]
    connection = entry.arrival.connection
    shared = [e for e in run.entries if e.arrival.connection == connection]
    before = shared[: entry.arrival.on_connection]
    faultless = len(before) == entry.arrival.on_connection
    faultless &= all(run.behaviour_of(e).is_faultless for e in before)
    if faultless and outcome.failure is not None:
        yield Violation(Rule.LOST_ANSWER, f"{outcome.attempt}: {outcome.failure}")


def _restarts(run: Run) -> bool:
    return any(behaviour.restart is not None for behaviour in run.behaviours.values())
