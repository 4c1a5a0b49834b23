"""What a faulty backend server does with one arrival."""

from enum import Enum
from typing import NamedTuple

WHOLE = -1


class Framing(Enum):
    """How an answer tells where its body ends, or fails to."""

    LENGTH = "length"
    CHUNKED = "chunked"
    TRAILERS = "trailers"
    NO_LENGTH = "no_length"
    TWO_LENGTHS = "two_lengths"
    BAD_CHUNK = "bad_chunk"
    LINE_FEEDS = "line_feeds"
    LONG_HEAD = "long_head"


class FieldPlace(Enum):
    """Where a malformed field line stands in an answer."""

    HEAD_START = "head_start"
    HEAD_END = "head_end"
    INTERIM = "interim"
    TRAILER = "trailer"


class Ending(Enum):
    """What happens to the connection after an answer."""

    KEEP = "keep"
    ANNOUNCED_CLOSE = "announced_close"
    CLOSE = "close"
    RESET = "reset"


class CopyTime(Enum):
    """When a second copy of an answer is sent."""

    AT_ONCE = "at_once"
    LATE = "late"
    AT_NEXT_REQUEST = "at_next_request"
    AROUND_NEXT_REQUEST = "around_next_request"


class CopyId(Enum):
    """The id that a copy bears."""

    FIRST = "first"
    NONE = "none"
    NEXT = "next"


class ResetTime(Enum):
    """When a connection is reset in place of an answer."""

    AFTER_HEAD = "after_head"
    AFTER_REQUEST = "after_request"
    AFTER_RUN = "after_run"


class BodyReading(Enum):
    """How a request's body is read."""

    BEFORE_ANSWER = "before_answer"
    AFTER_ANSWER = "after_answer"
    NEVER = "never"


class Restart(Enum):
    """What takes the backend server's address after an arrival."""

    SAME_ID = "same_id"
    OTHER_SERVICE = "other_service"


class Copy(NamedTuple):
    """A second copy of an answer.

    :param status: of the copy, 0 for the status of the answer.
    :param length_bytes: bytes that are sent, ``WHOLE`` for all.
    """

    time: CopyTime
    id: CopyId = CopyId.FIRST
    status: int = 0
    length_bytes: int = WHOLE


class Refusal(NamedTuple):
    """An answer that says that the request wasn't run.

    :param proves: whether it bears the header that proves it.
    :param has_id: whether it bears the request's id.
    """

    status: int
    proves: bool = True
    has_id: bool = True


class MalformedField(NamedTuple):
    """A field line that no valid answer has.

    :param line: without its line end.
    :param place: ``INTERIM`` and ``TRAILER`` need an answer that has these.
    """

    line: bytes
    place: FieldPlace = FieldPlace.HEAD_START


class Junk(NamedTuple):
    """Bytes that are no answer, around an answer."""

    before: bytes = b""
    between: bytes = b""
    after: bytes = b""


class Behaviour(NamedTuple):
    """What a backend server does with one arrival; the default is no fault.

    :param status: of the answer of a run.
    :param body_bytes: length of the answer's body.
    :param work_s: seconds from the arrival to the end of the run.
    :param to_deadline: whether the run lasts until the deadline and answers 504.
    :param cut_at: bytes of the answer that are sent, ``WHOLE`` for all.
    :param interim: statuses of interim answers, sent before the answer.
    """

    status: int = 200
    body_bytes: int = 40
    work_s: float = 0.0
    to_deadline: bool = False
    framing: Framing = Framing.LENGTH
    interim: tuple[int, ...] = ()
    junk: Junk = Junk()
    cut_at: int = WHOLE
    copy: Copy | None = None
    refusal: Refusal | None = None
    reset: ResetTime | None = None
    body_reading: BodyReading = BodyReading.BEFORE_ANSWER
    ending: Ending = Ending.KEEP
    restart: Restart | None = None
    malformed_field: MalformedField | None = None

    @property
    def is_faultless(self) -> bool:
        """Whether the arrival gets one whole answer on a connection that is kept."""
        answer = Behaviour(
            status=self.status, body_bytes=self.body_bytes, work_s=self.work_s
        )
        kept = self._replace(framing=Framing.LENGTH)
        plain = self.framing in (Framing.LENGTH, Framing.CHUNKED)
        return plain and kept == answer
