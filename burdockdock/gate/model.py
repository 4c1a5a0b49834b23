"""Data types and interfaces between a gate and its users."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead

DEFAULT_SLOTS = 8
# Reason of a failure: a connection that had carried other requests ended at once and
# without an answer, as one does that the backend server had forgotten. The same gate
# sends the request on a connection of its own if it arrives there again.
KEPT_CONNECTION_ENDED = "kept_connection_ended"

# Reason of a refusal: the backend server is cold and has got what it takes for now.
BACKEND_COLD = "backend_cold"
# Reason of a refusal: the availability zone is evacuated.
ZONE_EVACUATED = "zone_evacuated"


class BackendServer(NamedTuple):
    """A backend server as it announced itself.

    :param slots: number of calls that it can run at the same time.
    :param health_path: path of its health check.
    :param instance_id: unique for each start of the server; empty if it has none.
    """

    service: str
    version: str
    host: str
    port: int
    slots: int = DEFAULT_SLOTS
    health_path: str = "/health"
    instance_id: str = ""


class CallResult(NamedTuple):
    """Result of one call to the backend server, as evidence about its version.

    :param duration_s: seconds from sending the request to the end of the call.
    :param failed: whether the call failed by a fault of the backend server. Errors of
        the caller and shed calls don't count.
    :param shed: whether the backend server refused the call because of overload.
    :param answered: whether there was any answer.
    """

    route: str
    workspace: str
    traffic_class: str
    duration_s: float
    failed: bool
    shed: bool
    answered: bool = True


class CallStream(Protocol):
    """Stream to the caller's node, which carries one call."""

    async def read_body(self) -> tuple[bytes, bool]:
        """Return the next chunk of the request's body and whether it is the last."""
        ...

    def send_head(self, head: AnswerHead) -> None:
        """Send the head of the answer."""
        ...

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a part of the answer's body; ``end`` marks the last."""
        ...

    def fail(self, failure: Failure) -> None:
        """Report that the call failed before its answer was complete."""
        ...


class BufferAccount(Protocol):
    """Accounts for the memory that is held for one call.

    ``whole`` tells whether all of the call's request has arrived.
    """

    whole: bool

    def hold(self, held_bytes: int) -> None:
        """Set the memory that is held; this may end the call."""
        ...

    def move(self, size_bytes: int) -> None:
        """Note that bytes arrived or were passed on."""
        ...

    def close(self) -> None:
        """Release everything."""
        ...


class OpenAccount(Protocol):
    """Opens accounts of calls under the bound of the process."""

    def __call__(
        self, shed: Callable[[], None], *, held_bytes: int = 0
    ) -> BufferAccount:
        """Open an account; ``shed`` ends the call to free its memory."""
        ...
