# SPDX-License-Identifier: MIT
"""The runs that an owner knows, and every change of a run's state.

Owns the table of runs, their tombstones, the list of started jobs, the crashes of endpoints under
tasks and the room that runs take on endpoints. Relies on the queue of waiting runs, the endpoints'
rooms and speeds, which it is given. A run is in one state:

| state | event | next state | what happens |
|---|---|---|---|
| (none) | a box delivers it | QUEUED | it waits for room |
| (none) | it is delivered to a new owner | RECOVERING | endpoints' reports are awaited |
| (none), QUEUED, RECOVERING | an endpoint lists it as present | RUNNING | it is adopted |
| QUEUED | it is placed | STARTING | an order to start is sent |
| STARTING | the endpoint took the order | RUNNING | |
| STARTING | the endpoint refused the order | QUEUED | it waits again; an invalid one has ended |
| STARTING | no answer | STOPPING | the start may still be carried out: an order to stop is sent |
| RUNNING | no box wants it, or it is stuck | STOPPING | an order to stop is sent |
| RUNNING, STOPPING | its end is listed, or it is certainly gone | (none) | boxes are notified |
| STOPPING | the same, not done, and a box wants it | QUEUED | the next attempt waits |
| RECOVERING | it is found nowhere | (none) | boxes are notified that it is lost |
| QUEUED, RECOVERING | no box wants it | (none) | it is dropped |

The promise that holds here: of one task at most one run is present, and another one starts only
once the one before is certainly on no endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.actions import Actions, NotifyAction, StartAction, StopAction
from foldloom.seed_discovery.owners.crash_records import CrashRecords
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd
from foldloom.seed_discovery.owners.started_jobs import StartedJobs
from foldloom.seed_discovery.owners.tombstones import Tombstones
from foldloom.seed_discovery.scheduling.crashes import is_given_up
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.estimates import Estimates
from foldloom.seed_discovery.scheduling.runs import HolderId, Run, RunState
from foldloom.seed_discovery.scheduling.sharing import group_of
from foldloom.seed_discovery.scheduling.speeds import EndpointSpeeds
from foldloom.seed_discovery.scheduling.waiting import WaitingRuns


class RunLifecycle:
    """The runs of one zone's endpoints.

    Args:
        candidates: The endpoints by id.
        actions: Takes what is to be carried out.
    """

    def __init__(self, candidates: Mapping[str, ZoneEndpoint], actions: Actions) -> None:
        self._candidates = candidates
        self._actions = actions
        self._runs: dict[TaskId, Run] = {}
        # Dicts for their order, which sets do not have: runs are stopped and dropped in turn.
        self._tasks_by_job: dict[str, dict[TaskId, None]] = {}
        self._estimates = Estimates()
        self.waiting = WaitingRuns(self._estimates)
        self.speeds = EndpointSpeeds()
        self.tombstones = Tombstones()
        self.started = StartedJobs()
        self.crashes = CrashRecords()

    @property
    def runs(self) -> list[Run]:
        """All runs that are known, the oldest first."""
        return list(self._runs.values())

    def get(self, task: TaskId) -> Run | None:
        """Return the present run of *task*, if any."""
        return self._runs.get(task)

    def runs_of_job(self, job_id: str) -> list[Run]:
        """Return the runs of a job."""
        return [self._runs[task] for task in self._tasks_by_job.get(job_id, ())]

    def in_state(self, state: RunState) -> list[Run]:
        """Return the runs in *state*."""
        return [run for run in self._runs.values() if run.state is state]

    def add(self, run: Run) -> None:
        """Know *run*, which a box has delivered; it is queued or recovering."""
        self._runs[run.task] = run
        self._tasks_by_job.setdefault(run.task.job_id, {})[run.task] = None

    def queue(self, run: Run, now_ms: float) -> None:
        """Queue *run*, which is on no endpoint."""
        run.enter(RunState.QUEUED, now_ms)
        self.waiting.add(run)

    def start(self, run: Run, endpoint: str, now_ms: float) -> None:
        """Have *run* started on *endpoint*, where its room is charged already."""
        self.started.note(run.task.job_id, run.spec.deadline_ms)
        run.enter(RunState.STARTING, now_ms, endpoint)
        self._actions.start(StartAction(run.run_id, endpoint, run.spec.text))

    def adopt(self, run: Run, attempt: int, endpoint: str, now_ms: float) -> None:
        """Adopt *attempt* of *run*, which *endpoint* lists as present."""
        self.started.note(run.task.job_id, run.spec.deadline_ms)
        self.waiting.remove(run.task)
        run.attempt = attempt
        room = self._candidates[endpoint].room
        # What was charged for it while no entry box had delivered it need not be what it takes.
        room.release(run.task)
        room.charge(run.task, run.spec.demand)
        run.enter(RunState.RUNNING, now_ms, endpoint)

    def stop(self, run: Run, now_ms: float) -> None:
        """Have *run* stopped where it is."""
        run.enter(RunState.STOPPING, now_ms, run.endpoint)
        run.stop_sent_ms = now_ms
        self._actions.stop(StopAction(run.run_id, run.endpoint))

    def retransmit_stops(self, before_ms: float, now_ms: float) -> list[StopAction]:
        """Return the stops that no endpoint has confirmed since *before_ms*, to be sent again."""
        retransmitted = []
        for run in self.in_state(RunState.STOPPING):
            if run.stop_known_ms or run.stop_sent_ms >= before_ms:
                continue
            run.stop_sent_ms = now_ms
            retransmitted.append(StopAction(run.run_id, run.endpoint))
        return retransmitted

    def release_holder(self, holder: HolderId, run: Run, now_ms: float) -> None:
        """Note that *holder* wants *run* no more; stop or drop it if nobody else does."""
        run.holders.pop(holder, None)
        if run.holders:
            return
        if run.state in (RunState.QUEUED, RunState.RECOVERING):
            self._drop(run)
            self.tombstones.add(run, now_ms)
            return
        if run.state is not RunState.STOPPING:
            self.stop(run, now_ms)

    def finish(self, run: Run, cause: EndCause, checkpoint: str, now_ms: float) -> None:
        """End *run*, which is on no endpoint any more; queue it again if its boxes want it.

        They do where it was stopped for the owner's own reasons.
        """
        endpoint = run.endpoint
        ran_ms = int(now_ms - run.began_ms) if run.began_ms else 0
        was_stopping = run.state is RunState.STOPPING
        if cause is EndCause.DONE and not was_stopping and ran_ms:
            self._update_estimates(run, ran_ms)
        self.release_capacity(run)
        if cause in (EndCause.DONE, EndCause.FAILED):
            self.crashes.clear(run.task)
        crashes = self.crashes.count_of(run.task)
        is_retried = was_stopping and cause is not EndCause.DONE and not is_given_up(crashes)
        if is_retried and run.holders:
            run.attempt += 1
            self.queue(run, now_ms)
            return
        end = RunEnd(run.run_id, cause, endpoint, ran_ms, checkpoint, crashes=crashes)
        self.retire(run, end, now_ms)

    def retire(self, run: Run, end: RunEnd, now_ms: float) -> None:
        """Notify the boxes that want *run* of its *end*, and leave a tombstone."""
        for holder, delivery in run.holders.items():
            self.notify(holder, end._replace(delivery=delivery))
        self._drop(run)
        self.tombstones.add(run, now_ms)

    def notify(self, holder: HolderId, end: RunEnd) -> None:
        """Notify *holder* of an *end*."""
        self._actions.notify(NotifyAction(holder, end))

    def release_capacity(self, run: Run) -> None:
        """Release the room of *run*."""
        candidate = self._candidates.get(run.endpoint)
        if candidate is not None:
            candidate.room.release(run.task)

    def _drop(self, run: Run) -> None:
        self.waiting.remove(run.task)
        self._runs.pop(run.task, None)
        tasks = self._tasks_by_job.get(run.task.job_id)
        if tasks is None:
            return
        tasks.pop(run.task, None)
        key = group_of(run.task)
        if not any(group_of(task) == key for task in tasks):
            self.waiting.forget(key)
        if not tasks:
            del self._tasks_by_job[run.task.job_id]

    def _update_estimates(self, run: Run, ran_ms: float) -> None:
        """Learn from a run that is done, about its endpoint, its step and its queue."""
        group = self.waiting.group(run)
        self.speeds.note(run.endpoint, ran_ms, group.expected_ms)
        work_ms = ran_ms * self.speeds.speed_of(run.endpoint)
        group.note_done(work_ms)
        self._estimates.note(run.spec.queue, run.spec.estimate_ms, work_ms)
