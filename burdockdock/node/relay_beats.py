"""Beats by which relays show that they run, and standbys that miss them."""

import asyncio
from collections.abc import Callable

from burdockdock.clock import Clock
from burdockdock.coordination.membership import MembershipTable
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.standby import Standby
from burdockdock.logs import log_event
from burdockdock.node.relay_roles import RelayRoles, select_roles
from burdockdock.overlay.datagrams import Address, Datagrams
from burdockdock.protocol import Message

_INTERVAL_S = 0.25
# Between two checks of a standby whose turn is close.
_MIN_WAIT_S = 0.02
# A check that is later than this was held up, as were the beats that should have come.
_MAX_LAG_S = 0.5


class RelayBeats:
    """Sends beats while this node watches the platform, and listens to those of others.

    The failure detector takes seconds to replace a relay that was killed. A standby
    that hears no relay watches in its place until then.

    :param has_contact: returns whether the platform has answered since this node
        watches it. A standby that can't reach it must not keep others from trying.
    :param on_change: called when this node starts or stops to stand in for the relays.
    :param count: increments a counter, given its name.
    """

    def __init__(
        self,
        *,
        membership: MembershipTable,
        ranking: MemberRanking,
        datagrams: Datagrams,
        clock: Clock,
        has_contact: Callable[[], bool],
        on_change: Callable[[], None],
        count: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._ranking = ranking
        self._datagrams = datagrams
        self._clock = clock
        self._has_contact = has_contact
        self._on_change = on_change
        self._count = count
        self._standby = Standby(clock=clock)
        self._roles = RelayRoles(frozenset(), [])
        self._roles_generation = -1
        self._checked_s = clock.monotonic()
        datagrams.on("relayBeat", self._on_beat)

    @property
    def stands_in(self) -> bool:
        """Whether this node watches the platform in place of relays."""
        return self._standby.is_active

    async def run(self) -> None:
        """Send beats or wait for them; runs until cancelled."""
        self._standby.restart()
        self._checked_s = self._clock.monotonic()
        while True:
            await asyncio.sleep(self.check())

    def check(self) -> float:
        """Start or stop to stand in, and send a beat if this node watches.

        :returns: seconds until the next check.
        """
        self._restart_after_stall()
        self._refresh_roles()
        position = self._position()
        silence_s = self._standby.silence_s
        if self._standby.update(self._roles.relays, position):
            self._report(silence_s)
        if self._is_watching():
            self._send_beats()
            return _INTERVAL_S
        if position is None:
            return _INTERVAL_S
        return min(_INTERVAL_S, max(_MIN_WAIT_S, self._standby.wait_s(position)))

    def _restart_after_stall(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._checked_s > _INTERVAL_S + _MAX_LAG_S:
            self._standby.restart()
        self._checked_s = now_s

    def _refresh_roles(self) -> None:
        if self._roles_generation != self._ranking.generation:
            self._roles_generation = self._ranking.generation
            self._roles = select_roles(self._ranking)

    def _position(self) -> int | None:
        own_id = self._membership.own.node_id
        if own_id not in self._roles.standbys:
            return None
        return self._roles.standbys.index(own_id)

    def _is_watching(self) -> bool:
        own_id = self._membership.own.node_id
        if own_id in self._roles.relays:
            return True
        return self._standby.is_active and self._has_contact()

    def _send_beats(self) -> None:
        own_id = self._membership.own.node_id
        for node_id in self._roles.standbys:
            member = self._membership.get(node_id)
            if member is not None and node_id != own_id:
                address = (member.host, member.port)
                self._datagrams.send(address, "relayBeat", nodeId=own_id)

    def _on_beat(self, beat: Message, address: Address) -> None:
        if self._membership.get(beat.nodeId) is not None:
            self._standby.note_heard(beat.nodeId)

    def _report(self, silence_s: float) -> None:
        if self._standby.is_active:
            self._count("relay_stand_ins")
            log_event("relay.stands_in", silence_s=silence_s)
        else:
            log_event("relay.stood_in")
        self._on_change()
