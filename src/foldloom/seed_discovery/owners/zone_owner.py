# SPDX-License-Identifier: MIT
"""The owner of a zone's endpoints while this box holds the token: it alone calls them.

Owns one term: the state of runs, the sessions of boxes, the links to endpoints, and the tasks that
send heartbeats, offers and orders. Relies on the box's parts in an :class:`OwnerContext`. A message
or a report changes the state; the resulting actions are carried out by
:meth:`ZoneOwner._execute_actions`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from foldloom.clock import monotonic_ms
from foldloom.logs import ENDPOINT_LOG
from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import (
    HeartbeatAck,
    OwnerHeartbeat,
    OwnerRecord,
    ZoneLoad,
)
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.decision_log import log_cancel, log_delivery, log_end
from foldloom.seed_discovery.owners.endpoint_link import LeaseTerms
from foldloom.seed_discovery.owners.endpoint_links import EndpointLinks
from foldloom.seed_discovery.owners.heartbeats import HeartbeatSender
from foldloom.seed_discovery.owners.lease import (
    STOP_OVERDUE_MS,
    gone_after_ms,
    max_real_duration_ms,
)
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    Cancelled,
    StealReply,
    StealRuns,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
    WaitingGroups,
)
from foldloom.seed_discovery.owners.offers import OfferSender
from foldloom.seed_discovery.owners.order_sender import OrderSender
from foldloom.seed_discovery.owners.sessions import Sessions
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId
from foldloom.tasks import TaskSet

# Seconds between two ticks: a fifth of the 100 ms after which the shortest of the bounds that a
# tick watches (STOP_OVERDUE_MS) has passed.
_TICK_S = 0.02
# Milliseconds after which an order to stop is sent again: below the call's time-out of 250 ms,
# since a stopped run's lease is not renewed until the stop is confirmed.
_STOP_RETRANSMISSION_MS = 100.0
# Milliseconds of life after which a box knows every endpoint that the owner before it knew, by
# the users' heartbeats: each endpoint reports every 1,500 ms, so in this time at least once.
_CATALOG_COMPLETE_AFTER_MS = 3_000.0


class ZoneOwner:
    """One term of owning a zone's endpoints.

    Args:
        record: This owner: zone, token, box.
        context: The parts of the box that it relies on.
        on_fenced: Called when an endpoint has seen a higher token.
    """

    def __init__(
        self, record: OwnerRecord, context: OwnerContext, on_fenced: Callable[[str], None]
    ) -> None:
        timings = context.timings
        self._record = record
        self._context = context
        self._view = context.view
        self._network = context.network
        self._metrics = context.metrics
        self._on_fenced = on_fenced
        self._state = OwnerState(gone_after_ms(timings.endpoint_lease_ms), self._all_endpoints)
        self._sessions = Sessions(record.zone, record.token, context.network, timings.session_ms)
        lease_ms = float(timings.endpoint_lease_ms)
        terms = LeaseTerms(
            record.token,
            lease_ms,
            max_real_duration_ms(lease_ms),
            max_real_duration_ms(timings.endpoint_lease_max_ms),
        )
        self._links = EndpointLinks(
            record.zone, self._state, context.catalog, terms, context.calls, self
        )
        self._orders = OrderSender(
            record.token, self._state, self._sessions, self._links, context, self
        )
        self._offers = OfferSender(record, self._state, context)
        self._heartbeats = HeartbeatSender(
            record, context, lambda: self.load, lambda: self._offers.other_owners
        )
        self._tasks = TaskSet()
        self._is_closed = False

    @property
    def token(self) -> int:
        """The fencing token."""
        return self._record.token

    @property
    def record(self) -> OwnerRecord:
        """This owner: zone, token, box."""
        return self._record

    @property
    def state(self) -> OwnerState:
        """The runs and endpoints."""
        return self._state

    @property
    def load(self) -> ZoneLoad:
        """How loaded the endpoints in use are."""
        return self._state.load(monotonic_ms())

    @property
    def is_isolated(self) -> bool:
        """Whether other entry boxes are known and none of them grants its right any more."""
        own = self._view.own.box
        if self._view.entries == [own]:
            return False
        return not self._sessions.has_other(own, monotonic_ms())

    def start(self) -> None:
        """Poll every endpoint and begin to send heartbeats."""
        self._tasks.spawn(self._heartbeats.run())
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._offers.run())

    def close(self) -> None:
        """End all tasks; whoever owns the zone next adopts what runs."""
        self._is_closed = True
        self._sessions.close()
        self._orders.close()
        self._links.close()
        self._tasks.cancel()

    def submit(self, sender: str, message: SubmitRuns) -> SubmitReply:
        """Handle a delivery of runs by *sender*."""
        holder = HolderId(sender, self._network.known_incarnation(sender))
        now_ms = monotonic_ms()
        if message.token != self.token or self._is_closed:
            return SubmitReply(SubmitStatus.NOT_OWNER, "another token")
        if not self._sessions.has_right(holder, now_ms):
            return SubmitReply(SubmitStatus.NOT_OWNER, "no session")
        reply = self._state.submit(holder, message, now_ms)
        log_delivery(self._record, sender, message, reply, self.load)
        self._execute_actions()
        return reply

    def cancel(self, sender: str, message: CancelJob) -> Cancelled:
        """Drop what *sender* wants of a job; say whether any of it may have started.

        This term knows nothing of what an earlier one on this box has started, so it says "not
        started" only to a box that has delivered the job to it.
        """
        holder = HolderId(sender, self._network.known_incarnation(sender))
        is_asked = message.token in (0, self.token)
        known = self._state.cancel(holder, message.job_id, monotonic_ms(), message.delivery)
        has_started = known or not is_asked
        log_cancel(self._record, sender, message, has_started)
        self._execute_actions()
        return Cancelled(has_started)

    async def follow_endpoints(self, endpoints: Container[str]) -> None:
        """Adopt what the catalog says of *endpoints*; return once no start is on its way there.

        A draining endpoint is answered after that. While this was left to the next tick, one or two
        tasks reached it after its answer in 8 of 24 runs of 200 jobs, beside a load of 45 on 8
        cores.
        """
        if self._is_closed:
            return
        self._links.sync_with_catalog(monotonic_ms())
        await self._orders.wait_for_starts(endpoints)

    def handle_offer(self, message: WaitingGroups) -> None:
        """Handle what another zone offers; there may be room for it here."""
        if self._is_closed or message.owner.zone == self._record.zone:
            return
        self._state.note_offer(message.owner.zone, message.groups, monotonic_ms())
        self._execute_actions()

    def note_load(self, heartbeat: OwnerHeartbeat) -> None:
        """Note how loaded another zone is."""
        self._state.note_load(heartbeat.owner.zone, heartbeat.load, monotonic_ms())

    def answer_steal(self, message: StealRuns) -> StealReply:
        """Answer another zone's owner that steals waiting runs."""
        if self._is_closed:
            return StealReply(0)
        given = self._state.release_stolen(
            message.group, message.runs, message.zone, monotonic_ms()
        )
        self._execute_actions()
        return StealReply(given)

    def handle_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> None:
        """Renew the grant of a box that acknowledged a heartbeat."""
        if ack.token != self.token or self._is_closed:
            return
        holder = HolderId(sender, self._network.known_incarnation(sender))
        if self._sessions.is_stale_ack(holder, ack.heartbeat_sent_ms):
            return
        now_ms = monotonic_ms()
        for earlier in self._sessions.end_other_incarnations(holder):
            self._state.end_session(earlier, now_ms)
        self._sessions.grant(holder, ack.heartbeat_sent_ms)

    def may_renew(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the lease of *endpoint* may be renewed.

        A run that should have stopped long ago and is still listed must not live on by it.
        Rights are looked at here too: after a freeze this may come before any tick.
        """
        self._end_lapsed_sessions(now_ms)
        return not self._state.has_overdue_stop(endpoint, now_ms - STOP_OVERDUE_MS)

    def handle_report(self, report: EndpointReport, now_ms: float) -> None:
        """Handle an endpoint's report."""
        if self._is_closed:
            return
        self._metrics.count("workers.looks")
        self._state.report(report, now_ms)
        self._execute_actions()

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Note that an answer of *endpoint* is overdue: until it has answered it gets no work."""
        candidate = self._state.candidates.get(endpoint)
        if candidate is not None and candidate.is_trusted:
            ENDPOINT_LOG.event("endpoint.suspected", endpoint=endpoint, call=call)
            self._state.distrust(endpoint)

    def note_silent(self, endpoint: str) -> None:
        """Note that *endpoint* does not answer."""
        self._state.note_silent(endpoint)

    def note_crashed(self, endpoint: str) -> None:
        """Note that nothing listens any more where *endpoint* did."""
        if not self._is_closed:
            self._state.note_crashed(endpoint, monotonic_ms())
            self._execute_actions()

    def note_life_over(self, endpoint: str, born_ms: int) -> None:
        """Note that the life of *endpoint* born at *born_ms* is over for certain."""
        ENDPOINT_LOG.event("endpoint.life_over", endpoint=endpoint, born_ms=born_ms)
        self.note_crashed(endpoint)
        self._context.catalog.end_life(endpoint, born_ms, monotonic_ms())

    def note_next_life(self, endpoint: str, born_ms: int) -> None:
        """Note that *endpoint* answers as a life born at *born_ms*, later than the known one."""
        if not self._is_closed:
            self._links.begin_life(endpoint, born_ms)

    def note_fenced(self, endpoint: str) -> None:
        """Note that *endpoint* has seen a higher token."""
        self._on_fenced(endpoint)

    def _all_endpoints(self) -> list[EndpointRecord]:
        """Return the endpoints of all zones, none while some may not have been heard of yet."""
        if self._context.catalog_age_ms() <= _CATALOG_COMPLETE_AFTER_MS:
            return []
        return self._context.catalog.records

    async def _tick(self) -> None:
        while True:
            now_ms = monotonic_ms()
            if self._context.catalog_age_ms() > _CATALOG_COMPLETE_AFTER_MS:
                self._state.trust_catalog()
            self._links.sync_with_catalog(now_ms)
            self._end_lapsed_sessions(now_ms)
            # Somebody else may own the zone by now, and reach an endpoint that is silent here: it
            # would keep what this owner takes for lapsed (tests/models/owners_model.py).
            if not self.is_isolated:
                self._links.check_silent_endpoints(now_ms)
            self._state.tick(now_ms)
            for stop in self._state.stops_to_repeat(now_ms - _STOP_RETRANSMISSION_MS, now_ms):
                self._tasks.spawn(self._orders.stop(stop))
            self._execute_actions()
            await asyncio.sleep(_TICK_S)

    def _end_lapsed_sessions(self, now_ms: float) -> None:
        """Stop the runs of boxes whose right is over, counted from when it was over."""
        for right in self._sessions.end_lapsed(now_ms):
            ENDPOINT_LOG.event(
                "session.ended",
                sender=right.holder.box,
                over_for_ms=int(now_ms - right.ended_ms),
            )
            self._state.end_session(right.holder, right.ended_ms)

    def _execute_actions(self) -> None:
        """Carry out what the state has decided."""
        if self._is_closed:
            return
        self._state.place(monotonic_ms())
        for stop in self._state.actions.pop_stops():
            self._tasks.spawn(self._orders.stop(stop))
        for start in self._state.actions.pop_starts():
            self._orders.begin_start(start, self._execute_actions)
        for steal in self._state.actions.pop_steals():
            self._tasks.spawn(self._offers.steal(steal))
        for action in self._state.actions.pop_notifications():
            self._metrics.count(f"runs.{action.end.cause.label}")
            if action.end.ran_ms:
                self._metrics.timing("run_ms", action.end.ran_ms)
            log_end(self._record, action)
            self._sessions.queue_end(action.holder, action.end)
        self._offers.note_changed()
