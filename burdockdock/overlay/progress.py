"""How far an exchange with another node came."""

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.protocol import FrameConnection


class Progress:
    """The steps of one exchange, for whoever waits for it and for the logs.

    :param clock: tells when it starts, which is now.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_s = clock.monotonic()
        self._greeted_s = 0.0
        self.records = 0
        self.connection: FrameConnection | None = None

    @property
    def received_bytes(self) -> int:
        """Bytes that have arrived."""
        return self.connection.received_bytes if self.connection else 0

    def note_greeting(self) -> None:
        """Note that the peer has greeted back."""
        self._greeted_s = self._age_s()

    def log_end(self, peer: str, cause: str, failure: Failure | None) -> None:
        """Write down how the exchange ended.

        :param peer: its address.
        :param cause: what let this node ask.
        :param failure: None if it was completed.
        """
        log_event(
            "sync.ended",
            peer=peer,
            cause=cause,
            reason=failure.reason if failure else "done",
            detail=failure.detail if failure else "",
            records=self.records,
            received_bytes=self.received_bytes,
            greeted_s=self._greeted_s,
            seconds_s=self._age_s(),
        )

    def _age_s(self) -> float:
        return self._clock.monotonic() - self._started_s
