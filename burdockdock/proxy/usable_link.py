"""Selection of a responsive link for an attempt of a call."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.call import Call
from burdockdock.proxy.peer_link import PeerLink, PeerLinks
from burdockdock.proxy.reply_times import ReplyTimes

# The share of a call's remaining time in which its link must open. The rest is left
# for an attempt at another node.
_OPENING_TIME_SHARE = 0.5
# After calls without any message in return for this time, a link is probed before the
# next call is sent.
_SILENCE_BEFORE_PROBE_S = 0.3
_PROBE_TIMEOUT_S = 0.1
# One round trip to connect and one for the handshake.
_ROUND_TRIPS_TO_OPEN = 2


async def usable_link(
    member: Member,
    call: Call,
    *,
    links: PeerLinks,
    clock: Clock,
    reply_times: ReplyTimes,
) -> PeerLink | Failure:
    """Return a responsive link to a member's node, opening it if needed.

    :param reply_times: records the round-trip time measured while opening a link.
    :returns: a failure if the link can't be opened in time, belongs to another node or
        doesn't answer a probe.
    """
    link = links.get_if_open(member.host, member.port)
    if link is None:
        opened = await _open_in_time(
            member, call, links=links, clock=clock, reply_times=reply_times
        )
        if isinstance(opened, Failure):
            return opened
        link = opened
    if link.peer.node_id != member.node_id:
        # The peer may have left without closing the connection, and the member may
        # have taken over its address.
        peer_id = link.peer.node_id
        links.retire(peer_id, member.host, member.port, reason="other_node")
        return Failure(Verdict.NOT_RUN, "other_node", peer_id)
    if await _is_silent(link, clock):
        return Failure(Verdict.NOT_RUN, "peer_silent", member.node_id)
    return link


async def _is_silent(link: PeerLink, clock: Clock) -> bool:
    """Return whether nothing arrives on a link after calls and a probe were sent."""
    now_s = clock.monotonic()
    if (
        link.waiting_since_s is None
        or now_s - link.waiting_since_s < _SILENCE_BEFORE_PROBE_S
    ):
        return False
    probe = link.probe(now_s)
    try:
        async with asyncio.timeout(probe.sent_at_s + _PROBE_TIMEOUT_S - now_s):
            await asyncio.shield(probe.answered)
    except TimeoutError:
        return True
    return False


async def _open_in_time(
    member: Member,
    call: Call,
    *,
    links: PeerLinks,
    clock: Clock,
    reply_times: ReplyTimes,
) -> PeerLink | Failure:
    """Open a link, leaving time to use it or to try another node."""
    started_s = clock.monotonic()
    time_left_s = call.deadline_s - started_s
    try:
        async with asyncio.timeout(time_left_s * _OPENING_TIME_SHARE):
            link = await links.get(member.host, member.port)
    except TimeoutError:
        return Failure(Verdict.NOT_RUN, "peer_not_reached_in_time", member.node_id)
    if not isinstance(link, Failure):
        duration_s = clock.monotonic() - started_s
        reply_times.record(member.node_id, duration_s / _ROUND_TRIPS_TO_OPEN)
    return link
