# SPDX-License-Identifier: MIT
"""One term of owning a zone's endpoints; only the owner sends calls to them.

Holds the state of runs, the sessions of boxes, the links to endpoints, and the tasks that send
heartbeats, offers and orders. Messages and reports change the state;
:meth:`ZoneOwner._execute_actions` carries out the resulting actions. The box's components come in
an :class:`OwnerContext`.
"""

from __future__ import annotations

import asyncio
import time
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
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.decision_log import log_cancel, log_delivery, log_end
from foldloom.seed_discovery.owners.earlier_terms import earlier_terms
from foldloom.seed_discovery.owners.endpoint_link import LeaseDurations
from foldloom.seed_discovery.owners.endpoint_links import EndpointLinks
from foldloom.seed_discovery.owners.heartbeats import HeartbeatSender
from foldloom.seed_discovery.owners.lease import (
    STOP_OVERDUE_MS,
    max_real_duration_ms,
    run_expiry_ms,
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
from foldloom.seed_discovery.owners.term_validity import TermValidity
from foldloom.seed_discovery.scheduling.run_queue import QueueState
from foldloom.seed_discovery.scheduling.runs import HolderId
from foldloom.tasks import TaskSet

# Well below STOP_OVERDUE_MS, the shortest timeout that a tick checks.
_TICK_S = 0.02
# Time between two updates of the metrics on the queue.
_QUEUE_METRICS_INTERVAL_MS = 1_000.0
# Below the call's timeout, because an unconfirmed stop blocks the renewal of the endpoint's lease.
_STOP_RETRANSMISSION_MS = 100.0
# Age of the process before which no job is refused for want of an endpoint: two heartbeat intervals
# of an endpoint.
_CATALOG_FILLED_AFTER_MS = 3_000.0


class ZoneOwner:
    """One term of owning a zone's endpoints.

    Args:
        record: This owner: zone, token, box.
        context: Components of the box.
        on_fenced: Called with an endpoint that has seen a higher token.
    """

    def __init__(
        self, record: OwnerRecord, context: OwnerContext, on_fenced: Callable[[str], None]
    ) -> None:
        timings = context.timings
        began_ms = monotonic_ms()
        confirmed_ms = context.holders_confirmed_ms(record.zone)
        self._record = record
        self._context = context
        self._view = context.view
        self._network = context.network
        self._metrics = context.metrics
        self._on_fenced = on_fenced
        self._state = OwnerState(
            run_expiry_ms(timings.endpoint_lease_ms),
            self._all_endpoints,
            context.overload,
            self._has_ended,
            earlier_terms(confirmed_ms, began_ms, timings),
        )
        self._sessions = Sessions(
            record.zone,
            record.token,
            context.network,
            timings.session_ms,
            self._execute_actions,
        )
        self._validity = TermValidity(timings.session_ms, began_ms)
        lease_ms = float(timings.endpoint_lease_ms)
        lease_durations = LeaseDurations(
            record.token,
            lease_ms,
            max_real_duration_ms(lease_ms),
            max_real_duration_ms(timings.endpoint_lease_max_ms),
        )
        self._links = EndpointLinks(
            record.zone, self._state, context.catalog, lease_durations, context.calls, self
        )
        self._orders = OrderSender(
            record.token, self._state, self._sessions, self._links, context, self
        )
        self._offers = OfferSender(record, self._state, context)
        self._heartbeats = HeartbeatSender(
            record,
            context,
            lambda: self.load,
            lambda: self._offers.other_owners,
            self._holders_confirmed_ms,
        )
        self._tasks = TaskSet()
        self._queue_metrics_due_ms = 0.0
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
        """State of runs and endpoints."""
        return self._state

    @property
    def load(self) -> ZoneLoad:
        """Load of the endpoints in use."""
        return self._state.load(monotonic_ms())

    def queue_state(self) -> QueueState:
        """Return the length and age of the zone's queue."""
        return self._state.run_queue.state(monotonic_ms())

    @property
    def is_isolated(self) -> bool:
        """Whether there are other entry boxes but a session with none of them."""
        own = self._view.own.box
        if self._view.entries == [own]:
            return False
        return not self._sessions.has_session_with_other_box(own, monotonic_ms())

    @property
    def is_valid(self) -> bool:
        """Whether no other box can have acquired the zone during a pause of this one.

        Otherwise the owner accepts and starts no runs and renews no leases until it is confirmed.
        """
        return self._validity.is_valid(monotonic_ms())

    def confirm(self, asked_ms: float) -> bool:
        """Resume work: no box that was asked at *asked_ms* knows a higher token.

        Return ``False`` if this box may have been paused again in between.
        """
        if not self._validity.confirm(asked_ms, monotonic_ms()):
            return False
        self._execute_actions()
        return True

    def start(self) -> None:
        """Start polling endpoints and sending heartbeats and offers."""
        self._tasks.spawn(self._heartbeats.run())
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._offers.run())

    def close(self) -> None:
        """Cancel all tasks; runs in progress are left to the next owner."""
        self._is_closed = True
        self._sessions.close()
        self._orders.close()
        self._links.close()
        self._tasks.cancel()

    def submit(self, sender: str, message: SubmitRuns) -> SubmitReply:
        """Handle a delivery of runs from *sender*."""
        holder = HolderId(sender, self._network.known_incarnation(sender))
        now_ms = monotonic_ms()
        if message.token != self.token or self._is_closed:
            return SubmitReply(SubmitStatus.NOT_OWNER, "another token")
        if not self._sessions.has_session(holder, now_ms):
            return SubmitReply(SubmitStatus.NOT_OWNER, "no session")
        if not self._validity.is_valid(now_ms):
            return SubmitReply(SubmitStatus.NOT_OWNER, "not confirmed")
        if not self._has_acknowledged_endpoints(holder, message):
            return SubmitReply(SubmitStatus.NOT_OWNER, "endpoints not announced")
        earlier_endpoints = self._sessions.earlier_endpoints(holder)
        reply = self._state.submit(holder, message, now_ms, earlier_endpoints)
        self._orders.notify_holders_of_job(message.job_id)
        log_delivery(self._record, sender, message, reply, self.load)
        self._execute_actions()
        return reply

    def cancel(self, sender: str, message: CancelJob) -> Cancelled:
        """Cancel a job of *sender*; reply whether any run of it may have started.

        The reply is "not started" only if the job was delivered to this term, since the starts of
        earlier terms on this box are not recorded here.
        """
        holder = HolderId(sender, self._network.known_incarnation(sender))
        is_addressed = message.token in (0, self.token)
        known = self._state.cancel(holder, message.job_id, monotonic_ms(), message.delivery)
        self._orders.notify_holders_of_job(message.job_id)
        has_started = known or not is_addressed
        log_cancel(self._record, sender, message, has_started)
        self._execute_actions()
        return Cancelled(has_started)

    async def sync_endpoints(self, endpoints: Container[str]) -> None:
        """Apply the catalog at once and wait until no start is in flight to *endpoints*.

        The runs of one that has deregistered for good are ordered to stop before that. A draining
        endpoint's report is answered after that, so that no task reaches the endpoint once it has
        the answer.
        """
        if self._is_closed:
            return
        self._sync_with_catalog(monotonic_ms())
        self._execute_actions()
        await self._orders.wait_for_starts(endpoints)

    def handle_offer(self, message: WaitingGroups) -> None:
        """Handle another zone's offer of queued runs."""
        if self._is_closed or message.owner.zone == self._record.zone:
            return
        self._state.note_offer(message.owner.zone, message.groups, monotonic_ms())
        self._execute_actions()

    def note_load(self, heartbeat: OwnerHeartbeat) -> None:
        """Record the load of another zone."""
        self._state.note_load(heartbeat.owner.zone, heartbeat.load, monotonic_ms())

    def answer_steal(self, message: StealRuns) -> StealReply:
        """Handle a work-stealing request from another zone's owner."""
        if self._is_closed or not self.is_valid:
            return StealReply(0)
        given = self._state.release_to_zone(
            message.group, message.runs, message.zone, monotonic_ms()
        )
        self._carry_out_actions()
        return StealReply(given)

    def handle_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> None:
        """Renew the session of a box that acknowledged a heartbeat."""
        if ack.token != self.token or self._is_closed:
            return
        holder = HolderId(sender, self._network.known_incarnation(sender))
        if self._sessions.is_stale_ack(holder, ack.heartbeat_sent_ms):
            return
        now_ms = monotonic_ms()
        if sender == self._view.own.box:
            self._validity.renew(ack.heartbeat_sent_ms, now_ms)
        for earlier in self._sessions.end_other_incarnations(holder):
            self._state.end_session(earlier, now_ms)
        names = ack.earlier_endpoints
        earlier_endpoints = None if names is None else frozenset(names)
        if self._sessions.grant(holder, ack.heartbeat_sent_ms, earlier_endpoints):
            for report in self._state.task_reports:
                self._sessions.queue_report(holder, report)

    def may_renew(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the lease of *endpoint* may be renewed.

        It may not while a stop is overdue there, so that the run ends with the lease, once the
        endpoint has deregistered for good, or while another box may have acquired the zone. Expired
        sessions are ended here too, because after a process pause this may run before any tick.
        """
        self._end_expired_sessions(now_ms)
        if not self._validity.is_valid(now_ms) or self._state.has_left(endpoint):
            return False
        return not self._state.has_overdue_stop(endpoint, now_ms - STOP_OVERDUE_MS)

    def lease_limit_ms(self, endpoint: str) -> float:
        """Return by when a lease of *endpoint* must have expired; infinity without a limit.

        A run that no box has delivered may be of a box that was lost together with an earlier
        owner. It has to end as early as if that owner had been there to stop it.
        """
        return self._state.lease_limit_ms(endpoint)

    def handle_report(self, report: EndpointReport, now_ms: float) -> None:
        """Handle an endpoint's report."""
        if self._is_closed:
            return
        self._metrics.count("workers.looks")
        self._state.report(report, now_ms)
        self._execute_actions()

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Exclude *endpoint*, whose answer is overdue, from placement until it answers."""
        candidate = self._state.candidates.get(endpoint)
        if candidate is not None and candidate.has_current_report:
            self._log_suspected(endpoint, call)
            self._state.exclude_from_placement(endpoint)

    def note_unresponsive(self, endpoint: str) -> None:
        """Exclude *endpoint*, which did not answer a check, from placement until it responds."""
        if self._state.note_unresponsive(endpoint, monotonic_ms()):
            self._log_suspected(endpoint, "check")

    def note_responding(self, endpoint: str) -> None:
        """Place runs on *endpoint* again if it had not answered a check in time."""
        if not self._is_closed and self._state.note_responding(endpoint):
            self._execute_actions()

    def handle_unanswered_poll(self, endpoint: str) -> None:
        """Handle a failed poll of *endpoint*."""
        self._state.handle_unanswered_poll(endpoint)

    def handle_crash(self, endpoint: str) -> None:
        """Handle a crash of *endpoint*: nothing listens at its address any more."""
        if not self._is_closed:
            self._state.handle_crash(endpoint, monotonic_ms())
            self._execute_actions()

    def note_incarnation_ended(self, endpoint: str, born_ms: int) -> None:
        """Handle the certain end of the incarnation of *endpoint* started at *born_ms*."""
        ENDPOINT_LOG.event("endpoint.life_over", endpoint=endpoint, born_ms=born_ms)
        now_ms = monotonic_ms()
        if not self._is_closed:
            self._state.handle_other_id(endpoint, now_ms)
            self._execute_actions()
        self._context.catalog.end_incarnation(endpoint, born_ms, now_ms)

    def note_next_incarnation(self, endpoint: str, born_ms: int) -> None:
        """Handle an answer from a later incarnation of *endpoint*, started at *born_ms*."""
        if not self._is_closed:
            self._links.begin_incarnation(endpoint, born_ms)

    def note_fenced(self, endpoint: str) -> None:
        """Report that *endpoint* has seen a higher token."""
        self._on_fenced(endpoint)

    def _log_suspected(self, endpoint: str, call: str) -> None:
        ENDPOINT_LOG.event("endpoint.suspected", endpoint=endpoint, call=call)
        self._metrics.count(f"endpoints.suspected.{call}")

    def _all_endpoints(self) -> list[EndpointRecord]:
        """Return the endpoints of all zones; none while the catalog may be incomplete."""
        if self._context.catalog_age_ms() <= _CATALOG_FILLED_AFTER_MS:
            return []
        return self._context.catalog.records

    async def _tick(self) -> None:
        while True:
            now_ms = monotonic_ms()
            self._sync_with_catalog(now_ms)
            self._end_expired_sessions(now_ms)
            self._orders.choose_successor(now_ms)
            self._adopt_bindings(now_ms)
            # While isolated, another box may own the zone and renew the leases of endpoints that
            # are silent here, so no lease counts as expired (tests/models/owners_model.py).
            if not self.is_isolated:
                self._links.check_silent_endpoints(now_ms)
            self._state.tick(now_ms)
            for stop in self._state.stops_to_retransmit(now_ms - _STOP_RETRANSMISSION_MS, now_ms):
                self._tasks.spawn(self._orders.stop(stop))
            self._execute_actions()
            self._update_queue_metrics(now_ms)
            await asyncio.sleep(_TICK_S)

    def _holders_confirmed_ms(self, now_ms: float) -> float:
        """Return when all boxes that hold runs in the zone were last known to be alive.

        A run that no box wants may be of one whose session has expired: it was last known to be
        alive a session before that.
        """
        return min(
            now_ms,
            self._sessions.confirmed_ms(self._view.own.box),
            self._state.unwanted_since_ms - self._context.timings.session_ms,
            self._state.earlier_confirmed_ms(now_ms),
        )

    def _has_acknowledged_endpoints(self, holder: HolderId, message: SubmitRuns) -> bool:
        """Return whether *holder* has acknowledged the endpoints of the delivered runs.

        It tells the next owner of the endpoints of runs that go on.
        """
        runs = (
            self._state.current_run(
                TaskId(message.job_id, message.repeat, order.step, order.position)
            )
            for order in message.orders
        )
        return all(
            self._sessions.has_acknowledged(holder, run.endpoint)
            for run in runs
            if run is not None and run.endpoint
        )

    def _sync_with_catalog(self, now_ms: float) -> None:
        """Open and close links to endpoints, and announce the endpoints to all boxes."""
        self._links.sync_with_catalog(now_ms)
        self._sessions.announce_endpoints(self._links.endpoints)

    def _has_ended(self, endpoint: str) -> bool:
        """Return whether *endpoint*, to which there is no link, has certainly ended.

        A deregistration only announces the end.
        """
        return self._links.has_ended(endpoint)

    def _adopt_bindings(self, now_ms: float) -> None:
        """Adopt what this box knows of earlier owners' orders, and report it to all boxes."""
        for binding in self._context.bindings_from_others(self._record.zone, self.token):
            self._state.adopt(binding, now_ms)

    def _end_expired_sessions(self, now_ms: float) -> None:
        """Stop the runs of boxes whose session has expired, as of the time it expired."""
        for session in self._sessions.end_lapsed(now_ms):
            ENDPOINT_LOG.event(
                "session.ended",
                sender=session.holder.box,
                over_for_ms=int(now_ms - session.ended_ms),
            )
            self._state.end_session(session.holder, session.ended_ms)

    def _execute_actions(self) -> None:
        """Place runs and carry out the actions that the state has queued."""
        if self._is_closed:
            return
        self._place()
        self._carry_out_actions()

    def _carry_out_actions(self) -> None:
        """Carry out the actions that the state has queued."""
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
        for report in self._state.actions.pop_reports():
            self._sessions.queue_for_all(report)
        self._offers.note_changed()

    def _place(self) -> None:
        """Place queued runs, and count the processor time that it takes."""
        now_ms = monotonic_ms()
        if not self._validity.is_valid(now_ms):
            return
        began_s = time.thread_time()
        self._state.place(now_ms)
        self._metrics.count("placement.rounds")
        self._metrics.count("placement.processor_us", int((time.thread_time() - began_s) * 1e6))

    def _update_queue_metrics(self, now_ms: float) -> None:
        if now_ms < self._queue_metrics_due_ms:
            return
        self._queue_metrics_due_ms = now_ms + _QUEUE_METRICS_INTERVAL_MS
        state = self._state.run_queue.state(now_ms)
        self._metrics.gauge("runs.queued", state.queued_runs)
        self._metrics.gauge("runs.queued_groups", state.queued_groups)
        self._metrics.gauge("runs.oldest_queued_ms", state.oldest_ms)
