"""The link that an attempt of a call is sent on, once it can carry one."""

import asyncio

from burdockdock.clock import Clock
from burdockdock.coordination.membership import Member
from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.proxy.call import Call
from burdockdock.proxy.peer_link import PeerLink, PeerLinks
from burdockdock.proxy.reply_times import ReplyTimes

# Of the time left, what a link may take to open; the rest is for another node.
_OPENING_SHARE = 0.5
# With calls sent on a link and nothing heard for so long, it is asked for a sign of
# life before another call is sent, and has so long for it.
_SILENCE_S = 0.3
_PROBE_TIMEOUT_S = 0.1
# An opened link took two round trips: to connect and for the handshake.
_OPENING_TRIPS = 2


async def usable_link(
    member: Member,
    call: Call,
    *,
    links: PeerLinks,
    clock: Clock,
    reply_times: ReplyTimes,
) -> PeerLink | Failure:
    """Return the link to a member's node, opened if need be and not silent.

    :param reply_times: told how long the opening took.
    """
    link = links.get_if_open(member.host, member.port)
    if link is None:
        found = await _open_in_time(
            member, call, links=links, clock=clock, reply_times=reply_times
        )
        if isinstance(found, Failure):
            return found
        link = found
    if link.peer.node_id != member.node_id:
        # It may be gone without a word, and its address used by this member.
        peer_id = link.peer.node_id
        links.retire(peer_id, member.host, member.port, reason="other_node")
        return Failure(Verdict.NOT_RUN, "other_node", peer_id)
    if await _is_silent(link, clock):
        return Failure(Verdict.NOT_RUN, "peer_silent", member.node_id)
    return link


async def _is_silent(link: PeerLink, clock: Clock) -> bool:
    """Tell whether calls were sent on a link, nothing came, nor does on asking."""
    now_s = clock.monotonic()
    if link.waiting_since_s is None or now_s - link.waiting_since_s < _SILENCE_S:
        return False
    probe = link.probe(now_s)
    try:
        async with asyncio.timeout(probe.sent_at_s + _PROBE_TIMEOUT_S - now_s):
            await asyncio.shield(probe.heard)
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
    """Open a link while there is time to use it, or to ask another node."""
    started_s = clock.monotonic()
    left_s = call.deadline_s - started_s
    try:
        async with asyncio.timeout(left_s * _OPENING_SHARE):
            link = await links.get(member.host, member.port)
    except TimeoutError:
        return Failure(Verdict.NOT_RUN, "peer_not_reached_in_time", member.node_id)
    if not isinstance(link, Failure):
        took_s = clock.monotonic() - started_s
        reply_times.record(member.node_id, took_s / _OPENING_TRIPS)
    return link
