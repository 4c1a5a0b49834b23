"""What is known about whether a request ran."""

from enum import IntEnum
from typing import NamedTuple


class Verdict(IntEnum):
    """Whether the backend server may have run a request."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


class Failure(NamedTuple):
    """Sentinel value returned in place of a result, with its reason.

    :param verdict: whether the request may have run.
    :param reason: a short word for programs, such as ``queue_full``.
    :param detail: one sentence for people.
    """

    verdict: Verdict
    reason: str
    detail: str = ""

    def __bool__(self) -> bool:
        """Return False, so that ``if not result`` reads naturally."""
        return False


def may_retry(failure: Failure, *, idempotent: bool) -> bool:
    """Tell whether sending a failed request again can't run it twice."""
    return idempotent or failure.verdict is Verdict.NOT_RUN
