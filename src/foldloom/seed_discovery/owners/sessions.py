# SPDX-License-Identifier: MIT
"""An owner's sessions with entry boxes, and the notices still to be sent to each box.

There is one session per incarnation of a box. A box echoes the sending time of each heartbeat in
its acknowledgement, and the owner may run the box's tasks for the session time from that moment, by
the owner's clock. The box measures the session from handling the heartbeat, so for the box it ends
later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.messages import (
    EndpointBinding,
    EndpointList,
    EndsNoted,
    RunEnd,
    RunsEnded,
    SessionBegan,
    StartOrdered,
    TaskCrashes,
    TaskReport,
)
from foldloom.seed_discovery.scheduling.runs import HolderId

# Retransmission timeout: well above a round trip between zones.
_ACK_TIMEOUT_MS = 150
# Retransmission timeout after _TIMEOUTS_MAX timeouts in a row. As long as a heartbeat is valid, so
# that a connection that keeps the session does not stay without notices.
_SLOW_ACK_TIMEOUT_MS = 400
_TIMEOUTS_MAX = 2
# Bounds the first message after a partition to some tens of kilobytes.
_NOTICES_PER_MESSAGE_MAX = 200


def _ignore() -> None:
    """Ignore an acknowledged announcement."""


class OwnerStart(NamedTuple):
    """A start order for a run that only the owner's own box has delivered."""

    start: StartOrdered


Notice = RunEnd | StartOrdered | OwnerStart | TaskReport
"""What an owner tells a box: start or end of a run, or a report on any task."""


class Session:
    """The session with one incarnation of a box.

    Args:
        holder: The box and its incarnation.
        zone: The owner's zone.
        token: The owner's token.
        network: Connections to the other boxes.
        is_renewed_session: Whether an earlier session with the same incarnation has expired.
        earlier_endpoints: The endpoints on which earlier owners may have started runs of the box.
        on_acknowledged: Called when the box has acknowledged announced endpoints.
    """

    def __init__(
        self,
        holder: HolderId,
        zone: str,
        token: int,
        network: PeerNetwork,
        is_renewed_session: bool,
        earlier_endpoints: frozenset[str] | None,
        on_acknowledged: Callable[[], None],
    ) -> None:
        self.holder = holder
        self.expires_ms = 0.0
        self.earlier_endpoints = earlier_endpoints
        self.acknowledged_revision = 0
        self._on_acknowledged = on_acknowledged
        self._unacknowledged_list: EndpointList | None = None
        self._zone = zone
        self._token = token
        self._network = network
        self._must_announce_session = is_renewed_session
        self._timeouts = 0
        self._notices: list[Notice] = []
        self._has_notices = asyncio.Event()

    def queue(self, notice: Notice) -> None:
        """Queue a notice for sending to the box.

        An answered start is sent together with the next other notice, at the latest the run's end.
        """
        self._notices.append(notice)
        if _is_urgent(notice):
            self._has_notices.set()

    def announce(self, endpoints: EndpointList) -> None:
        """Announce the endpoints on which the owner starts runs."""
        self._unacknowledged_list = endpoints
        self._has_notices.set()

    async def run(self) -> None:
        """Send queued notices with retransmission, after announcing a renewed session."""
        while self._must_announce_session:
            try:
                announcement = SessionBegan(self._zone, self._token)
                await self._request(announcement)
                self._must_announce_session = False
            except PeerUnreachableError:
                # Retransmit at once: no end may be sent before the acknowledgement.
                continue
        while True:
            await self._has_notices.wait()
            notices = self._notices[:_NOTICES_PER_MESSAGE_MAX]
            announced = self._unacknowledged_list
            message = RunsEnded(
                self._zone,
                [notice for notice in notices if isinstance(notice, RunEnd)],
                self._token,
                tuple(notice for notice in notices if isinstance(notice, TaskCrashes)),
                tuple(notice for notice in notices if isinstance(notice, EndpointBinding)),
                tuple(notice for notice in notices if isinstance(notice, StartOrdered)),
                tuple(notice.start for notice in notices if isinstance(notice, OwnerStart)),
                announced,
            )
            try:
                reply: EndsNoted = await self._request(message)
            except PeerUnreachableError:
                # Retransmit, together with notices queued in the meantime.
                continue
            del self._notices[: len(notices)]
            if announced is not None:
                self._note_acknowledged(announced, reply)
            if self._unacknowledged_list is None and not any(map(_is_urgent, self._notices)):
                self._has_notices.clear()

    async def _request(self, message: SessionBegan | RunsEnded) -> Any:
        """Send *message* to the box and return its acknowledgement."""
        is_slow = self._timeouts >= _TIMEOUTS_MAX
        timeout_ms = _SLOW_ACK_TIMEOUT_MS if is_slow else _ACK_TIMEOUT_MS
        try:
            reply = await self._network.request(self.holder.box, message, timeout_ms)
        except PeerUnreachableError:
            self._timeouts += 1
            raise
        # A connection that was slow gets one attempt with the short timeout.
        self._timeouts = _TIMEOUTS_MAX - 1 if is_slow else 0
        return reply

    def _note_acknowledged(self, announced: EndpointList, reply: EndsNoted) -> None:
        """Record that the box has acknowledged *announced*, unless it follows another owner."""
        if self._unacknowledged_list is announced:
            self._unacknowledged_list = None
        if reply.is_present_owner:
            self.acknowledged_revision = announced.revision
            self._on_acknowledged()


