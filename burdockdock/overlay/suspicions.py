"""Suspicions of members that did not answer a probe, until refuted or confirmed."""

from collections.abc import Callable
from typing import NamedTuple

from burdockdock.clock import Clock
from burdockdock.coordination.membership import (
    Member,
    MembershipTable,
    MemberState,
)
from burdockdock.logs import log_event
from burdockdock.overlay.gossip import GossipQueue


class _Suspicion(NamedTuple):
    """A suspicion of a member that did not answer some node's probe.

    :param incarnation: incarnation that is suspected.
    :param started_s: monotonic time in seconds at which the suspicion timeout started.
    :param probed: whether this node itself probes the suspect; False if it learned of
        the suspicion only by gossip.
    """

    incarnation: int
    started_s: float
    probed: bool = False


class Suspicions:
    """Keeps the suspicions, and declares members dead that did not refute in time.

    :param spread: broadcasts a member entry to all members at once.
    :param timeout_s: seconds that a suspect has to refute the suspicion.
    :param gossip_probe_delay_s: seconds after which this node probes a suspect that it
        knows only by gossip.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        gossip: GossipQueue,
        clock: Clock,
        spread: Callable[[Member], None],
        timeout_s: float,
        gossip_probe_delay_s: float,
    ) -> None:
        self._membership = membership
        self._gossip = gossip
        self._clock = clock
        self._spread = spread
        self._timeout_s = timeout_s
        self._gossip_probe_delay_s = gossip_probe_delay_s
        self._suspicions: dict[str, _Suspicion] = {}

    def probed_ids(self) -> list[str]:
        """Return the node ids of the suspects that this node itself probes."""
        return [key for key, s in self._suspicions.items() if s.probed]

    def note_change(self, member: Member) -> None:
        """Start or end a suspicion after a member's entry changed."""
        if member.state is MemberState.SUSPECT:
            suspicion = _Suspicion(member.incarnation, self._clock.monotonic())
            self._suspicions[member.node_id] = suspicion
        else:
            self._suspicions.pop(member.node_id, None)

    def suspect(self, target: Member) -> None:
        """Suspect a member that did not answer this node's probe."""
        suspect = self._membership.suspect(target.node_id)
        self._gossip_finding(suspect)
        suspicion = self._suspicions.get(target.node_id)
        if suspicion is not None and not suspicion.probed:
            self._start_probing(target.node_id, suspicion)

    def _start_probing(self, node_id: str, suspicion: _Suspicion) -> None:
        """Let this node probe a suspect itself, and restart the suspicion timeout."""
        now_s = self._clock.monotonic()
        self._suspicions[node_id] = suspicion._replace(started_s=now_s, probed=True)

    def expire(self) -> None:
        """Declare suspects dead that did not refute the suspicion in time.

        A suspicion learned by gossip alone never does that: after a delay, this node
        probes the suspect itself first.
        """
        now_s = self._clock.monotonic()
        for node_id, suspicion in list(self._suspicions.items()):
            age_s = now_s - suspicion.started_s
            if suspicion.probed and age_s >= self._timeout_s:
                self._declare_dead(node_id, suspicion)
            elif not suspicion.probed and age_s >= self._gossip_probe_delay_s:
                self._start_probing(node_id, suspicion)

    def _declare_dead(self, node_id: str, suspicion: _Suspicion) -> None:
        del self._suspicions[node_id]
        dead = self._membership.confirm_dead(node_id, incarnation=suspicion.incarnation)
        self._gossip_finding(dead)
        if dead is not None:
            self._spread(dead)

    def restart(self) -> None:
        """Restart all suspicion timeouts, because this node was late or isolated."""
        now_s = self._clock.monotonic()
        self._suspicions = {
            node_id: suspicion._replace(started_s=now_s)
            for node_id, suspicion in self._suspicions.items()
        }

    def _gossip_finding(self, member: Member | None) -> None:
        """Log and gossip a state change that this node detected itself.

        Changes from the broadcast trees or an exchange are already on their
        way to the other members.
        """
        if member is not None:
            log_event(
                "member.believed",
                member=member.node_id,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )
            self._gossip.add(member)
