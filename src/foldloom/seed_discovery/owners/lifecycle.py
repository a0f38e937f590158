# SPDX-License-Identifier: MIT
"""Table of an owner's runs and their state transitions.

Owns the runs, the tombstones, the list of started jobs, the unanswered starts, the crash counts of
tasks, the queue, the endpoint speeds and the capacity allocated to runs. The endpoints are passed
in.

| state | event | next state | action |
|---|---|---|---|
| (none) | delivered | QUEUED | waits for capacity |
| (none) | delivered, an earlier owner may have started it | RECOVERING | awaits reports |
| (none) | delivered, and listed as orphaned by an endpoint | RUNNING | adopted |
| QUEUED, RECOVERING | listed by an endpoint | RUNNING | adopted |
| QUEUED | placed | STARTING | a start is sent |
| STARTING | start accepted | RUNNING | |
| STARTING | start refused | QUEUED | waits again; an invalid order finishes the run |
| STARTING | start unanswered | STOPPING | a stop is sent, since the start may still take effect |
| STARTING, RUNNING | no holder left | STOPPING | a stop is sent |
| RUNNING | stuck | STOPPING | a stop is sent |
| STARTING, RUNNING, STOPPING | end listed, or certainly gone | (none) | holders are notified |
| STOPPING | end other than done, below the crash limit, holder left | QUEUED | next attempt waits |
| any but QUEUED | certainly gone, task is bound, same conditions | QUEUED | next attempt waits |
| RECOVERING | listed as done, or found on no endpoint | (none) | holders are notified |
| QUEUED | stolen by another zone, or unattainable | (none) | holders are notified |
| QUEUED, RECOVERING | no holder left | (none) | dropped |

Invariant: a task has at most one run on an endpoint, and its next attempt starts only once the
previous one is certainly gone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.actions import Actions, NotifyAction, StartAction, StopAction
from foldloom.seed_discovery.owners.crash_records import CrashRecords
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd, TaskCrashes
from foldloom.seed_discovery.owners.started_jobs import StartedJobs
from foldloom.seed_discovery.owners.tombstones import Tombstones
from foldloom.seed_discovery.owners.unanswered_starts import UnansweredStarts
from foldloom.seed_discovery.scheduling.crashes import exceeds_crash_limit
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.estimates import Estimates
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, group_of
from foldloom.seed_discovery.scheduling.run_queue import RunQueue
from foldloom.seed_discovery.scheduling.runs import HolderId, Run, RunState
from foldloom.seed_discovery.scheduling.speeds import EndpointSpeeds

# Ends after which the box would deliver the task to an owner of its choice. A failure counts at the
# box and is no such end.
_CAUSES_OF_BOUND_RETRIES = frozenset({EndCause.STOPPED, EndCause.LAPSED, EndCause.LOST})


class RunLifecycle:
    """The runs of one zone.

    Args:
        candidates: The zone's endpoints by id.
        actions: Receives the resulting actions.
    """

    def __init__(self, candidates: Mapping[str, ZoneEndpoint], actions: Actions) -> None:
        self._candidates = candidates
        self._actions = actions
        self._runs: dict[TaskId, Run] = {}
        # Dicts serve as ordered sets, so that the order of actions is deterministic.
        self._tasks_by_job: dict[str, dict[TaskId, None]] = {}
        self._runs_by_state: dict[RunState, dict[TaskId, Run]] = {state: {} for state in RunState}
        self._runs_per_group: Counter[GroupId] = Counter()
        self._estimates = Estimates()
        self.run_queue = RunQueue(self._estimates)
        self.speeds = EndpointSpeeds()
        self.tombstones = Tombstones()
        self.started = StartedJobs()
        self.unanswered_starts = UnansweredStarts(actions)
        self.crashes = CrashRecords()

    @property
    def runs(self) -> list[Run]:
        """All runs, the oldest first."""
        return list(self._runs.values())

    def get(self, task: TaskId) -> Run | None:
        """Return the current run of *task*, if any."""
        return self._runs.get(task)

    def runs_of_job(self, job_id: str) -> list[Run]:
        """Return the runs of a job."""
        return [self._runs[task] for task in self._tasks_by_job.get(job_id, ())]

    def in_state(self, state: RunState) -> list[Run]:
        """Return the runs in *state*, in the order of entering it."""
        return list(self._runs_by_state[state].values())

    def add(self, run: Run) -> None:
        """Add a delivered run that is queued or recovering."""
        self._runs[run.task] = run
        self._tasks_by_job.setdefault(run.task.job_id, {})[run.task] = None
        self._runs_by_state[run.state][run.task] = run
        self._runs_per_group[group_of(run.task)] += 1

    def queue(self, run: Run, now_ms: float) -> None:
        """Queue *run*, which must not be on any endpoint."""
        self._enter(run, RunState.QUEUED, now_ms)
        self.run_queue.add(run)

    def start(self, run: Run, endpoint: str, now_ms: float) -> None:
        """Order *run* to start on *endpoint*, where its capacity is already allocated."""
        self.started.note(run.task.job_id, run.spec.deadline_ms)
        self._enter(run, RunState.STARTING, now_ms, endpoint)
        self._actions.start(StartAction(run.run_id, endpoint, run.spec.task_input))

    def confirm_start(self, run: Run, now_ms: float) -> None:
        """Mark *run* as running: its endpoint has accepted the start."""
        self._enter(run, RunState.RUNNING, now_ms, run.endpoint)

    def adopt(self, run: Run, attempt: int, endpoint: str, now_ms: float) -> None:
        """Mark *run* as running: *endpoint* lists *attempt* of it."""
        self.started.note(run.task.job_id, run.spec.deadline_ms)
        self.run_queue.remove(run.task)
        run.attempt = attempt
        resources = self._candidates[endpoint].resources
        # Releases a stale allocation, so that the task's capacity is not allocated twice.
        resources.release(run.task)
        resources.allocate(run.task, run.spec.demand)
        self._enter(run, RunState.RUNNING, now_ms, endpoint)

    def stop(self, run: Run, now_ms: float) -> None:
        """Order *run* to stop on its endpoint."""
        self._enter(run, RunState.STOPPING, now_ms, run.endpoint)
        run.stop_sent_ms = now_ms
        self._actions.stop(StopAction(run.run_id, run.endpoint))

    def retransmit_stops(self, before_ms: float, now_ms: float) -> list[StopAction]:
        """Return the unconfirmed stops last sent before *before_ms*, and mark them as sent now."""
        retransmitted = []
        for run in self.in_state(RunState.STOPPING):
            if run.stop_confirmed_ms or run.stop_sent_ms >= before_ms:
                continue
            run.stop_sent_ms = now_ms
            retransmitted.append(StopAction(run.run_id, run.endpoint))
        return retransmitted

    def release_holder(self, holder: HolderId, run: Run, now_ms: float) -> None:
        """Remove *holder* from *run*; stop or drop the run if no holder is left."""
        run.holders.pop(holder, None)
        if run.holders:
            return
        if run.state in (RunState.QUEUED, RunState.RECOVERING):
            self._drop(run)
            self.tombstones.add(run, now_ms)
            return
        if run.state is RunState.STOPPING:
            return
        if run.state is RunState.STARTING:
            # Reported now, since the job may be submitted again before the call times out.
            self.unanswered_starts.add(run.run_id, run.endpoint, now_ms)
        self.stop(run, now_ms)

    def finish(self, run: Run, cause: EndCause, checkpoint: str, now_ms: float) -> None:
        """Finish *run*, which has left its endpoint.

        A run that the owner stopped, or whose task is bound to its endpoint, is queued for another
        attempt instead if it still has holders, unless it is done or has reached the crash limit.
        """
        endpoint = run.endpoint
        ran_ms = int(now_ms - run.began_ms) if run.began_ms else 0
        was_stopping = run.state is RunState.STOPPING
        is_bound = run.task in self.unanswered_starts.bound_endpoints
        if cause is EndCause.DONE and not was_stopping and ran_ms and self._was_heard(run):
            self._update_estimates(run, ran_ms)
        self.release_capacity(run)
        crashes = self.crashes.count_of(run.task)
        if cause in (EndCause.DONE, EndCause.FAILED) and crashes.crashes:
            self.crashes.clear(run.task)
            self.report_crashes(run.task)
            crashes = self.crashes.count_of(run.task)
        is_retried = (was_stopping and cause is not EndCause.DONE) or (
            is_bound and cause in _CAUSES_OF_BOUND_RETRIES
        )
        if is_retried and run.holders and not exceeds_crash_limit(crashes):
            next_attempt = self.unanswered_starts.next_attempt(run.task)
            run.attempt = max(run.attempt + 1, next_attempt)
            self.queue(run, now_ms)
            return
        end = RunEnd(run.run_id, cause, endpoint, ran_ms, checkpoint, crashes=crashes)
        self.retire(run, end, now_ms)

    def retire(self, run: Run, end: RunEnd, now_ms: float) -> None:
        """Notify the holders of *run* of its *end*, and leave a tombstone."""
        for holder, delivery in run.holders.items():
            self.notify(holder, end._replace(delivery=delivery))
        self._drop(run)
        self.tombstones.add(run, now_ms)

    def notify(self, holder: HolderId, end: RunEnd) -> None:
        """Notify *holder* of an *end*."""
        self._actions.notify(NotifyAction(holder, end))

    def report_crashes(self, task: TaskId) -> None:
        """Report the crash count of *task* to all boxes."""
        self._actions.report(TaskCrashes(task, self.crashes.count_of(task)))

    def release_capacity(self, run: Run) -> None:
        """Release the capacity allocated to *run*."""
        candidate = self._candidates.get(run.endpoint)
        if candidate is not None:
            candidate.resources.release(run.task)

    def _enter(self, run: Run, state: RunState, now_ms: float, endpoint: str = "") -> None:
        self._runs_by_state[run.state].pop(run.task, None)
        self._runs_by_state[state][run.task] = run
        run.enter(state, now_ms, endpoint)

    def _drop(self, run: Run) -> None:
        self.run_queue.remove(run.task)
        if self._runs.pop(run.task, None) is None:
            return
        del self._runs_by_state[run.state][run.task]
        key = group_of(run.task)
        self._runs_per_group[key] -= 1
        if not self._runs_per_group[key]:
            del self._runs_per_group[key]
            self.run_queue.remove_group(key)
        tasks = self._tasks_by_job[run.task.job_id]
        del tasks[run.task]
        if not tasks:
            del self._tasks_by_job[run.task.job_id]

    def _was_heard(self, run: Run) -> bool:
        """Return whether the endpoint of *run* was heard all the time since its start.

        Otherwise the run may have ended long before its end was reported.
        """
        candidate = self._candidates.get(run.endpoint)
        return candidate is not None and run.began_ms >= candidate.heard_since_ms

    def _update_estimates(self, run: Run, ran_ms: float) -> None:
        """Update the endpoint's speed and the duration estimates of the group and the queue."""
        group = self.run_queue.group(run)
        self.speeds.record(run.endpoint, ran_ms, group.expected_ms)
        work_ms = ran_ms * self.speeds.speed_of(run.endpoint)
        self.run_queue.note_done(run, work_ms)
        self._estimates.record(run.spec.queue, run.spec.estimate_ms, work_ms)
