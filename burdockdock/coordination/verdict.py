"""Failure results with a verdict on whether the request ran."""

from enum import IntEnum
from typing import NamedTuple

# Reason of a gate whose configuration is newer than the one by which the caller's node
# authenticated a request, and has its key no more.
KEY_REVOKED = "key_revoked"


class Verdict(IntEnum):
    """Whether the backend server ran a request, as far as is known."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


class Failure(NamedTuple):
    """Falsy value returned in place of a result.

    :param verdict: whether the request may have run.
    :param reason: machine-readable reason, such as ``queue_full``.
    :param detail: human-readable explanation, may be empty.
    :param retry_after_s: seconds after which a repetition is likely to succeed, 0 if
        unknown.
    """

    verdict: Verdict
    reason: str
    detail: str = ""
    retry_after_s: float = 0.0

    def __bool__(self) -> bool:
        """Return False, so that ``if not result`` detects a failure."""
        return False


def may_retry(failure: Failure, *, idempotent: bool) -> bool:
    """Return whether a failed request can be retried safely.

    A request that is not idempotent must not run twice.
    """
    return idempotent or failure.verdict is Verdict.NOT_RUN
