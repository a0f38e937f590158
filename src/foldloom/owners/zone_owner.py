# SPDX-License-Identifier: MIT
"""The owner of a zone's endpoints while this box holds the token: it alone calls them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foldloom.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    EndedRun,
    EndpointCalls,
    StartOrder,
)
from foldloom.endpoints.catalog import EndpointCatalog
from foldloom.endpoints.records import EndpointRecord
from foldloom.exceptions import PeerUnreachableError
from foldloom.fleet.messages import HeartbeatAck, OwnerHeartbeat, OwnerRecord, ZoneLoad
from foldloom.fleet.view import FleetView
from foldloom.logs import ENDPOINT_LOG, PLACE_LOG
from foldloom.metrics import Metrics
from foldloom.owners.actions import NotifyAction, StartAction, StealAction, StopAction
from foldloom.owners.endpoint_link import SUSPECT_AFTER_MS, EndpointLink
from foldloom.owners.lease import STOP_OVERDUE_MS, gone_after_ms, longest_real_ms
from foldloom.owners.messages import (
    CancelJob,
    Cancelled,
    ClaimReply,
    ClaimRuns,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
    WaitingGroups,
)
from foldloom.owners.sessions import Sessions
from foldloom.owners.state import OwnerState
from foldloom.peers.wire import PeerNetwork, monotonic_ms
from foldloom.scheduling.runs import HolderId
from foldloom.settings import TimingSettings

_TICK_S = 0.02
_STOP_REPEAT_MS = 100.0
_FORGET_SILENT_MS = 15_000.0
_CATALOG_TRUSTED_MS = 3_000.0
_CLAIM_TIMEOUT_MS = 30
_SHARE_TTL_MS = 100
_HEARTBEAT_ALL_MAX = 64
_SHARE_PAUSE_S = 0.003


class ZoneOwner:
    """One term of owning a zone's endpoints.

    Args:
        record: This owner: zone, token, box.
        view: The other boxes.
        network: The peers.
        calls: How endpoints are called.
        catalog: The endpoints.
        timings: Intervals and bounds.
        metrics: Counters.
        published_version: Returns the published version in force here.
        on_fenced: Called when an endpoint has seen a higher token.
        catalog_age_ms: Returns for how long the catalog has been kept up.
    """

    def __init__(
        self,
        record: OwnerRecord,
        view: FleetView,
        network: PeerNetwork,
        calls: EndpointCalls,
        catalog: EndpointCatalog,
        timings: TimingSettings,
        metrics: Metrics,
        published_version: Callable[[], int],
        on_fenced: Callable[[str], None],
        catalog_age_ms: Callable[[], float],
    ) -> None:
        self.calls = calls
        self.lease_ms = float(timings.endpoint_lease_ms)
        self.lease_real_ms = longest_real_ms(timings.endpoint_lease_ms)
        self._record = record
        self._view = view
        self._network = network
        self._catalog = catalog
        self._timings = timings
        self._metrics = metrics
        self._published_version = published_version
        self._on_fenced = on_fenced
        self._catalog_age_ms = catalog_age_ms
        self._state = OwnerState(gone_after_ms(timings.endpoint_lease_ms))
        self._sessions = Sessions(record.zone, record.token, network, timings.session_ms)
        self._links: dict[str, EndpointLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_closed = False
        self._has_waiting = asyncio.Event()

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
        now_ms = monotonic_ms()
        in_use = [one for one in self._state.candidates.values() if one.is_open(now_ms)]
        return ZoneLoad(
            free_milli=sum(max(0, one.room.free.cpu_milli) for one in in_use),
            total_milli=sum(one.room.capacity.cpu_milli for one in in_use),
            queued_milli=self._state.waiting.cpu_milli,
        )

    @property
    def is_isolated(self) -> bool:
        """Whether other entry boxes are known and none of them grants its right any more."""
        own = self._view.own.box
        if self._view.entries == [own]:
            return False
        return not self._sessions.has_other(own, monotonic_ms())

    def start(self) -> None:
        """Poll every endpoint and begin to send heartbeats."""
        self._spawn(self._send_heartbeats())
        self._spawn(self._tick())
        self._spawn(self._share())

    def close(self) -> None:
        """End all tasks; whoever owns the zone next adopts what runs."""
        self._is_closed = True
        self._sessions.close()
        for task in [*self._tasks, *self._link_tasks.values()]:
            task.cancel()

    def submit(self, sender: str, message: SubmitRuns) -> SubmitReply:
        """Take runs that *sender* hands in."""
        holder = HolderId(sender, self._network.known_incarnation(sender))
        now_ms = monotonic_ms()
        if message.token != self.token or self._is_closed:
            return SubmitReply(SubmitStatus.NOT_OWNER, "another token")
        if not self._sessions.has_right(holder, now_ms):
            return SubmitReply(SubmitStatus.NOT_OWNER, "no session")
        reply = self._state.submit(holder, message, now_ms)
        self._log_submit(sender, message, reply)
        self._act()
        return reply

    def cancel(self, sender: str, message: CancelJob) -> Cancelled:
        """Drop what *sender* wants of a job."""
        holder = HolderId(sender, self._network.known_incarnation(sender))
        has_started = self._state.cancel(holder, message.job_id, monotonic_ms())
        self._act()
        return Cancelled(has_started)

    def handle_offer(self, message: WaitingGroups) -> None:
        """Take what waits in another zone; there may be room for it here."""
        if self._is_closed or message.owner.zone == self._record.zone:
            return
        self._state.note_offer(message.owner.zone, message.groups, monotonic_ms())
        self._act()

    def note_load(self, heartbeat: OwnerHeartbeat) -> None:
        """Take how loaded another zone is."""
        self._state.note_load(heartbeat.owner.zone, heartbeat.load, monotonic_ms())

    def release(self, message: ClaimRuns) -> ClaimReply:
        """Give waiting runs to another zone's owner."""
        if self._is_closed:
            return ClaimReply(0)
        released = self._state.give_away(message.group, message.runs, message.zone, monotonic_ms())
        self._act()
        return ClaimReply(released)

    def handle_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> None:
        """Take a box's grant."""
        if ack.token != self.token or self._is_closed:
            return
        holder = HolderId(sender, self._network.known_incarnation(sender))
        now_ms = monotonic_ms()
        for earlier in self._sessions.end_other_lives(holder):
            self._state.end_session(earlier, now_ms)
        self._sessions.grant(holder, ack.heartbeat_sent_ms)

    def may_renew(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the lease of *endpoint* may be renewed.

        A run that should have stopped long ago and is still listed must not live on by it.
        Rights are looked at here too: after a freeze this may come before any tick.
        """
        self._end_lapsed_sessions(now_ms)
        return not self._state.has_overdue_stop(endpoint, now_ms - STOP_OVERDUE_MS)

    def take_report(
        self,
        endpoint: str,
        active: tuple[ActiveRun, ...],
        ended: tuple[EndedRun, ...],
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Take an endpoint's lists."""
        if self._is_closed:
            return
        self._metrics.count("workers.looks")
        self._state.report(endpoint, active, ended, sent_ms, now_ms)
        self._act()

    def note_silent(self, endpoint: str) -> None:
        """Note that *endpoint* does not answer."""
        self._state.distrust(endpoint)

    def note_life_over(self, endpoint: str) -> None:
        """Note that *endpoint*'s life is over for certain."""
        ENDPOINT_LOG.info("Endpoint {} is another life now.", endpoint)
        self._catalog.remove(endpoint, monotonic_ms())

    async def note_fenced(self, endpoint: str) -> None:
        """Note that *endpoint* has seen a higher token."""
        self._on_fenced(endpoint)

    def _log_submit(self, sender: str, message: SubmitRuns, reply: SubmitReply) -> None:
        load = self.load
        PLACE_LOG.event(
            "runs.queued" if reply.status is SubmitStatus.TAKEN else "runs.refused",
            job=message.job_id,
            zone=self._record.zone,
            token=self.token,
            sender=sender,
            runs=len(message.orders),
            is_resumed=any(order.is_resumed for order in message.orders),
            is_moved=any(order.is_moved for order in message.orders),
            elapsed_ms=message.objective.elapsed_ms,
            deadline_in_ms=message.deadline_ms,
            free_milli=load.free_milli,
            queued_milli=load.queued_milli,
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
        )

    async def _send_heartbeats(self) -> None:
        while True:
            heartbeat = OwnerHeartbeat(
                self._record,
                self._view.own,
                int(monotonic_ms()),
                self._published_version(),
                self.load,
            )
            for box in self._audience():
                self._network.send(box, heartbeat, self._timings.owner_silent_ms)
            await asyncio.sleep(self._timings.owner_heartbeat_ms / 1_000)

    async def _share(self) -> None:
        """Tell the owners of other zones what waits here, soon after it changes."""
        has_offered = False
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            groups = self._state.offer(monotonic_ms())
            if groups or has_offered:
                message = WaitingGroups(self._record, groups)
                for box in self._other_owners():
                    self._network.send(box, message, _SHARE_TTL_MS)
            has_offered = bool(groups)
            await asyncio.sleep(_SHARE_PAUSE_S)

    def _other_owners(self) -> list[str]:
        owners = [self._view.owner_of(zone) for zone in self._view.zones]
        return [owner.box for owner in owners if owner.zone != self._record.zone]

    def _audience(self) -> list[str]:
        """Return who gets the heartbeats: all entry boxes, while they are not too many."""
        entries = self._view.entries
        if len(entries) > _HEARTBEAT_ALL_MAX:
            entries = self._view.entries_of(self._record.zone)
        return list(dict.fromkeys([*entries, *self._other_owners(), *self._view.controllers]))

    async def _tick(self) -> None:
        while True:
            now_ms = monotonic_ms()
            if self._catalog_age_ms() > _CATALOG_TRUSTED_MS:
                self._state.trust_catalog()
            self._follow_catalog(now_ms)
            self._end_lapsed_sessions(now_ms)
            self._judge_silent(now_ms)
            self._state.tick(now_ms)
            for stop in self._state.stops_to_repeat(now_ms - _STOP_REPEAT_MS, now_ms):
                self._spawn(self._stop(stop))
            self._act()
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

    def _follow_catalog(self, now_ms: float) -> None:
        records = {
            record.endpoint: record
            for record in self._catalog.records
            if record.zone == self._record.zone
        }
        for endpoint, record in records.items():
            self._state.follow_endpoint(record)
            link = self._links.get(endpoint)
            if link is None:
                self._open_link(record)
            else:
                link.record = record
        for endpoint in set(self._links) - set(records):
            self._close_link(endpoint, now_ms)

    def _open_link(self, record: EndpointRecord) -> None:
        link = EndpointLink(self, record)
        self._links[record.endpoint] = link
        self._link_tasks[record.endpoint] = asyncio.create_task(link.run())

    def _close_link(self, endpoint: str, now_ms: float) -> None:
        """Let go of an endpoint that is gone; what it ran ends with it."""
        del self._links[endpoint]
        self._link_tasks.pop(endpoint).cancel()
        self._state.drop_endpoint(endpoint, now_ms)

    def _judge_silent(self, now_ms: float) -> None:
        # Somebody else may own the zone by now, and reach an endpoint that is silent here: it
        # would keep what this owner takes for lapsed (tests/models/owners_model.py).
        if self.is_isolated:
            return
        for endpoint, link in self._links.items():
            if link.has_lapsed(now_ms):
                ENDPOINT_LOG.event(
                    "endpoint.lapsed", endpoint=endpoint, silent_ms=int(now_ms - link.heard_ms)
                )
                self._state.note_lapsed(endpoint, now_ms)
            if link.is_silent and now_ms - link.heard_ms > _FORGET_SILENT_MS:
                self._catalog.forget(endpoint)

    def _act(self) -> None:
        """Carry out what the state has decided."""
        if self._is_closed:
            return
        self._state.place(monotonic_ms())
        for stop in self._state.actions.pop_stops():
            self._spawn(self._stop(stop))
        for start in self._state.actions.pop_starts():
            self._spawn(self._start(start))
        for claim in self._state.actions.pop_steals():
            self._spawn(self._claim(claim))
        for action in self._state.actions.pop_notifications():
            self._log_end(action)
            self._sessions.queue_end(action.holder, action.end)
        self._has_waiting.set()

    def _log_end(self, action: NotifyAction) -> None:
        end = action.end
        self._metrics.count(f"runs.{end.cause.name.lower()}")
        if end.ran_ms:
            self._metrics.timing("run_ms", end.ran_ms)
        PLACE_LOG.event(
            "run.ended",
            job=end.run_id.task.job_id,
            run=end.run_id.text,
            endpoint=end.endpoint,
            cause=end.cause.name.lower(),
            ran_ms=end.ran_ms,
            moved_to=end.moved_to,
            token=self.token,
            holder=action.holder.box,
        )

    async def _claim(self, claim: StealAction) -> None:
        """Ask another zone's owner for runs that wait there."""
        owner = self._view.owner_of(claim.zone)
        message = ClaimRuns(self._record.zone, claim.group, len(claim.reservations))
        granted = 0
        try:
            reply: ClaimReply = await self._network.request(owner.box, message, _CLAIM_TIMEOUT_MS)
            granted = reply.runs
        except PeerUnreachableError:
            self._metrics.count("claims.unanswered")
        self._metrics.count("runs.claimed", granted)
        self._state.note_stolen(claim, granted)

    async def _start(self, action: StartAction) -> None:
        link = self._links.get(action.endpoint)
        now_ms = monotonic_ms()
        run = self._state.run_of(action.run_id.task)
        # Looked at right before the call: after a freeze nobody may want this run any more.
        is_wanted = run is not None and any(
            self._sessions.has_right(holder, now_ms) for holder in run.holders
        )
        # A start renews the lease of everything there.
        may_start = is_wanted and self.may_renew(action.endpoint, now_ms)
        until_ms = 0 if link is None or not may_start else link.order_until(now_ms)
        if link is None or until_ms == 0 or self._is_closed:
            self._state.note_start(action.run_id, action.endpoint, CallOutcome.LATE, now_ms)
            return
        self._log_start(action, until_ms, now_ms)
        self._metrics.count("runs.started")
        order = StartOrder(action.run_id, action.text, self.token, until_ms)
        doubt = asyncio.get_running_loop().call_later(
            SUSPECT_AFTER_MS / 1_000, self._state.distrust, action.endpoint
        )
        reply = await self.calls.start_run(link.record, order)
        doubt.cancel()
        self._metrics.timing("start_call_ms", monotonic_ms() - now_ms)
        now_ms = monotonic_ms()
        if reply.clock_ms:
            link.clock.note(reply.clock_ms, now_ms)
        if reply.outcome is not CallOutcome.DONE:
            PLACE_LOG.event(
                "run.not_started",
                job=action.run_id.task.job_id,
                run=action.run_id.text,
                endpoint=action.endpoint,
                outcome=reply.outcome.value,
                detail=reply.detail,
            )
            self._metrics.count(f"starts.{reply.outcome.value}")
        if reply.outcome is CallOutcome.FENCED:
            self._on_fenced(action.endpoint)
        self._state.note_start(action.run_id, action.endpoint, reply.outcome, now_ms)
        self._act()

    def _log_start(self, action: StartAction, until_ms: int, now_ms: float) -> None:
        run = self._state.run_of(action.run_id.task)
        candidate = self._state.candidates.get(action.endpoint)
        if run is None or candidate is None:
            return
        self._metrics.timing("job_age_at_start_ms", now_ms - run.spec.began_ms)
        PLACE_LOG.event(
            "run.placed",
            job=action.run_id.task.job_id,
            run=action.run_id.text,
            endpoint=action.endpoint,
            token=self.token,
            until_ms=until_ms,
            job_age_ms=int(now_ms - run.spec.began_ms),
            speed=round(self._state.speed_of(action.endpoint), 2),
            free_milli=candidate.room.free.cpu_milli,
        )

    async def _stop(self, action: StopAction) -> None:
        link = self._links.get(action.endpoint)
        if link is None or self._is_closed:
            return
        PLACE_LOG.event(
            "run.stopped",
            job=action.run_id.task.job_id,
            run=action.run_id.text,
            endpoint=action.endpoint,
            token=self.token,
        )
        self._metrics.count("runs.stopped")
        reply = await self.calls.stop_run(link.record, action.run_id, self.token)
        if reply.outcome is CallOutcome.FENCED:
            self._on_fenced(action.endpoint)
        self._state.note_stop(action.run_id, action.endpoint, reply.outcome, monotonic_ms())

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
