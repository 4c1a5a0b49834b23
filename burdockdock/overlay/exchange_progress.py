"""Progress of one sync exchange with another node."""

from burdockdock.clock import Clock
from burdockdock.coordination.verdict import Failure
from burdockdock.logs import log_event
from burdockdock.protocol import FrameConnection


class ExchangeProgress:
    """Tracks one exchange for its idle timeout and for the logs.

    :param clock: measures durations; the exchange starts when this object is created.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_s = clock.monotonic()
        self._handshake_s = 0.0
        self.records = 0
        self.connection: FrameConnection | None = None

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return self.connection.received_bytes if self.connection else 0

    def note_handshake(self) -> None:
        """Record that the handshake with the peer is complete."""
        self._handshake_s = self._elapsed_s()

    def log_end(self, peer: str, cause: str, failure: Failure | None) -> None:
        """Log the outcome of the exchange.

        :param peer: address of the peer.
        :param cause: what triggered the exchange.
        :param failure: why the exchange failed, None if it completed.
        """
        log_event(
            "sync.ended",
            peer=peer,
            cause=cause,
            reason=failure.reason if failure else "done",
            detail=failure.detail if failure else "",
            records=self.records,
            received_bytes=self.received_bytes,
            handshake_s=self._handshake_s,
            seconds_s=self._elapsed_s(),
        )

    def _elapsed_s(self) -> float:
        return self._clock.monotonic() - self._started_s
