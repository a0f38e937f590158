# SPDX-License-Identifier: MIT
"""An owner's state: runs, endpoints, sessions. Nothing here waits, sends or reads a clock.

Events come in as calls; what must be done is collected and taken by the caller. The promise
that holds here: of one task at most one run is present, and another one starts only once the
one before is certainly on no endpoint.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.endpoints.calls import ActiveRun, CallOutcome, EndedRun, EndKind
from foldloom.endpoints.records import EndpointRecord
from foldloom.fleet.messages import ZoneLoad
from foldloom.jobs.spec import RunId, TaskId
from foldloom.owners.messages import (
    EndCause,
    RunEnd,
    RunOrder,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.scheduling.admission import Room as EndpointRoom
from foldloom.scheduling.admission import expected_wait_ms, is_too_late, retry_after_ms
from foldloom.scheduling.endpoints import Candidate, ForeignRun
from foldloom.scheduling.estimates import Estimates
from foldloom.scheduling.placing import Reservation, place
from foldloom.scheduling.policies import HOPELESS, tier_of
from foldloom.scheduling.runs import HolderId, Run, RunSpec, RunState, TraceBound
from foldloom.scheduling.sharing import (
    VIEW_KEPT_MS,
    GroupId,
    GroupSummary,
    RemoteGroups,
    group_of,
)
from foldloom.scheduling.speeds import EndpointSpeeds
from foldloom.scheduling.waiting import WaitingRuns

_FOREIGN_GRACE_MS = 300.0
_CANCEL_REMEMBERED_MS = 500.0
_TOLD_GROUPS = 24
_WARM_UP_MS = 500.0
_OVERDUE_FACTOR = 2.0
_STUCK_FACTOR = 3.0
_STUCK_MIN_MS = 40.0
_NUMBERS_KEPT_MS = 6_000.0
_NO_ROOM_PAUSE_MS = 30.0
_UNHEALTHY_PAUSE_MS = 300.0

_CAUSES = {
    EndKind.DONE: EndCause.DONE,
    EndKind.FAILED: EndCause.FAILED,
    EndKind.STOPPED: EndCause.STOPPED,
    EndKind.LAPSED: EndCause.LAPSED,
    EndKind.BROKEN: EndCause.FAILED,
    EndKind.ALONE: EndCause.FAILED,
}


class StartAction(NamedTuple):
    """Start *run_id* on *endpoint*."""

    run_id: RunId
    endpoint: str
    text: str


class StopAction(NamedTuple):
    """Stop *run_id* on *endpoint*."""

    run_id: RunId
    endpoint: str


class ClaimAction(NamedTuple):
    """Ask the owner of *zone* for runs of *group*, for which room is reserved."""

    zone: str
    group: GroupId
    reservations: list[Reservation]


class EndAction(NamedTuple):
    """Tell *holder* of *end*."""

    holder: HolderId
    end: RunEnd


class _HeardLoad(NamedTuple):
    """How loaded another zone is, and when that was heard."""

    load: ZoneLoad
    heard_ms: float


class _Past(NamedTuple):
    """A task that is not known any more.

    Args:
        attempt: Its last start.
        ended_ms: When that ended or was let go of.
        end: How it ended, if a later owner should tell.
        has_started: Whether a run of it may ever have started.
        deliveries: Each box's newest delivery of it.
    """

    attempt: int
    ended_ms: float
    end: RunEnd | None
    has_started: bool
    deliveries: dict[HolderId, int]


def _spec_of(message: SubmitRuns, now_ms: float) -> RunSpec:
    objective = message.objective
    return RunSpec(
        job_id=message.job_id,
        queue=message.queue,
        service=message.service,
        text=message.spec,
        demand=message.demand,
        placement=message.placement,
        priority=message.priority,
        estimate_ms=message.estimate_ms,
        began_ms=now_ms - objective.elapsed_ms,
        stretch=objective.stretch,
        slack_ms=objective.slack_ms,
        other_ms=objective.other_ms,
        tasks=message.tasks,
        deadline_ms=now_ms + message.deadline_ms,
    )


class OwnerState:
    """The runs of one zone's endpoints.

    Args:
        gone_after_ms: How long after an owner lost the right to a run it may still be there.
    """

    def __init__(self, gone_after_ms: float) -> None:
        self._gone_after_ms = gone_after_ms
        self._knows_all_endpoints = False
        self._runs: dict[TaskId, Run] = {}
        self._tasks_of_job: dict[str, set[TaskId]] = {}
        self._past: dict[TaskId, _Past] = {}
        self._candidates: dict[str, Candidate] = {}
        self._looked_ms: dict[str, float] = {}
        self._estimates = Estimates()
        self._waiting = WaitingRuns(self._estimates)
        self._speeds = EndpointSpeeds()
        self._starts: list[StartAction] = []
        self._stops: list[StopAction] = []
        self._claims: list[ClaimAction] = []
        self._ends: list[EndAction] = []
        self._first_ms = 0.0
        self._remote = RemoteGroups()
        self._loads: dict[str, _HeardLoad] = {}
        self._reservations: dict[GroupId, list[Reservation]] = {}
        self._cancelled: dict[tuple[HolderId, str], float] = {}

    @property
    def candidates(self) -> dict[str, Candidate]:
        """The endpoints by id."""
        return self._candidates

    @property
    def waiting(self) -> WaitingRuns:
        """The runs that wait for room."""
        return self._waiting

    def speed_of(self, endpoint: str) -> float:
        """Return how fast *endpoint* is thought to be, relative to the middle one."""
        return self._speeds.speed_of(endpoint)

    def run_of(self, task: TaskId) -> Run | None:
        """Return the present run of *task*, if any."""
        return self._runs.get(task)

    def take_starts(self) -> list[StartAction]:
        """Return and clear what is to be started."""
        taken, self._starts = self._starts, []
        return taken

    def take_stops(self) -> list[StopAction]:
        """Return and clear what is to be stopped."""
        taken, self._stops = self._stops, []
        return taken

    def take_claims(self) -> list[ClaimAction]:
        """Return and clear what is to be claimed in other zones."""
        taken, self._claims = self._claims, []
        return taken

    def take_ends(self) -> list[EndAction]:
        """Return and clear who is to be told of which end."""
        taken, self._ends = self._ends, []
        return taken

    # Runs that boxes hand in and take back.

    def submit(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> SubmitReply:
        """Take the runs of *message*; those that are known already are attached to."""
        spec = _spec_of(message, now_ms)
        bound = TraceBound(
            now_ms + message.old_right_ms,
            now_ms + message.old_right_ms + self._gone_after_ms,
        )
        if self._is_late_submit(holder, message.job_id, now_ms):
            return SubmitReply(SubmitStatus.REFUSED, "cancelled")
        for order in message.orders:
            task = TaskId(message.job_id, message.repeat, order.step, order.position)
            self._use_reservation(group_of(task))
            self._take(holder, task, spec, order, bound, now_ms)
        return self._admit(holder, message, now_ms)

    def cancel(self, holder: HolderId, job_id: str, now_ms: float) -> bool:
        """Drop what *holder* wants of a job; return whether any run of it may have started."""
        self._cancelled[holder, job_id] = now_ms
        has_started = any(
            task.job_id == job_id and past.has_started for task, past in self._past.items()
        )
        for task in list(self._tasks_of_job.get(job_id, ())):
            run = self._runs[task]
            has_started = has_started or run.was_ordered or run.state is not RunState.QUEUED
            self._let_go(holder, task, now_ms)
        return has_started

    def end_session(self, holder: HolderId, ended_ms: float) -> None:
        """Drop everything that *holder* wants: since *ended_ms* it has no right to run."""
        for task, run in list(self._runs.items()):
            if holder in run.holders:
                self._let_go(holder, task, ended_ms)

    # Other zones.

    def hear_waiting(self, zone: str, groups: list[GroupSummary], now_ms: float) -> None:
        """Take what another zone's owner tells of its queue."""
        self._remote.hear(zone, groups, now_ms)

    def hear_load(self, zone: str, load: ZoneLoad, now_ms: float) -> None:
        """Take how much room there is in another zone, where runs may be moved to."""
        self._loads[zone] = _HeardLoad(load, now_ms)

    def tell_waiting(self, now_ms: float) -> list[GroupSummary]:
        """Return what the owners of other zones should know of this queue."""
        return self._waiting.summaries(now_ms, _TOLD_GROUPS)

    def release(self, key: GroupId, runs: int, zone: str, now_ms: float) -> int:
        """Give up to *runs* of a group to another zone's owner; return how many."""
        group = self._waiting.get(key)
        if group is None:
            return 0
        # The last ones first: the first ones are the next to start here.
        leaving = list(group.waiting.values())[-runs:]
        for run in leaving:
            end = RunEnd(run.run_id, EndCause.MOVED, moved_to=zone, has_started=run.was_ordered)
            self._tell_holders(run, end)
            self._forget(run)
            self._keep_past(run, now_ms)
        return len(leaving)

    def note_claimed(self, claim: ClaimAction, granted: int) -> None:
        """Keep room for as many runs as were granted, and give the rest back."""
        self._reservations.setdefault(claim.group, []).extend(claim.reservations[:granted])
        for reservation in claim.reservations[granted:]:
            self._unreserve(reservation)

    # Endpoints.

    def trust_catalog(self) -> None:
        """Note that every endpoint that an earlier owner knew is known here."""
        self._knows_all_endpoints = True

    def follow_endpoint(self, record: EndpointRecord) -> None:
        """Know an endpoint, or a newer record of it."""
        known = self._candidates.get(record.endpoint)
        if known is None:
            self._candidates[record.endpoint] = Candidate(record)
            return
        known.follow(record)

    def drop_endpoint(self, endpoint: str, now_ms: float) -> None:
        """Forget an endpoint whose life is certainly over: nothing runs there any more."""
        self.note_lapsed(endpoint, now_ms)
        self._candidates.pop(endpoint, None)
        self._looked_ms.pop(endpoint, None)
        self._speeds.forget(endpoint)

    def distrust(self, endpoint: str) -> None:
        """Give an endpoint no more work until it has been looked at again."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.is_trusted = False

    def note_lapsed(self, endpoint: str, now_ms: float) -> None:
        """Note that every lease on *endpoint* has ended for certain."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return
        candidate.is_trusted = False
        candidate.foreign.clear()
        for task in candidate.room.tasks:
            run = self._runs.get(task)
            if run is None or run.endpoint != endpoint:
                candidate.room.release(task)
                continue
            self._finish(run, EndCause.LAPSED, "", now_ms)

    def has_overdue_stop(self, endpoint: str, before_ms: float) -> bool:
        """Return whether a run there was to be stopped before *before_ms* and is still listed."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return False
        present = (self._runs.get(task) for task in candidate.room.tasks)
        return any(
            run is not None and run.state is RunState.STOPPING and run.since_ms < before_ms
            for run in present
        )

    def report(
        self,
        endpoint: str,
        active: tuple[ActiveRun, ...],
        ended: tuple[EndedRun, ...],
        looked_ms: float,
        now_ms: float,
    ) -> None:
        """Take an endpoint's lists; the look was sent at *looked_ms*."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return
        for end in ended:
            self._note_end(candidate, end, now_ms)
        present = {one.run_id for one in active}
        self._compare(candidate, present, looked_ms, now_ms)
        self._looked_ms[endpoint] = looked_ms
        candidate.is_trusted = True

    def note_start(self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float) -> None:
        """Take the answer to an order to start."""
        run = self._runs.get(run_id.task)
        if run is None or run.attempt != run_id.attempt or run.endpoint != endpoint:
            return
        if outcome is CallOutcome.DONE:
            if run.state is RunState.STARTING:
                run.enter(RunState.RUNNING, now_ms, endpoint)
            return
        if outcome is CallOutcome.UNKNOWN:
            # It may be carried out at any time until the lease in the order has passed; the
            # stop keeps it from starting, and the next look tells whether it has started.
            self._stop(run, now_ms)
            return
        self._release(run)
        if run.state is RunState.STOPPING:
            self._finish(run, EndCause.STOPPED, "", now_ms)
            return
        self._start_again(run, outcome, endpoint, now_ms)

    def note_stop(self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float) -> None:
        """Take the answer to an order to stop."""
        run = self._runs.get(run_id.task)
        if run is None or run.attempt != run_id.attempt or run.endpoint != endpoint:
            return
        if run.state is not RunState.STOPPING:
            return
        if outcome is CallOutcome.DONE:
            run.stop_known_ms = now_ms

    def stops_to_repeat(self, before_ms: float, now_ms: float) -> list[StopAction]:
        """Return the stops that no endpoint has confirmed since *before_ms*."""
        repeated = []
        for run in self._runs.values():
            if run.state is not RunState.STOPPING or run.stop_known_ms:
                continue
            if run.stop_sent_ms < before_ms:
                run.stop_sent_ms = now_ms
                repeated.append(StopAction(run.run_id, run.endpoint))
        return repeated

    def tick(self, now_ms: float) -> None:
        """Do what time alone brings: lost traces, strangers to stop, old numbers to forget."""
        self._end_traces(now_ms)
        self._stop_foreign(now_ms)
        self._drop_hopeless(now_ms)
        self._judge_running(now_ms)
        for candidate in self._candidates.values():
            candidate.room.unreserve_expired(now_ms)
        for key, cancelled_ms in list(self._cancelled.items()):
            if now_ms - cancelled_ms >= _CANCEL_REMEMBERED_MS:
                del self._cancelled[key]
        while self._past:
            task = next(iter(self._past))
            if now_ms - self._past[task].ended_ms < _NUMBERS_KEPT_MS:
                break
            del self._past[task]

    def place(self, now_ms: float) -> None:
        """Start what there is room for, and claim what waits elsewhere for the rest."""
        placing = place(self._waiting, self._remote, self._candidates, self._speeds, now_ms)
        for run, endpoint in placing.placed:
            run.enter(RunState.STARTING, now_ms, endpoint)
            self._starts.append(StartAction(run.run_id, endpoint, run.spec.text))
        self._claims.extend(ClaimAction(*claimed) for claimed in placing.claimed)

    def _is_late_submit(self, holder: HolderId, job_id: str, now_ms: float) -> bool:
        """Return whether the box has cancelled this job since it sent this message."""
        cancelled_ms = self._cancelled.get((holder, job_id))
        return cancelled_ms is not None and now_ms - cancelled_ms < _CANCEL_REMEMBERED_MS

    def _admit(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> SubmitReply:
        """Refuse a job at once that would have to wait for too long, else take it."""
        taken = SubmitReply(SubmitStatus.TAKEN)
        if any(order.is_resumed or order.is_moved or order.attempt > 1 for order in message.orders):
            return taken
        if self._is_warming_up(now_ms):
            return taken
        order = message.orders[0]
        if order.step:
            return taken
        group = self._waiting.get(GroupId(message.job_id, message.repeat, order.step))
        if group is None or len(group.waiting) < len(message.orders):
            return taken
        wait_ms = expected_wait_ms(
            group,
            self._waiting.groups,
            self._remote.claimable(now_ms),
            self._room(now_ms),
            now_ms,
        )
        if not is_too_late(group, wait_ms, now_ms):
            return taken
        self.cancel(holder, message.job_id, now_ms)
        return SubmitReply(SubmitStatus.REFUSED, "overload", retry_after_ms(wait_ms))

    def _is_warming_up(self, now_ms: float) -> bool:
        """Return whether endpoints may not have been looked at yet: room is not known then."""
        if not self._first_ms:
            self._first_ms = now_ms
        return now_ms - self._first_ms < _WARM_UP_MS

    def _room(self, now_ms: float) -> EndpointRoom:
        """Return the room of this zone and of those that were heard lately."""
        in_use = [one.room for one in self._candidates.values() if one.is_open(now_ms)]
        loads = [
            heard.load for heard in self._loads.values() if now_ms - heard.heard_ms < VIEW_KEPT_MS
        ]
        total = sum(room.capacity.cpu_milli for room in in_use)
        free = sum(max(0, room.free.cpu_milli) for room in in_use)
        return EndpointRoom(
            total + sum(load.total_milli for load in loads),
            free + sum(load.free_milli for load in loads),
        )

    def _use_reservation(self, key: GroupId) -> None:
        """Give back the room that was kept for a run which has come."""
        reservations = self._reservations.get(key)
        if not reservations:
            return
        self._unreserve(reservations.pop())
        if not reservations:
            del self._reservations[key]

    def _unreserve(self, reservation: Reservation) -> None:
        candidate = self._candidates.get(reservation.endpoint)
        if candidate is not None:
            candidate.room.unreserve(reservation.number)

    def _drop_hopeless(self, now_ms: float) -> None:
        """Let go of what waits and can't earn anything any more, and say so at once."""
        for group in self._waiting.groups:
            if tier_of(group, now_ms) != HOPELESS:
                continue
            for run in list(group.waiting.values()):
                end = RunEnd(run.run_id, EndCause.HOPELESS, has_started=run.was_ordered)
                self._tell_holders(run, end)
                self._forget(run)
                self._keep_past(run, now_ms)

    def _judge_running(self, now_ms: float) -> None:
        """Learn from runs that take too long, and start those elsewhere that stand still."""
        for run in list(self._runs.values()):
            if run.state is not RunState.RUNNING or not run.began_ms:
                continue
            group = self._waiting.group(run)
            ran_ms = now_ms - run.began_ms
            if ran_ms <= _OVERDUE_FACTOR * group.expected_ms:
                continue
            self._speeds.note_overdue(run.endpoint, ran_ms, group.expected_ms)
            is_stuck = ran_ms > _STUCK_FACTOR * group.longest_ms + _STUCK_MIN_MS
            if is_stuck and now_ms < group.late_start_by():
                self._stop(run, now_ms)

    def _take(
        self,
        holder: HolderId,
        task: TaskId,
        spec: RunSpec,
        order: RunOrder,
        bound: TraceBound,
        now_ms: float,
    ) -> None:
        known = self._runs.get(task)
        if known is not None:
            known.holders[holder] = max(order.delivery, known.holders.get(holder, 0))
            return
        past = self._past.get(task)
        if past is not None and 0 < order.delivery <= past.deliveries.get(holder, 0):
            # A late copy of a message whose runs are over here, and may be elsewhere by now.
            return
        told = None if past is None else past.end
        # An earlier run's end says nothing of a later one, unless the task is done.
        if told is not None and order.is_resumed and told.cause is EndCause.DONE:
            self._ends.append(EndAction(holder, told._replace(delivery=order.delivery)))
            return
        attempt = order.attempt
        if past is not None:
            attempt = max(attempt, past.attempt + 1)
        state = RunState.TRACED if order.is_resumed else RunState.QUEUED
        run = Run(task, attempt, spec, state, now_ms)
        run.holders[holder] = order.delivery
        run.traced_until = bound
        self._runs[task] = run
        self._tasks_of_job.setdefault(task.job_id, set()).add(task)
        # Also a run that no earlier owner is said to know may be there: its box has died.
        if not self._adopt_foreign(run, now_ms) and state is RunState.QUEUED:
            self._waiting.add(run)

    def _adopt_foreign(self, run: Run, now_ms: float) -> bool:
        """Take over a run that an endpoint lists already; return whether one does."""
        for endpoint, candidate in self._candidates.items():
            foreign = candidate.foreign.get(run.task)
            if foreign is None:
                continue
            run.attempt = foreign.attempt
            del candidate.foreign[run.task]
            candidate.room.release(run.task)
            candidate.room.charge(run.task, run.spec.demand)
            run.enter(RunState.RUNNING, now_ms, endpoint)
            return True
        return False

    def _let_go(self, holder: HolderId, task: TaskId, now_ms: float) -> None:
        run = self._runs[task]
        run.holders.pop(holder, None)
        if run.holders:
            return
        if run.state in (RunState.QUEUED, RunState.TRACED):
            self._forget(run)
            return
        if run.state is not RunState.STOPPING:
            self._stop(run, now_ms)

    def _stop(self, run: Run, now_ms: float) -> None:
        endpoint = run.endpoint
        run.enter(RunState.STOPPING, now_ms, endpoint)
        run.stop_sent_ms = now_ms
        self._stops.append(StopAction(run.run_id, endpoint))

    def _start_again(self, run: Run, outcome: CallOutcome, endpoint: str, now_ms: float) -> None:
        """Queue a run that certainly did not start."""
        candidate = self._candidates.get(endpoint)
        if outcome is CallOutcome.OLD_RUN:
            run.attempt += 1
        elif outcome is CallOutcome.INVALID:
            self._finish(run, EndCause.REFUSED, "", now_ms)
            return
        elif outcome is CallOutcome.OTHER_LIFE:
            self.distrust(endpoint)
        elif candidate is not None:
            pause = _UNHEALTHY_PAUSE_MS if outcome is CallOutcome.REFUSED else _NO_ROOM_PAUSE_MS
            candidate.blocked_until_ms = now_ms + pause
        run.enter(RunState.QUEUED, now_ms)
        self._waiting.add(run)

    def _note_end(self, candidate: Candidate, end: EndedRun, now_ms: float) -> None:
        endpoint = candidate.record.endpoint
        task = end.run_id.task
        run = self._runs.get(task)
        candidate.foreign.pop(task, None)
        if run is None:
            self._remember(task, end, endpoint, now_ms)
            return
        if run.attempt > end.run_id.attempt:
            return
        if run.state is RunState.TRACED and end.how is not EndKind.DONE:
            # Its box may not know of a later run that an earlier owner started elsewhere.
            run.attempt = end.run_id.attempt
        elif run.state is RunState.TRACED or run.endpoint == endpoint:
            run.attempt = end.run_id.attempt
            run.endpoint = endpoint
            self._finish(run, _CAUSES[end.how], end.checkpoint, now_ms)

    def _remember(self, task: TaskId, end: EndedRun, endpoint: str, now_ms: float) -> None:
        """Keep an end that nobody waits for now; an earlier owner's box may ask for it."""
        known = self._past.get(task)
        if known is not None and known.attempt >= end.run_id.attempt:
            return
        told = RunEnd(end.run_id, _CAUSES[end.how], endpoint, 0, end.checkpoint)
        self._past.pop(task, None)
        self._past[task] = _Past(end.run_id.attempt, now_ms, told, True, {})

    def _compare(
        self, candidate: Candidate, present: set[RunId], looked_ms: float, now_ms: float
    ) -> None:
        """Hold what an endpoint lists as present against what is thought to be there."""
        endpoint = candidate.record.endpoint
        for run_id in present:
            run = self._runs.get(run_id.task)
            if run is not None and run.state in (RunState.TRACED, RunState.QUEUED):
                self._waiting.remove(run.task)
                run.attempt = run_id.attempt
                candidate.room.charge(run.task, run.spec.demand)
                run.enter(RunState.RUNNING, now_ms, endpoint)
            elif run is None or run.endpoint != endpoint or run.attempt != run_id.attempt:
                candidate.foreign.setdefault(run_id.task, ForeignRun(run_id.attempt, now_ms))
        listed = {run_id.task for run_id in present}
        for task in list(candidate.foreign):
            if task not in listed:
                del candidate.foreign[task]
        for task in candidate.room.tasks:
            run = self._runs.get(task)
            if run is None or run.endpoint != endpoint:
                candidate.room.release(task)
            elif run.run_id not in present and max(run.since_ms, run.stop_known_ms) < looked_ms:
                self._note_absent(run, now_ms)

    def _note_absent(self, run: Run, now_ms: float) -> None:
        """Judge a run of which a look, sent after its order, lists neither run nor end."""
        if run.state is RunState.RUNNING:
            self._finish(run, EndCause.LOST, "", now_ms)
        elif run.state is RunState.STOPPING and run.stop_known_ms:
            self._finish(run, EndCause.STOPPED, "", now_ms)

    def _end_traces(self, now_ms: float) -> None:
        traced = [run for run in self._runs.values() if run.state is RunState.TRACED]
        for run in traced:
            if now_ms >= run.traced_until.lost_at_ms or self._is_found_nowhere(run):
                self._finish(run, EndCause.LOST, "", now_ms)

    def _is_found_nowhere(self, run: Run) -> bool:
        """Return whether every endpoint of the service was looked at after it could start."""
        if not self._knows_all_endpoints:
            return False
        after = run.traced_until.reports_after_ms
        return all(
            self._looked_ms.get(endpoint, 0.0) > after
            for endpoint, candidate in self._candidates.items()
            if candidate.record.service == run.spec.service
        )

    def _stop_foreign(self, now_ms: float) -> None:
        """Stop what nobody claims: the box that wanted it is gone."""
        for endpoint, candidate in self._candidates.items():
            for task, known in candidate.foreign.items():
                if now_ms - known.noted_ms > _FOREIGN_GRACE_MS:
                    candidate.foreign[task] = known._replace(noted_ms=now_ms)
                    self._stops.append(StopAction(RunId(task, known.attempt), endpoint))

    def _finish(self, run: Run, cause: EndCause, checkpoint: str, now_ms: float) -> None:
        """Tell the holders of a run's end, or start it anew if the stop was not theirs."""
        endpoint = run.endpoint
        ran_ms = int(now_ms - run.began_ms) if run.began_ms else 0
        was_stopping = run.state is RunState.STOPPING
        if cause is EndCause.DONE and not was_stopping and ran_ms:
            self._learn(run, ran_ms)
        self._release(run)
        if was_stopping and run.holders and cause is not EndCause.DONE:
            run.attempt += 1
            run.enter(RunState.QUEUED, now_ms)
            self._waiting.add(run)
            return
        self._tell_holders(run, RunEnd(run.run_id, cause, endpoint, ran_ms, checkpoint))
        self._forget(run)
        self._keep_past(run, now_ms)

    def _tell_holders(self, run: Run, end: RunEnd) -> None:
        """Tell everyone who wants *run* of its end, under the number that each knows."""
        self._ends.extend(
            EndAction(holder, end._replace(delivery=delivery))
            for holder, delivery in run.holders.items()
        )

    def _keep_past(self, run: Run, now_ms: float) -> None:
        """Remember a run that is known no more, so that no late message revives it."""
        before = self._past.pop(run.task, None)
        deliveries = {} if before is None else before.deliveries
        has_started = run.was_ordered or (before is not None and before.has_started)
        self._past[run.task] = _Past(
            run.attempt, now_ms, None, has_started, deliveries | run.holders
        )

    def _learn(self, run: Run, ran_ms: float) -> None:
        """Learn from a run that is done, about its endpoint, its job and its queue."""
        group = self._waiting.group(run)
        self._speeds.note(run.endpoint, ran_ms, group.expected_ms)
        work_ms = ran_ms * self._speeds.speed_of(run.endpoint)
        group.note_done(work_ms)
        self._estimates.note(run.spec.queue, run.spec.estimate_ms, work_ms)

    def _release(self, run: Run) -> None:
        candidate = self._candidates.get(run.endpoint)
        if candidate is not None:
            candidate.room.release(run.task)

    def _forget(self, run: Run) -> None:
        self._waiting.remove(run.task)
        self._runs.pop(run.task, None)
        tasks = self._tasks_of_job.get(run.task.job_id)
        if tasks is None:
            return
        tasks.discard(run.task)
        key = group_of(run.task)
        if not any(group_of(task) == key for task in tasks):
            self._waiting.forget(key)
        if not tasks:
            del self._tasks_of_job[run.task.job_id]
