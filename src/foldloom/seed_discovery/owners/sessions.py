# SPDX-License-Identifier: MIT
"""The rights that boxes grant an owner, and the ends that each is still to be notified of.

Owns one session for each life of a box that acknowledges heartbeats.

A box acknowledges each heartbeat of its owner with the heartbeat's sending time. The owner may
run that box's tasks for the session time from then on, by its own clock. The box, counting
from when it sent the acknowledgement, knows a later time at which that right has ended for certain.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.messages import RunEnd, RunsEnded, SessionBegan
from foldloom.seed_discovery.scheduling.runs import HolderId

# Milliseconds until a message without a reply is sent again: far above a round trip between zones,
# so that a busy box is not sent twice.
_ACK_TIMEOUT_MS = 150
# Ends in one message, to bound a message after a cut to some tens of kilobytes.
_ENDS_PER_MESSAGE_MAX = 200


class Session:
    """One box's grant.

    Args:
        holder: The box's life.
        zone: The owner's zone.
        token: The owner's token.
        network: The peers.
        is_renewed: Whether a right of the same life has lapsed before.
    """

    def __init__(
        self, holder: HolderId, zone: str, token: int, network: PeerNetwork, is_renewed: bool
    ) -> None:
        self.holder = holder
        self.expires_ms = 0.0
        self._zone = zone
        self._token = token
        self._network = network
        self._must_announce = is_renewed
        self._ends: list[RunEnd] = []
        self._has_ends = asyncio.Event()

    def queue_end(self, end: RunEnd) -> None:
        """Queue an end for the box."""
        self._ends.append(end)
        self._has_ends.set()

    async def run(self) -> None:
        """Send ends, each until it is acknowledged, until cancelled."""
        while self._must_announce:
            try:
                message = SessionBegan(self._zone, self._token)
                await self._network.request(self.holder.box, message, _ACK_TIMEOUT_MS)
                self._must_announce = False
            except PeerUnreachableError:
                # Sent again at once: nothing else may be sent before it is acknowledged.
                continue
        while True:
            await self._has_ends.wait()
            ends = self._ends[:_ENDS_PER_MESSAGE_MAX]
            try:
                notice = RunsEnded(self._zone, ends, self._token)
                await self._network.request(self.holder.box, notice, _ACK_TIMEOUT_MS)
            except PeerUnreachableError:
                # Sent again until the session ends, with what has come meanwhile.
                continue
            del self._ends[: len(ends)]
            if not self._ends:
                self._has_ends.clear()


class LapsedSession(NamedTuple):
    """A right that is over since ``ended_ms``, own clock."""

    holder: HolderId
    ended_ms: float


class Sessions:
    """All sessions of one owner.

    Args:
        zone: The owner's zone.
        token: The owner's token.
        network: The peers.
        session_ms: How long an acknowledgement grants the right.
    """

    def __init__(self, zone: str, token: int, network: PeerNetwork, session_ms: float) -> None:
        self._zone = zone
        self._token = token
        self._network = network
        self._session_ms = session_ms
        self._sessions: dict[HolderId, Session] = {}
        self._tasks: dict[HolderId, asyncio.Task[None]] = {}
        self._lapsed: set[HolderId] = set()

    def has_right(self, holder: HolderId, now_ms: float) -> bool:
        """Return whether runs of *holder* may be started and kept now."""
        session = self._sessions.get(holder)
        return session is not None and now_ms < session.expires_ms

    def has_other(self, box: str, now_ms: float) -> bool:
        """Return whether any box but *box* grants its right now."""
        return any(
            holder.box != box and now_ms < session.expires_ms
            for holder, session in self._sessions.items()
        )

    def is_stale_ack(self, holder: HolderId, heartbeat_sent_ms: float) -> bool:
        """Return whether an acknowledgement is of a life of its box that is over.

        It was held up on its way: another life has acknowledged a newer heartbeat by now. Taken for
        the present life's, it would end that one's session without a word to it.
        """
        expires_ms = heartbeat_sent_ms + self._session_ms
        return any(
            one.box == holder.box and one != holder and session.expires_ms > expires_ms
            for one, session in self._sessions.items()
        )

    def grant(self, holder: HolderId, heartbeat_sent_ms: float) -> None:
        """Renew the grant of a box that acknowledged the heartbeat sent at *heartbeat_sent_ms*."""
        session = self._sessions.get(holder)
        if session is None:
            is_renewed = holder in self._lapsed
            session = Session(holder, self._zone, self._token, self._network, is_renewed)
            self._sessions[holder] = session
            self._tasks[holder] = asyncio.create_task(session.run())
        session.expires_ms = max(session.expires_ms, heartbeat_sent_ms + self._session_ms)

    def queue_end(self, holder: HolderId, end: RunEnd) -> None:
        """Queue an end for *holder*; one without a session is gone."""
        session = self._sessions.get(holder)
        if session is not None:
            session.queue_end(end)

    def end_lapsed(self, now_ms: float) -> list[LapsedSession]:
        """End the sessions whose right is over and return whose, and when it was over."""
        lapsed = [
            LapsedSession(holder, session.expires_ms)
            for holder, session in self._sessions.items()
            if now_ms >= session.expires_ms
        ]
        self._end(right.holder for right in lapsed)
        self._lapsed.update(right.holder for right in lapsed)
        return lapsed

    def end_other_incarnations(self, holder: HolderId) -> list[HolderId]:
        """End the sessions of earlier lives of a box and return them."""
        self._lapsed = {one for one in self._lapsed if one.box != holder.box or one == holder}
        earlier = [one for one in self._sessions if one.box == holder.box and one != holder]
        self._end(earlier)
        return earlier

    def close(self) -> None:
        """End all."""
        self._end(list(self._sessions))

    def _end(self, holders: Iterable[HolderId]) -> None:
        for holder in list(holders):
            del self._sessions[holder]
            self._tasks.pop(holder).cancel()