def _is_urgent(notice: Notice) -> bool:
    """Return whether *notice* is sent at once; an answered start waits for the next message."""
    start = notice.start if isinstance(notice, OwnerStart) else notice
    return not isinstance(start, StartOrdered) or not start.is_answered


class ExpiredSession(NamedTuple):
    """A session that expired at ``ended_ms`` by the owner's clock."""

    holder: HolderId
    ended_ms: float


class Sessions:
    """All sessions of one owner.

    Args:
        zone: The owner's zone.
        token: The owner's token.
        network: Connections to the other boxes.
        session_ms: Session time from the sending of an acknowledged heartbeat.
        on_acknowledged: Called when a box has acknowledged announced endpoints.
    """

    def __init__(
        self,
        zone: str,
        token: int,
        network: PeerNetwork,
        session_ms: float,
        on_acknowledged: Callable[[], None] = _ignore,
    ) -> None:
        self._zone = zone
        self._token = token
        self._network = network
        self._session_ms = session_ms
        self._on_acknowledged = on_acknowledged
        self._announced = EndpointList()
        # The revision with which each endpoint was added to the list.
        self._revisions: dict[str, int] = {}
        self._sessions: dict[HolderId, Session] = {}
        self._tasks: dict[HolderId, asyncio.Task[None]] = {}
        self._expired: set[HolderId] = set()

    def has_session(self, holder: HolderId, now_ms: float) -> bool:
        """Return whether the session with *holder* is valid."""
        session = self._sessions.get(holder)
        return session is not None and now_ms < session.expires_ms

    def has_session_with_other_box(self, box: str, now_ms: float) -> bool:
        """Return whether a session with any box other than *box* is valid."""
        return any(
            holder.box != box and now_ms < session.expires_ms
            for holder, session in self._sessions.items()
        )

    def confirmed_ms(self, own_box: str) -> float:
        """Return when all boxes with a session, except *own_box*, were last known to be alive.

        That is when the oldest of the heartbeats was sent that they have acknowledged last;
        infinity without a session.
        """
        expiries_ms = [
            session.expires_ms
            for holder, session in self._sessions.items()
            if holder.box != own_box
        ]
        return min(expiries_ms, default=float("inf")) - self._session_ms

    def is_stale_ack(self, holder: HolderId, heartbeat_sent_ms: float) -> bool:
        """Return whether another incarnation of the box has acknowledged a newer heartbeat.

        Such a delayed acknowledgement must not end the session of the current incarnation.
        """
        expires_ms = heartbeat_sent_ms + self._session_ms
        return any(
            known.box == holder.box and known != holder and session.expires_ms > expires_ms
            for known, session in self._sessions.items()
        )

    def grant(
        self,
        holder: HolderId,
        heartbeat_sent_ms: float,
        earlier_endpoints: frozenset[str] | None = None,
    ) -> bool:
        """Begin or renew the session for the heartbeat sent at *heartbeat_sent_ms*.

        Return whether it begins, so that the box has received none of this term's reports.

        Args:
            holder: The box incarnation that has acknowledged the heartbeat.
            heartbeat_sent_ms: When it was sent; own monotonic clock.
            earlier_endpoints: The endpoints on which earlier owners may have started runs of the
                box; ``None`` if they are not known.
        """
        session = self._sessions.get(holder)
        is_new = session is None
        if session is None:
            is_renewed_session = holder in self._expired
            session = Session(
                holder,
                self._zone,
                self._token,
                self._network,
                is_renewed_session,
                earlier_endpoints,
                self._on_acknowledged,
            )
            self._sessions[holder] = session
            if self._announced.endpoints:
                session.announce(self._announced)
            self._tasks[holder] = asyncio.create_task(session.run())
        session.expires_ms = max(session.expires_ms, heartbeat_sent_ms + self._session_ms)
        return is_new

    def earlier_endpoints(self, holder: HolderId) -> frozenset[str] | None:
        """Return the endpoints on which earlier owners may have started runs of *holder*.

        ``None`` if they are not known.
        """
        session = self._sessions.get(holder)
        return None if session is None else session.earlier_endpoints

    def announce_endpoints(self, endpoints: Iterable[str]) -> None:
        """Announce to all boxes the endpoints on which the owner starts runs."""
        names = tuple(endpoints)
        if names == self._announced.endpoints:
            return
        self._announced = EndpointList(self._announced.revision + 1, names)
        self._revisions = {
            name: self._revisions.get(name, self._announced.revision) for name in names
        }
        for session in self._sessions.values():
            session.announce(self._announced)

    def has_acknowledged(self, holder: HolderId, endpoint: str) -> bool:
        """Return whether *holder* has acknowledged the announcement of *endpoint*."""
        session = self._sessions.get(holder)
        revision = self._revisions.get(endpoint)
        if session is None or revision is None:
            return False
        return session.acknowledged_revision >= revision

    def holder_of(self, box: str, now_ms: float) -> HolderId | None:
        """Return the incarnation of *box* whose session is valid, if any."""
        for holder in self._sessions:
            if holder.box == box and self.has_session(holder, now_ms):
                return holder
        return None

    def queue_start(self, holder: HolderId, start: StartOrdered) -> None:
        """Queue a start order of one of the holder's runs; dropped if there is no session."""
        self._queue_for(holder, start)

    def queue_owner_start(self, holder: HolderId, start: StartOrdered) -> None:
        """Queue a start order of one of the owner's box; dropped if there is no session."""
        self._queue_for(holder, OwnerStart(start))

    def queue_report(self, holder: HolderId, report: TaskReport) -> None:
        """Queue a report for *holder*; dropped if there is no session."""
        self._queue_for(holder, report)

    def queue_end(self, holder: HolderId, end: RunEnd) -> None:
        """Queue a run's end for *holder*; dropped if there is no session."""
        self._queue_for(holder, end)

    def queue_for_all(self, notice: TaskReport) -> None:
        """Queue *notice* for every box with a session."""
        for session in self._sessions.values():
            session.queue(notice)

    def end_lapsed(self, now_ms: float) -> list[ExpiredSession]:
        """End and return the sessions that have expired."""
        expired = [
            ExpiredSession(holder, session.expires_ms)
            for holder, session in self._sessions.items()
            if now_ms >= session.expires_ms
        ]
        self._end(session.holder for session in expired)
        self._expired.update(session.holder for session in expired)
        return expired

    def end_other_incarnations(self, holder: HolderId) -> list[HolderId]:
        """End the sessions with other incarnations of the box and return their holders."""
        self._expired = {
            known for known in self._expired if known.box != holder.box or known == holder
        }
        earlier = [known for known in self._sessions if known.box == holder.box and known != holder]
        self._end(earlier)
        return earlier

    def close(self) -> None:
        """End all sessions."""
        self._end(list(self._sessions))

    def _queue_for(self, holder: HolderId, notice: Notice) -> None:
        session = self._sessions.get(holder)
        if session is not None:
            session.queue(notice)

    def _end(self, holders: Iterable[HolderId]) -> None:
        for holder in list(holders):
            del self._sessions[holder]
            self._tasks.pop(holder).cancel()
