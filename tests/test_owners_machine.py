# SPDX-License-Identifier: MIT
"""Stateful test with owner changes, partitions and late orders: no task is on two endpoints."""

from __future__ import annotations

import os
import random
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from foldloom.seed_discovery.endpoints.calls import CallOutcome, EndKind, EndpointReport
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import StartAction, StopAction
from foldloom.seed_discovery.owners.lease import (
    LAPSE_MARGIN_MS,
    STOP_OVERDUE_MS,
    EndpointClock,
    run_expiry_ms,
)
from foldloom.seed_discovery.owners.messages import EndCause, RunOrder
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId
from models.endpoint_world import SimulatedEndpoint
from test_owners_state import endpoint, submission

_LEASE_MS = 600.0
_SESSION_MS = 400.0
_RESEND_MS = 1_300.0
_ANSWER_MS = 250.0
_JOBS = ["0" * 16, "1" * 16]
_ENDPOINTS = ["w1", "w2"]
_endpoints = st.sampled_from(_ENDPOINTS)
_jobs = st.sampled_from(_JOBS)


class Late(NamedTuple):
    """An order that arrives late, or the timeout of an answer."""

    at_ms: float
    kind: str
    endpoint: str
    run_id: RunId
    token: int
    until: float


class Term:
    """One owner's term with its estimates of the endpoints' clocks."""

    def __init__(self, token: int, now_ms: float) -> None:
        self.token = token
        self.state = OwnerState(run_expiry_ms(_LEASE_MS))
        self.clocks = {name: EndpointClock() for name in _ENDPOINTS}
        self.heard_ms = dict.fromkeys(_ENDPOINTS, now_ms)
        self.seen = dict.fromkeys(_ENDPOINTS, 0)
        self.silent: set[str] = set()
        self.lapsed: set[str] = set()
        for name in _ENDPOINTS:
            self.state.update_endpoint(endpoint(name))


