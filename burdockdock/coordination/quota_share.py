"""The share of each workspace's rate that one part of a partitioned fleet may grant."""

from collections.abc import Iterable, Sequence

from burdockdock.coordination.membership import Member, MemberState

# A member that died counts as one that may be cut off, and granting, for this time.
_KNOWN_FOR_S = 60.0
# The share rises only after this time: members that return may use what another
# grantor granted them.
_RISE_DELAY_S = 2.0
# A node in the smaller part of a fleet suspects others slowly, since only few probe
# them, and not at all while it doubts its own link. Its own probes tell it earlier.
_MOST_UNANSWERED = 0.5
_ASKED_WITHIN_S = 2.0


class FleetShare:
    """Part of the members that this node sees alive, out of those known recently.

    Parts of a partitioned fleet that each grant their share of a rate never grant more
    than the whole. A member that said that it leaves isn't cut off, and isn't counted.
    """

    def __init__(self) -> None:
        self._died_at_s: dict[str, float] = {}
        self._asked_at_s: dict[str, float] = {}
        self._share = 1.0
        self._may_rise_at_s = 0.0

    def note_member(self, member: Member, now_s: float) -> None:
        """Take in a change of the membership."""
        if member.state is not MemberState.DEAD:
            self._died_at_s.pop(member.node_id, None)
        elif not member.leaving:
            self._died_at_s.setdefault(member.node_id, now_s)

    def note_asked(self, node_id: str, now_s: float) -> None:
        """Note that a node asked for tokens, and is connected."""
        self._asked_at_s[node_id] = now_s

    def known_count(self, live_count: int, now_s: float) -> int:
        """Return the number of members that may use the quotas, also if cut off.

        :param live_count: number of members that aren't dead, with this node.
        """
        return live_count + self._recently_died(now_s)

    def share(
        self, members: Iterable[Member], *, answers: Sequence[bool], now_s: float
    ) -> float:
        """Return the share, from above 0 to 1.

        :param members: the members that aren't dead, with this node.
        :param answers: whether this node's latest probes of members were answered.
        """
        self._forget_askers(now_s)
        alive = known = 0
        for member in members:
            known += 1
            alive += member.state is MemberState.ALIVE
        answered = sum(answers) / len(answers) if answers else 1.0
        if known > 1 and answered < _MOST_UNANSWERED:
            alive = min(alive, max(1 + len(self._asked_at_s), int(known * answered)))
        known = self.known_count(known, now_s)
        return self._delay_rise(max(alive, 1) / max(known, 1), now_s)

    def _delay_rise(self, share: float, now_s: float) -> float:
        if share <= self._share:
            self._share = share
            self._may_rise_at_s = now_s + _RISE_DELAY_S
        elif now_s >= self._may_rise_at_s:
            self._share = share
        return self._share

    def _forget_askers(self, now_s: float) -> None:
        oldest_s = now_s - _ASKED_WITHIN_S
        self._asked_at_s = {
            key: at_s for key, at_s in self._asked_at_s.items() if at_s > oldest_s
        }

    def _recently_died(self, now_s: float) -> int:
        oldest_s = now_s - _KNOWN_FOR_S
        for node_id, died_at_s in list(self._died_at_s.items()):
            if died_at_s < oldest_s:
                del self._died_at_s[node_id]
        return len(self._died_at_s)
