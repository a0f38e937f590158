# SPDX-License-Identifier: MIT
"""State machine of a zone owner: the runs and endpoints of its zone.

Owns the placement candidates and the poll times of their reports, and delegates the rest to the
modules for deliveries, admission, run lifecycle, reports, recovery, stragglers and work stealing.
It performs no I/O and reads no clock: events are method calls that carry the time, and the
resulting actions are popped from :attr:`OwnerState.actions`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from foldloom.seed_discovery.endpoints.calls import CallOutcome, EndpointReport
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import ZoneLoad
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import Actions, StealAction, StopAction
from foldloom.seed_discovery.owners.admission import Admission
from foldloom.seed_discovery.owners.crashed_endpoints import end_runs_over_crash_limit, note_crash
from foldloom.seed_discovery.owners.deliveries import Deliveries, newest_delivery
from foldloom.seed_discovery.owners.earlier_terms import EarlierTerms
from foldloom.seed_discovery.owners.lease_expiry import finish_expired, has_overdue_stop
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.loads import zone_load
from foldloom.seed_discovery.owners.messages import (
    EndpointBinding,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
    TaskCrashes,
    TaskReport,
)
from foldloom.seed_discovery.owners.orders import handle_start_outcome, handle_stop_outcome
from foldloom.seed_discovery.owners.recovery import end_lost
from foldloom.seed_discovery.owners.reports import orphans_to_stop, reconcile
from foldloom.seed_discovery.owners.stealing import WorkStealing, release_runs
from foldloom.seed_discovery.owners.stragglers import handle_stragglers
from foldloom.seed_discovery.owners.unattainable import retire_unattainable
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.overload import OverloadControl
from foldloom.seed_discovery.scheduling.placing import place
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, GroupSummary
from foldloom.seed_discovery.scheduling.run_queue import RunQueue
from foldloom.seed_discovery.scheduling.runs import HolderId, Run, RunState

# Groups of queued runs that one offer to other zones lists, the next in order first.
OFFERED_GROUPS_MAX = 8


def _never(_endpoint: str) -> bool:
    """Return ``False``: the endpoint is not known to have ended."""
    return False


class OwnerState:
    """The runs and endpoints of one zone during one term of its owner.

    Args:
        run_expiry_ms: Longest time that a run can outlast its owner's session.
        all_endpoints: Returns the endpoint records of all zones; empty while the catalog may be
            incomplete.
        overload: The rejection of new jobs while this box is late.
        has_ended: Returns whether an endpoint that is not a candidate has certainly ended.
        earlier_terms: What is known of the zone's earlier owners.
    """

    def __init__(
        self,
        run_expiry_ms: float,
        all_endpoints: Callable[[], Sequence[EndpointRecord]] = tuple,
        overload: OverloadControl | None = None,
        has_ended: Callable[[str], bool] = _never,
        earlier_terms: EarlierTerms | None = None,
    ) -> None:
        self._has_ended = has_ended
        self._earlier_terms = earlier_terms or EarlierTerms()
        self._candidates: dict[str, ZoneEndpoint] = {}
        self._last_polled_ms: dict[str, float] = {}
        self.actions = Actions()
        self._lifecycle = RunLifecycle(self._candidates, self.actions)
        self._unanswered_starts = self._lifecycle.unanswered_starts
        self._stealing = WorkStealing(self._candidates)
        self._deliveries = Deliveries(
            self._lifecycle, self._stealing, self._candidates, run_expiry_ms
        )
        self._admission = Admission(
            self._lifecycle.run_queue,
            self._stealing,
            self._candidates,
            all_endpoints,
            overload or OverloadControl(),
        )

    @property
    def candidates(self) -> dict[str, ZoneEndpoint]:
        """The zone's endpoints by id."""
        return self._candidates

    @property
    def run_queue(self) -> RunQueue:
        """The queued runs."""
        return self._lifecycle.run_queue

    def load(self, now_ms: float) -> ZoneLoad:
        """Return the zone's load."""
        return zone_load(self._candidates.values(), self.run_queue, now_ms)

    def speed_of(self, endpoint: str) -> float:
        """Return the estimated speed of *endpoint* relative to the median endpoint."""
        return self._lifecycle.speeds.speed_of(endpoint)

    def current_run(self, task: TaskId) -> Run | None:
        """Return the current run of *task*, if any."""
        return self._lifecycle.get(task)

    @property
    def task_reports(self) -> list[TaskReport]:
        """The crash counts and bindings of all tasks, as reported to the boxes."""
        counts = self._lifecycle.crashes.counts
        crashes = [TaskCrashes(task, count) for task, count in counts.items()]
        return [*crashes, *self._unanswered_starts.bindings]

    def crashes_of(self, task: TaskId) -> CrashCount:
        """Return the number of endpoint crashes during runs of *task*."""
        return self._lifecycle.crashes.count_of(task)

    # Requests from entry boxes.

    def submit(
        self,
        holder: HolderId,
        message: SubmitRuns,
        now_ms: float,
        earlier_endpoints: frozenset[str] | None = None,
    ) -> SubmitReply:
        """Queue the runs of *message* for *holder*, or refuse them.

        Args:
            holder: The box incarnation that delivers.
            message: The delivery.
            now_ms: Own monotonic clock.
            earlier_endpoints: The endpoints on which earlier owners may have started these runs;
                ``None`` if they are not known.
        """
        if self._deliveries.was_cancelled(holder, message, now_ms):
            return SubmitReply(SubmitStatus.REFUSED, "cancelled")
        rejection = self._reject_new_job(message)
        if rejection is not None:
            self._deliveries.note_rejected(holder, message, now_ms)
            return rejection
        for binding in message.bindings:
            self.adopt(binding, now_ms)
            # The order of another owner may be executed, whatever becomes of these runs.
            self._lifecycle.started.note(message.job_id, now_ms + message.deadline_ms)
        self._deliveries.deliver(holder, message, now_ms, earlier_endpoints)
        end_runs_over_crash_limit(self._lifecycle, message, now_ms)
        reply = self._admission.decide(message, now_ms)
        if reply.status is SubmitStatus.REFUSED:
            self.cancel(holder, message.job_id, now_ms, newest_delivery(message))
        return reply

    def _reject_new_job(self, message: SubmitRuns) -> SubmitReply | None:
        """Return the rejection of a job that this owner does not know and is too late to take.

        A job with bindings may have been started by another owner.
        """
        if message.bindings or self._lifecycle.runs_of_job(message.job_id):
            return None
        if self._lifecycle.started.has_moved_runs(message.job_id):
            return None
        return self._admission.reject_while_late(message)

    def adopt(self, binding: EndpointBinding, now_ms: float) -> None:
        """Bind a task by the order of another owner, unless its endpoint lists the run."""
        task, attempt = binding.run_id
        candidate = self._candidates.get(binding.endpoint)
        orphan = None if candidate is None else candidate.orphans.get(task)
        is_listed = orphan is not None and orphan.attempt == attempt
        if is_listed or self._is_running(binding.run_id, binding.endpoint):
            self.actions.report(binding._replace(is_lifted=True))
            return
        self._unanswered_starts.adopt(binding, now_ms)

    def _is_running(self, run_id: RunId, endpoint: str) -> bool:
        """Return whether *run_id* is its task's current run, and running on *endpoint*."""
        run = self._lifecycle.get(run_id.task)
        if run is None or run.state is not RunState.RUNNING:
            return False
        return (run.run_id, run.endpoint) == (run_id, endpoint)

    def cancel(self, holder: HolderId, job_id: str, now_ms: float, delivery: int = 0) -> bool:
        """Release *holder*'s runs of a job; return whether any run of the job may have started.

        Args:
            holder: The box incarnation that cancels.
            job_id: The job.
            now_ms: Own monotonic clock.
            delivery: Highest delivery number that is cancelled; 0 for all.
        """
        return self._deliveries.cancel(holder, job_id, delivery, now_ms)

    def end_session(self, holder: HolderId, ended_ms: float) -> None:
        """Release all runs of *holder*, whose session ended at *ended_ms*."""
        for run in self._lifecycle.runs:
            if holder in run.holders:
                self._lifecycle.release_holder(holder, run, ended_ms)

    # Other zones.

    def note_offer(self, zone: str, groups: list[GroupSummary], now_ms: float) -> None:
        """Record the queued groups that the owner of another zone offers."""
        self._stealing.remote.note_offer(zone, groups, now_ms)

    def note_load(self, zone: str, load: ZoneLoad, now_ms: float) -> None:
        """Record the load of another zone."""
        self._stealing.note_load(zone, load, now_ms)

    def offer(self, now_ms: float) -> list[GroupSummary]:
        """Return summaries of the queued groups, to be offered to other zones."""
        bound_tasks = self._unanswered_starts.bound_endpoints
        return self.run_queue.summaries(now_ms, OFFERED_GROUPS_MAX, bound_tasks)

    def release_to_zone(self, key: GroupId, runs: int, zone: str, now_ms: float) -> int:
        """Hand up to *runs* queued runs of a group to another zone; return the number handed over.

        Their boxes are notified to deliver them to the owner of *zone*. Runs of bound tasks stay.
        """
        return release_runs(self._lifecycle, key, runs, zone, now_ms)

    def handle_steal_reply(self, action: StealAction, granted: int) -> None:
        """Record that the owner of the other zone granted *granted* of the requested runs."""
        self._stealing.settle_reservations(action, granted)

    # Endpoints.

    def update_endpoint(self, record: EndpointRecord) -> None:
        """Add an endpoint, or update its record."""
        known = self._candidates.get(record.endpoint)
        if known is None:
            self._candidates[record.endpoint] = ZoneEndpoint(record)
            return
        known.update_record(record)

    def stop_runs(self, endpoint: str, now_ms: float) -> None:
        """Order the stop of all runs on an endpoint that has deregistered, except starting ones.

        They would end with the endpoint. A confirmed stop shows when, so that their tasks can start
        elsewhere at once.
        """
        for task in self._candidates[endpoint].resources.tasks:
            run = self._lifecycle.get(task)
            if run is not None and run.endpoint == endpoint and run.state is RunState.RUNNING:
                self._lifecycle.stop(run, now_ms)

    def remove_endpoint(self, endpoint: str, now_ms: float) -> None:
        """Remove an endpoint that has certainly ended or has no runs; finish those it had."""
        self.handle_lease_expiry(endpoint, now_ms)
        self._unanswered_starts.end_incarnation(endpoint)
        self._candidates.pop(endpoint, None)
        self._last_polled_ms.pop(endpoint, None)
        self._lifecycle.speeds.remove(endpoint)

    def begin_incarnation(self, endpoint: str, now_ms: float) -> None:
        """Handle a new incarnation of *endpoint* under the same id.

        Runs of the previous incarnation are not finished yet: the new one has the same id and may
        have executed a start meant for its predecessor. Its first report decides which runs are
        present; without a report they finish when the leases expire. Unanswered starts may still
        reach the new incarnation, so it is ordered to stop them.
        """
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return
        note_crash(self._lifecycle, candidate, now_ms)
        candidate.begin_incarnation()
        self._unanswered_starts.end_incarnation(endpoint)
        for stop in self._unanswered_starts.stops_due((endpoint,), now_ms, now_ms):
            self.actions.stop(stop)
        self._last_polled_ms.pop(endpoint, None)
        self._lifecycle.speeds.remove(endpoint)

    def unanswered_starts_until_ms(self, endpoint: str) -> float:
        """Return until when unanswered start orders to *endpoint* may be executed."""
        return self._unanswered_starts.expires_ms(endpoint)

    def exclude_from_placement(self, endpoint: str) -> None:
        """Exclude an endpoint from placement until its next report."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.has_current_report = False

    def note_unresponsive(self, endpoint: str, now_ms: float) -> bool:
        """Exclude an endpoint that did not answer a check; return whether it was not before."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return False
        was_unresponsive = candidate.is_unresponsive
        candidate.unresponsive_at_ms = now_ms
        return not was_unresponsive

    def note_responding(self, endpoint: str) -> bool:
        """Include an endpoint that has answered a check; return whether it was excluded before."""
        candidate = self._candidates.get(endpoint)
        if candidate is None or not candidate.is_unresponsive:
            return False
        candidate.unresponsive_at_ms = 0.0
        return True

    def handle_unanswered_poll(self, endpoint: str) -> None:
        """Handle an unanswered poll of an endpoint."""
        self.exclude_from_placement(endpoint)
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.is_silent = True

    def handle_crash(self, endpoint: str, now_ms: float) -> None:
        """Handle the crash of the current incarnation of *endpoint*."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            note_crash(self._lifecycle, candidate, now_ms)

    def handle_other_id(self, endpoint: str, now_ms: float) -> None:
        """Handle an answer by another id, or by none any more, at the address of *endpoint*.

        The incarnation has ended, and no order meant for it can be executed any more.
        """
        self.handle_crash(endpoint, now_ms)
        self._unanswered_starts.discard_all(endpoint)

    def handle_lease_expiry(self, endpoint: str, now_ms: float) -> None:
        """Finish the runs on *endpoint*: every lease there has certainly expired."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            finish_expired(self._lifecycle, candidate, now_ms)

    def has_left(self, endpoint: str) -> bool:
        """Return whether *endpoint* has deregistered for good."""
        candidate = self._candidates.get(endpoint)
        return candidate is not None and candidate.record.has_left

    def has_overdue_stop(self, endpoint: str, before_ms: float) -> bool:
        """Return whether a run there has been stopping since before *before_ms*."""
        candidate = self._candidates.get(endpoint)
        return candidate is not None and has_overdue_stop(self._lifecycle, candidate, before_ms)

    def lease_limit_ms(self, endpoint: str) -> float:
        """Return by when a lease of *endpoint* must have expired; infinity without a limit."""
        candidate = self._candidates.get(endpoint)
        return float("inf") if candidate is None else self._earlier_terms.lease_limit_ms(candidate)

    def earlier_confirmed_ms(self, now_ms: float) -> float:
        """Return when the boxes of earlier terms' runs were last known to be alive.

        Infinity if no such run is on an endpoint, but for those that boxes have delivered.
        """
        has_runs = self._earlier_terms.may_have_runs(self._candidates.values(), now_ms)
        return self._earlier_terms.confirmed_ms if has_runs else float("inf")

    @property
    def unwanted_since_ms(self) -> float:
        """Since when a run has been stopping that no box wants; infinity if there is none."""
        return min(
            (
                run.since_ms
                for run in self._lifecycle.in_state(RunState.STOPPING)
                if not run.holders
            ),
            default=float("inf"),
        )

    def report(self, report: EndpointReport, now_ms: float) -> None:
        """Reconcile the runs with an endpoint's report."""
        candidate = self._candidates.get(report.endpoint)
        if candidate is None:
            return
        for end in report.ended:
            self._unanswered_starts.discard(end.run_id, report.endpoint)
        candidate.note_heard(report.polled_ms, now_ms)
        reconcile(self._lifecycle, candidate, report, now_ms)
        for active in report.active:
            if self._is_running(active.run_id, report.endpoint):
                self._unanswered_starts.discard(active.run_id, report.endpoint)
        self._last_polled_ms[report.endpoint] = report.polled_ms
        candidate.has_current_report = candidate.has_current_record(report.born_ms)
        candidate.has_reported = True
        candidate.note_polled(report.polled_ms)
        candidate.is_silent = False
        candidate.mark_alive()

    def handle_start_outcome(
        self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float
    ) -> None:
        """Handle the outcome of a start order."""
        if outcome is CallOutcome.UNKNOWN:
            self._unanswered_starts.add(run_id, endpoint, now_ms)
        elif outcome is not CallOutcome.DONE:
            self._unanswered_starts.discard(run_id, endpoint)
        handle_start_outcome(self._lifecycle, self._candidates, run_id, endpoint, outcome, now_ms)

    def handle_stop_outcome(
        self, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float
    ) -> None:
        """Handle the outcome of a stop order."""
        if outcome is CallOutcome.DONE:
            self._unanswered_starts.note_stopped(run_id, endpoint)
        handle_stop_outcome(self._lifecycle, run_id, endpoint, outcome, now_ms)

    def stops_to_retransmit(self, before_ms: float, now_ms: float) -> list[StopAction]:
        """Return the unconfirmed stops last sent before *before_ms*, for retransmission."""
        stops = self._lifecycle.retransmit_stops(before_ms, now_ms)
        answering = {
            name for name, candidate in self._candidates.items() if not candidate.is_silent
        }
        stops += self._unanswered_starts.stops_due(answering, before_ms, now_ms)
        return list(dict.fromkeys(stops))

    # Time.

    def tick(self, now_ms: float) -> None:
        """Apply timeouts: lost and overdue runs, orphaned runs, expired records."""
        end_lost(
            self._lifecycle,
            self._candidates,
            self._last_polled_ms,
            self._has_ended,
            now_ms,
        )
        orphans_expire_ms = self._earlier_terms.orphans_expire_ms
        for endpoint, run_id in orphans_to_stop(self._candidates, orphans_expire_ms, now_ms):
            self.actions.stop(StopAction(run_id, endpoint))
        retire_unattainable(self._lifecycle, now_ms)
        handle_stragglers(self._lifecycle, self._last_polled_ms, now_ms)
        self._lifecycle.speeds.age(now_ms)
        for candidate in self._candidates.values():
            candidate.resources.expire_reservations(now_ms)
        self._deliveries.expire_cancels(now_ms)
        self._lifecycle.tombstones.expire(now_ms)
        self._lifecycle.started.expire(now_ms)
        self._unanswered_starts.expire(now_ms)
        self._lifecycle.crashes.expire(now_ms)

    def place(self, now_ms: float) -> None:
        """Start queued runs that fit, and request runs of other zones for the spare capacity."""
        placing = place(
            self.run_queue,
            self._stealing.remote,
            self._candidates,
            self._lifecycle.speeds,
            now_ms,
            self._lifecycle.crashes.isolations,
            self._unanswered_starts.bound_endpoints,
        )
        for run, endpoint in placing.placed:
            self._lifecycle.start(run, endpoint, now_ms)
        for request in placing.steal_requests:
            self.actions.steal(StealAction(*request))