class OwnersMachine(RuleBasedStateMachine):
    """Boxes submit jobs to consecutive owners, which share two endpoints."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.endpoints = {name: SimulatedEndpoint(name, 0.98) for name in _ENDPOINTS}
        self.term = Term(1, 0.0)
        self.old: Term | None = None
        self.old_right_ms = 0.0
        self.old_holders: set[HolderId] = set()
        self.late: list[Late] = []
        self.holder_of: dict[str, HolderId] = {}
        self.open: dict[TaskId, int] = {}
        self.free_at: dict[str, float] = {}
        self.lives = 0

    # Boxes and callers.

    @rule(job=_jobs)
    def submit(self, job: str) -> None:
        """Submit a job, also again after its box died."""
        if job in self.holder_of or self.now < self.free_at.get(job, 0.0):
            return
        self.lives += 1
        holder = HolderId("e", self.lives)
        self.holder_of[job] = holder
        self.term.state.submit(holder, submission(job_id=job), self.now)
        self.open[TaskId(job, 0, 0, 0)] = 1

    @rule(job=_jobs)
    def box_dies(self, job: str) -> None:
        """A box dies; its session lapses and its caller submits the job again later."""
        holder = self.holder_of.pop(job, None)
        if holder is None:
            return
        self.open.pop(TaskId(job, 0, 0, 0), None)
        self.free_at[job] = self.now + _RESEND_MS
        self._pass(_SESSION_MS)
        self.term.state.end_session(holder, self.now)
        if self.old is not None:
            self.old.state.end_session(holder, self.now)

    @rule(job=_jobs)
    def client_leaves(self, job: str) -> None:
        """A caller disconnects: its job is cancelled and may be submitted again."""
        holder = self.holder_of.pop(job, None)
        if holder is not None:
            self.open.pop(TaskId(job, 0, 0, 0), None)
            self.free_at[job] = self.now + _RESEND_MS
            self.term.state.cancel(holder, job, self.now)

    # Network and endpoints.

    @rule(name=_endpoints, is_reachable=st.booleans())
    def cut(self, name: str, is_reachable: bool) -> None:
        """Partition an endpoint from the owner, or heal the partition."""
        self.endpoints[name].is_reachable = is_reachable

    @rule(name=_endpoints, how=st.sampled_from([EndKind.DONE, EndKind.FAILED]))
    def finish(self, name: str, how: EndKind) -> None:
        """Finish all runs on an endpoint."""
        for task in list(self.endpoints[name].active):
            self.endpoints[name].finish(task, how, self.now)

    @rule(span=st.sampled_from([5.0, 50.0, 200.0, 450.0, 700.0]))
    def wait(self, span: float) -> None:
        """Advance the time."""
        self._pass(span)

    # Owners.

    @rule(name=_endpoints)
    def look(self, name: str) -> None:
        """Poll an endpoint and renew its lease."""
        self._look(self.term, name)

    @rule(fate=st.sampled_from(["done", "lost", "answer-lost", "late"]))
    def act(self, fate: str) -> None:
        """Poll all endpoints, place runs and send orders with the given outcome."""
        for name in _ENDPOINTS:
            self._look(self.term, name)
        self.term.state.tick(self.now)
        self.term.state.place(self.now)
        for stop in self.term.state.actions.pop_stops():
            self._order_stop(self.term, stop, fate)
        for start in self.term.state.actions.pop_starts():
            self._order_start(self.term, start, fate)
        self._take_ends()

    @precondition(lambda self: self.old is None)
    @rule(right_ms=st.floats(0.0, _SESSION_MS), is_dead=st.booleans())
    def new_owner(self, right_ms: float, is_dead: bool) -> None:
        """Fail over to another box; the old owner may stay alive in a partition for a while."""
        self.old = None if is_dead else self.term
        self.old_right_ms = self.now + right_ms
        self.old_holders = set(self.holder_of.values())
        self.term = Term(self.term.token + 1, self.now)
        for job, holder in self.holder_of.items():
            task = TaskId(job, 0, 0, 0)
            if task not in self.open:
                continue
            orders = [RunOrder(0, 0, self.open[task], True)]
            message = submission(job_id=job, old_right_ms=int(right_ms) + 1, orders=orders)
            self.term.state.submit(holder, message, self.now, frozenset(_ENDPOINTS))

    @precondition(lambda self: self.old is not None)
    @rule(name=_endpoints, hears_stops=st.booleans())
    def old_owner_acts(self, name: str, hears_stops: bool) -> None:
        """The old owner, which reaches all endpoints, acts within its remaining session."""
        assert self.old is not None
        if self.now >= self.old_right_ms:
            for holder in self.old_holders:
                self.old.state.end_session(holder, self.old_right_ms)
        self._look(self.old, name)
        self.old.state.place(self.now)
        for start in self.old.state.actions.pop_starts():
            if self._may_renew(self.old, start.endpoint):
                self._order_start(self.old, start, "done")
        if hears_stops:
            for stop in self.old.state.actions.pop_stops():
                self._order_stop(self.old, stop, "done")
        self.old.state.actions.pop_notifications()

    @invariant()
    def runs_once(self) -> None:
        """At most one run of a task is on any endpoint."""
        present: list[TaskId] = []
        for one in self.endpoints.values():
            one.lapse(self.now)
            present.extend(one.active)
        assert len(present) == len(set(present)), present

    def teardown(self) -> None:
        """Heal all partitions and finish all runs: each open task must be done."""
        for one in self.endpoints.values():
            one.is_reachable = True
        for _ in range(60):
            self.act("done")
            self._pass(50.0)
            for name in _ENDPOINTS:
                self.finish(name, EndKind.DONE)
        assert not self.open, self.open

    def _take_ends(self) -> None:
        for holder, end in self.term.state.actions.pop_notifications():
            job = end.run_id.task.job_id
            if self.holder_of.get(job) != holder or end.run_id.task not in self.open:
                continue
            if end.cause is EndCause.DONE:
                del self.open[end.run_id.task]
                del self.holder_of[job]
                continue
            self.open[end.run_id.task] = end.run_id.attempt + 1
            again = submission(job_id=job, run=end.run_id.attempt + 1)
            self.term.state.submit(holder, again, self.now)

    def _look(self, term: Term, name: str) -> None:
        simulated = self.endpoints[name]
        clock = term.clocks[name]
        may_renew = clock.is_known and self._may_renew(term, name)
        until = clock.order_until(self.now, _LEASE_MS) if may_renew else 0
        if not self._reaches(term, name):
            term.silent.add(name)
            term.state.exclude_from_placement(name)
            return
        sent = self.now
        answer = simulated.look(term.token, term.seen[name], until, self.now)
        if answer.outcome is not CallOutcome.DONE:
            return
        self.now += 1.0
        clock.note(answer.clock_ms, self.now)
        term.heard_ms[name] = self.now
        term.silent.discard(name)
        term.lapsed.discard(name)
        fresh = tuple(end for end in answer.ended if end.sequence > term.seen[name])
        term.seen[name] = max([term.seen[name], *(end.sequence for end in fresh)])
        term.state.report(EndpointReport(name, answer.active, fresh, sent), self.now)

    def _may_renew(self, term: Term, name: str) -> bool:
        return not term.state.has_overdue_stop(name, self.now - STOP_OVERDUE_MS)

    def _reaches(self, term: Term, name: str) -> bool:
        return term is self.old or self.endpoints[name].is_reachable

    def _order_start(self, term: Term, action: StartAction, fate: str) -> None:
        until = term.clocks[action.endpoint].order_until(self.now, _LEASE_MS)
        simulated = self.endpoints[action.endpoint]
        if not self._reaches(term, action.endpoint):
            fate = "lost"
        if fate == "done":
            outcome = simulated.start(action.run_id, term.token, until, self.now)
            term.state.handle_start_outcome(action.run_id, action.endpoint, outcome, self.now)
            return
        order = Late(0.0, "start", action.endpoint, action.run_id, term.token, until)
        if fate == "late":
            self.late.append(order._replace(at_ms=self.now + 2_000.0))
        elif fate == "answer-lost":
            simulated.start(action.run_id, term.token, until, self.now)
        self.late.append(order._replace(at_ms=self.now + _ANSWER_MS, kind="no-answer"))

    def _order_stop(self, term: Term, action: StopAction, fate: str) -> None:
        simulated = self.endpoints[action.endpoint]
        if not self._reaches(term, action.endpoint) or fate in ("lost", "late"):
            return
        outcome = simulated.stop(action.run_id, term.token, self.now)
        if fate == "done":
            term.state.handle_stop_outcome(action.run_id, action.endpoint, outcome, self.now)

    def _pass(self, span: float) -> None:
        """Advance the time in steps of an owner's tick."""
        end = self.now + span
        while self.now < end:
            self.now = min(end, self.now + 20.0)
            self._carry_out_late()
            self._tick(self.term)

    def _tick(self, term: Term) -> None:
        for name in term.silent - term.lapsed:
            lapse_ms = max(term.clocks[name].lapses_by(), term.heard_ms[name] + _LEASE_MS / 0.98)
            if self.now >= lapse_ms + LAPSE_MARGIN_MS:
                term.lapsed.add(name)
                term.state.handle_lease_expiry(name, self.now)
        for stop in term.state.stops_to_retransmit(self.now - 100.0, self.now):
            self._order_stop(term, stop, "done")
        term.state.tick(self.now)
        if term is self.term:
            self._take_ends()

    def _carry_out_late(self) -> None:
        due = [order for order in self.late if order.at_ms <= self.now]
        self.late = [order for order in self.late if order.at_ms > self.now]
        for order in due:
            if order.kind == "start":
                simulated = self.endpoints[order.endpoint]
                simulated.start(order.run_id, order.token, order.until, self.now)
            elif order.token == self.term.token:
                self.term.state.handle_start_outcome(
                    order.run_id, order.endpoint, CallOutcome.UNKNOWN, self.now
                )


OwnersMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestOwnersMachine = OwnersMachine.TestCase


class TestWalks:
    """Long random walks with realistic weights of faults."""

    _WALKS = 300
    _STEPS = 120

    def _step(self, machine: OwnersMachine, rng: random.Random) -> None:
        """Take one step."""
        name, job = rng.choice(_ENDPOINTS), rng.choice(_JOBS)
        kind = rng.choices(
            ["submit", "act", "wait", "cut", "leave", "die", "owner", "old", "finish"],
            [5, 12, 8, 3, 1, 1, 1, 4, 1],
        )[0]
        match kind:
            case "submit":
                machine.submit(job)
            case "act":
                fates = ["done", "lost", "answer-lost", "late"]
                machine.act(rng.choices(fates, [8, 1, 1, 1])[0])
            case "wait":
                machine.wait(rng.choice([5.0, 50.0, 200.0, 450.0, 700.0]))
            case "cut":
                machine.cut(name, rng.random() < 0.6)
            case "leave":
                machine.client_leaves(job)
            case "die":
                machine.box_dies(job)
            case "owner" if machine.old is None or machine.now > machine.old_right_ms + 2_000:
                machine.new_owner(rng.uniform(0.0, _SESSION_MS), rng.random() < 0.5)
            case "old" if machine.old is not None:
                machine.old_owner_acts(name, rng.random() < 0.7)
            case "finish":
                machine.finish(name, rng.choice([EndKind.DONE, EndKind.FAILED]))

    def _walk(self, seed: int) -> None:
        """Run one walk and check the invariant after each step."""
        rng = random.Random(seed)
        machine = OwnersMachine()
        for _ in range(self._STEPS):
            self._step(machine, rng)
            machine.runs_once()
        machine.teardown()
        machine.runs_once()

    def test_no_task_is_on_two_endpoints(self) -> None:
        """The invariant holds after each step, and each open task is done at the end."""
        first = int(os.environ.get("FOLDLOOM_FIRST_SEED", "0"))
        for seed in range(first, first + self._WALKS):
            try:
                self._walk(seed)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}") from error
