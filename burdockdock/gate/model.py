"""What the gate of a backend server takes in and gives out."""

from typing import NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead

DEFAULT_SLOTS = 8


class BackendServer(NamedTuple):
    """What a backend server announced of itself.

    :param instance_id: names one start of it, empty where it has no such name.
    """

    service: str
    version: str
    host: str
    port: int
    slots: int = DEFAULT_SLOTS
    health_path: str = "/health"
    instance_id: str = ""


class CallResult(NamedTuple):
    """What one call showed of the backend server's version.

    :param failed: the version's own fault, not the caller's nor a shed call.
    :param shed: the backend server refused for load.
    """

    route: str
    workspace: str
    traffic_class: str
    duration_s: float
    failed: bool
    shed: bool


class CallStream(Protocol):
    """The other end of a call: the node of the caller."""

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next piece of the request's body and whether it ends."""
        ...

    def send_head(self, head: AnswerHead) -> None:
        """Begin the answer."""
        ...

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a piece of the answer's body."""
        ...

    def fail(self, failure: Failure) -> None:
        """End the call without a whole answer."""
        ...
