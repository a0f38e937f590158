# SPDX-License-Identifier: MIT
"""An owner's state: what it knows of runs and endpoints, and what it decides on each event.

Owns the endpoints as candidates for work and the times of their reports. Relies on the modules that
own the rest: deliveries and admission, the lifecycle of runs, reports, recovery, stragglers, work
stealing. Nothing here waits, sends or reads a clock: events come in as calls, and what must be done
is popped from :attr:`OwnerState.actions`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from foldloom.seed_discovery.endpoints.calls import CallOutcome, EndpointReport
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import ZoneLoad
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import Actions, StealAction, StopAction
from foldloom.seed_discovery.owners.admission import Admission
from foldloom.seed_discovery.owners.crashed_endpoints import (
    give_up_crashing,
    may_have_crashed,
    note_crash,
)
from foldloom.seed_discovery.owners.deliveries import Deliveries, newest_delivery
from foldloom.seed_discovery.owners.late_starts import LateStarts
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.loads import zone_load
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    RunEnd,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.orders import note_start, note_stop
from foldloom.seed_discovery.owners.recovery import is_lost
from foldloom.seed_discovery.owners.reports import orphans_to_stop, reconcile
from foldloom.seed_discovery.owners.stealing import WorkStealing
from foldloom.seed_discovery.owners.stragglers import judge_running
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.placing import place
from foldloom.seed_discovery.scheduling.ranking import Tier, tier_of
from foldloom.seed_discovery.scheduling.runs import HolderId, Run, RunState
from foldloom.seed_discovery.scheduling.sharing import GroupId, GroupSummary
from foldloom.seed_discovery.scheduling.waiting import WaitingRuns

# How many groups an owner offers to the owners of other zones, because these are the next in order,
# and the offer is renewed 3 ms after each change.
OFFERED_GROUPS_MAX = 24


class OwnerState:
    """The runs of one zone's endpoints.

    Args:
        gone_after_ms: How long after an owner lost the right to a run it may still be there.
        all_endpoints: Returns the endpoints of all zones; none while they may not all be known.
    """

    def __init__(
        self,
        gone_after_ms: float,
        all_endpoints: Callable[[], Sequence[EndpointRecord]] = tuple,
    ) -> None:
        self._is_catalog_complete = False
        self._candidates: dict[str, ZoneEndpoint] = {}
        self._last_polled_ms: dict[str, float] = {}
        self.actions = Actions()
        self._lifecycle = RunLifecycle(self._candidates, self.actions)
        self._late_starts = LateStarts()
        self._stealing = WorkStealing(self._candidates)
        self._deliveries = Deliveries(
            self._lifecycle, self._stealing, self._candidates, gone_after_ms
        )
        self._admission = Admission(
            self._lifecycle.waiting, self._stealing, self._candidates, all_endpoints
        )

    @property
    def candidates(self) -> dict[str, ZoneEndpoint]:
        """The endpoints by id."""
        return self._candidates

    @property
    def waiting(self) -> WaitingRuns:
        """The runs that wait for room."""
        return self._lifecycle.waiting

    def load(self, now_ms: float) -> ZoneLoad:
        """Return how loaded the endpoints in use are."""
        return zone_load(self._candidates.values(), self.waiting, now_ms)

    def speed_of(self, endpoint: str) -> float:
        """Return how fast *endpoint* is thought to be, relative to the middle one."""
        return self._lifecycle.speeds.speed_of(endpoint)

    def run_of(self, task: TaskId) -> Run | None:
        """Return the present run of *task*, if any."""
        return self._lifecycle.get(task)

    # Jobs of entry boxes.

    def submit(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> SubmitReply:
        """Queue the runs of *message* for *holder*, or refuse them at once."""
        if self._deliveries.was_cancelled(holder, message, now_ms):
            return SubmitReply(SubmitStatus.REFUSED, "cancelled")
        self._deliveries.deliver(holder, message, now_ms)
        give_up_crashing(self._lifecycle, message, now_ms)
        reply = self._admission.judge(message, now_ms)
        if reply.status is SubmitStatus.REFUSED:
            self.cancel(holder, message.job_id, now_ms, newest_delivery(message))
        return reply

    def cancel(self, holder: HolderId, job_id: str, now_ms: float, delivery: int = 0) -> bool:
        """Drop what *holder* wants of a job; return whether any run of it may have started.

        Args:
            holder: The box.
            job_id: The job.
            now_ms: Own monotonic clock.
            delivery: The newest delivery that is cancelled; 0 for all.
        """
        return self._deliveries.cancel(holder, job_id, delivery, now_ms)

    def end_session(self, holder: HolderId, ended_ms: float) -> None:
        """Drop everything that *holder* wants: its grant is over since *ended_ms*."""
        for run in self._lifecycle.runs:
            if holder in run.holders:
                self._lifecycle.release_holder(holder, run, ended_ms)

    # Other zones.

    def note_offer(self, zone: str, groups: list[GroupSummary], now_ms: float) -> None:
        """Note what waits for room in another zone."""
        self._stealing.remote.note_offer(zone, groups, now_ms)

    def note_load(self, zone: str, load: ZoneLoad, now_ms: float) -> None:
        """Note how loaded another zone is."""
        self._stealing.note_load(zone, load, now_ms)

    def offer(self, now_ms: float) -> list[GroupSummary]:
        """Return the runs that wait here, for the owners of other zones."""
        return self.waiting.summaries(now_ms, OFFERED_GROUPS_MAX)

    def release_stolen(self, key: GroupId, runs: int, zone: str, now_ms: float) -> int:
        """Let another zone's owner steal up to *runs* waiting runs of a group; return how many."""
        group = self.waiting.get(key)
        if group is None:
            return 0
        # The last ones first: the first ones are the next to start here.
        released = list(group.waiting.values())[-runs:]
        for run in released:
            has_started = run.task.job_id in self._lifecycle.started
            end = RunEnd(run.run_id, EndCause.MOVED, moved_to=zone, has_started=has_started)
            self._lifecycle.retire(run, end, now_ms)
        return len(released)

    def note_stolen(self, action: StealAction, granted: int) -> None:
        """Note that the owner that was asked for runs gives *granted* of them."""
        self._stealing.note_granted(action, granted)

    # Endpoints.

    def trust_catalog(self) -> None:
        """Note that every endpoint that an earlier owner knew is known here."""
        self._is_catalog_complete = True

    def follow_endpoint(self, record: EndpointRecord) -> None:
        """Know an endpoint, or a newer record of it."""
        known = self._candidates.get(record.endpoint)
        if known is None:
            self._candidates[record.endpoint] = ZoneEndpoint(record)
            return
        known.follow(record)

    def drop_endpoint(self, endpoint: str, now_ms: float) -> None:
        """Forget an endpoint whose life is certainly over: nothing runs there any more."""
        self.note_lapsed(endpoint, now_ms)
        self._late_starts.end_life(endpoint)
        self._candidates.pop(endpoint, None)
        self._last_polled_ms.pop(endpoint, None)
        self._lifecycle.speeds.forget(endpoint)

    def begin_life(self, endpoint: str, now_ms: float) -> None:
        """Note that another life of *endpoint* has begun under its id.

        What the life before ran is over; but an order that was meant for it may have been carried
        out by this one, whose id is the same. So runs are not ended here: the first report of this
        life lists what it runs, and whatever else is thought to be there has ended. It comes
        within a round trip; without it they end when its leases have lapsed for certain. Orders to
        start that got no answer may reach this life too, which is told to stop them.
        """
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return
        note_crash(self._lifecycle, candidate, now_ms)
        candidate.begin_life()
        self._late_starts.end_life(endpoint)
        for stop in self._late_starts.stops_due((endpoint,), now_ms, now_ms):
            self.actions.stop(stop)
        self._last_polled_ms.pop(endpoint, None)
        self._lifecycle.speeds.forget(endpoint)

    def distrust(self, endpoint: str) -> None:
        """Place nothing on an endpoint until it has reported again."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.is_trusted = False

    def note_silent(self, endpoint: str) -> None:
        """Note that the newest poll of an endpoint got no answer."""
        self.distrust(endpoint)
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.is_silent = True

    def note_crashed(self, endpoint: str, now_ms: float) -> None:
        """Note that the present life of *endpoint* is certainly over."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            note_crash(self._lifecycle, candidate, now_ms)

    def note_lapsed(self, endpoint: str, now_ms: float) -> None:
        """Note that every lease on *endpoint* has ended for certain."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return
        candidate.is_trusted = False
        candidate.orphans.clear()
        for task in candidate.room.tasks:
            run = self._lifecycle.get(task)
            if run is None or run.endpoint != endpoint:
                candidate.room.release(task)
                continue
            if not candidate.has_crashed and may_have_crashed(run, endpoint):
                candidate.lapsed_tasks.append(task)
            self._lifecycle.finish(run, EndCause.LAPSED, "", now_ms)

    def has_overdue_stop(self, endpoint: str, before_ms: float) -> bool:
        """Return whether a run there was to be stopped before *before_ms* and is still listed."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return False
        runs = (self._lifecycle.get(task) for task in candidate.room.tasks)
        return any(
            run is not None and run.state is RunState.STOPPING and run.since_ms < before_ms
            for run in runs
        )

    def report(self, report: EndpointReport, now_ms: float) -> None:
        """Reconcile with an endpoint's report."""
        candidate = self._candidates.get(report.endpoint)
        if candidate is None:
            return
        reconcile(self._lifecycle, candidate, report, now_ms)
        self._last_polled_ms[report.endpoint] = report.asked_ms
        candidate.is_trusted = candidate.is_described(report.born_ms)
        candidate.is_silent = False
        candidate.note_alive()

    def note_start(self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float) -> None:
        """Note the answer to an order to start."""
        if outcome is CallOutcome.UNKNOWN:
            self._late_starts.note(run_id, endpoint, now_ms)
        note_start(self._lifecycle, self._candidates, run_id, endpoint, outcome, now_ms)

    def note_stop(self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float) -> None:
        """Note the answer to an order to stop."""
        if outcome is CallOutcome.DONE:
            self._late_starts.note_stopped(run_id, endpoint)
        note_stop(self._lifecycle, run_id, endpoint, outcome, now_ms)

    def stops_to_repeat(self, before_ms: float, now_ms: float) -> list[StopAction]:
        """Return the stops that no endpoint has confirmed since *before_ms*, to be sent again."""
        stops = self._lifecycle.retransmit_stops(before_ms, now_ms)
        answering = {name for name, one in self._candidates.items() if not one.is_silent}
        stops += self._late_starts.stops_due(answering, before_ms, now_ms)
        return list(dict.fromkeys(stops))

    # Time.

    def tick(self, now_ms: float) -> None:
        """Decide what time alone brings, and forget what is kept for a while only."""
        self._end_lost(now_ms)
        for endpoint, run_id in orphans_to_stop(self._candidates, now_ms):
            self.actions.stop(StopAction(run_id, endpoint))
        self._retire_unattainable(now_ms)
        judge_running(self._lifecycle, now_ms)
        for candidate in self._candidates.values():
            candidate.room.unreserve_expired(now_ms)
        self._deliveries.expire_cancels(now_ms)
        self._lifecycle.tombstones.expire(now_ms)
        self._lifecycle.started.expire(now_ms)
        self._lifecycle.crashes.expire(now_ms)

    def place(self, now_ms: float) -> None:
        """Start what there is room for, and steal what waits elsewhere for the rest."""
        placing = place(
            self.waiting,
            self._stealing.remote,
            self._candidates,
            self._lifecycle.speeds,
            now_ms,
            self._lifecycle.crashes.isolations,
        )
        for run, endpoint in placing.placed:
            self._lifecycle.start(run, endpoint, now_ms)
        for stolen in placing.stolen:
            self.actions.steal(StealAction(*stolen))

    def _retire_unattainable(self, now_ms: float) -> None:
        """End the runs that wait and whose job can't earn anything any more."""
        for group in self.waiting.groups:
            if tier_of(group, now_ms) is not Tier.UNATTAINABLE:
                continue
            has_started = group.spec.job_id in self._lifecycle.started
            for run in list(group.waiting.values()):
                end = RunEnd(run.run_id, EndCause.UNATTAINABLE, has_started=has_started)
                self._lifecycle.retire(run, end, now_ms)

    def _end_lost(self, now_ms: float) -> None:
        """End the recovering runs that are certainly on no endpoint."""
        for run in self._lifecycle.in_state(RunState.RECOVERING):
            polled_ms = [
                self._last_polled_ms.get(endpoint, 0.0)
                for endpoint, candidate in self._candidates.items()
                if candidate.record.service == run.spec.service
            ]
            if is_lost(run, polled_ms, self._is_catalog_complete, now_ms):
                self._lifecycle.finish(run, EndCause.LOST, "", now_ms)
