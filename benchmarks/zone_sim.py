# SPDX-License-Identifier: MIT
"""A model of zones, workers and callers around the real owner's state: what a policy earns.

Event-driven, no sockets, no clock: seconds of traffic in a fraction of their time. Workers have
several sizes and speeds; jobs of three kinds come in each zone; a job earns by the time until its
last task has ended against 1.6 times its longest task plus 60 ms, a fifth up to three times that.

    .venv/bin/python benchmarks/zone_sim.py --seeds 3 --load 1.0 [--burst 1.3] [--lost 0.25]
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from foldloom.fleet.messages import ZoneLoad
from foldloom.jobs.spec import Demand, Placement, RunId, TaskId
from foldloom.owners.messages import (
    EndCause,
    Objective,
    RunEnd,
    RunOrder,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.owners.state import ClaimAction, OwnerState
from foldloom.scheduling.policies import (
    DEFAULT_POLICY,
    ByArrival,
    ByDeadline,
    ByPriority,
    Policy,
    UrgentFirst,
)
from foldloom.scheduling.runs import HolderId
from foldloom.scheduling.sharing import GroupSummary
from foldloom.workers.calls import ActiveRun, CallOutcome, EndedRun, EndKind
from foldloom.workers.records import WorkerRecord

ZONES = ("a", "b", "c")
_HOLDER = HolderId("box", 1)
_ORDER_MS = 1.2
_REPORT_MS = 0.8
_HOP_MS = 0.8
_MOVE_MS = 1.6
_TELL_MS = 3.0
_CLIENT_MS = 8.0
_STRETCH, _SLACK_MS = 1.6, 60.0
_LATE_FACTOR, _LATE_SHARE = 3.0, 0.2


_POLICIES: dict[str, Policy] = {
    "priority": ByPriority(),
    "arrival": ByArrival(),
    "deadline": ByDeadline(),
    "urgent": UrgentFirst(),
}


class Kind(NamedTuple):
    """A kind of job: how often a second in all zones, its tasks, and what one is worth."""

    name: str
    per_s: float
    tasks: float
    tasks_max: int
    work_ms: float
    worth: float
    priority: int


KINDS = (
    Kind("wide", 17.2, 8, 32, 60, 0.0291, 0),
    Kind("long", 3.13, 4, 16, 900, 0.16, 2),
    Kind("plain", 50.0, 2, 8, 200, 0.01, 1),
)
_MEAN_WORK = {kind.name: kind.tasks * kind.work_ms * 6.8 for kind in KINDS}


class SimJob:
    """A job on its way."""

    def __init__(self, number: int, kind: Kind, zone: str, at_ms: float, rng: random.Random):
        self.job_id = f"{number:016x}"
        self.kind = kind
        self.zone = zone
        self.at_ms = at_ms
        width = round(_spread(rng, kind.tasks, 0.4))
        self.width = min(kind.tasks_max, max(1, width))
        self.cpu = int(min(10_000, _spread(rng, 6_800, 0.2)))
        work = min(4 * kind.work_ms, _spread(rng, kind.work_ms, 0.4))
        self.works = [work * _spread(rng, 1.0, 0.15) for _ in range(self.width)]
        self.estimate_ms = work * _spread(rng, 1.0, 0.4)
        self.left = self.width
        self.first_start_ms: float | None = None
        self.is_over = False

    @property
    def objective_ms(self) -> float:
        """How soon it should end."""
        return _STRETCH * max(self.works) + _SLACK_MS

    @property
    def worth(self) -> float:
        """What it earns if it is on time."""
        work = sum(self.works) * self.cpu / 1_000
        share = 0.3 + 0.7 * work / _MEAN_WORK[self.kind.name]
        return self.kind.worth * min(4.0, share)


class Result(NamedTuple):
    """What a run of the model earned, as shares of what it could."""

    whole: float
    by_kind: dict[str, float]
    by_zone: dict[str, float]
    counts: dict[str, int]
    late_refused: float


def _spread(rng: random.Random, mean: float, sigma: float) -> float:
    return mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))


class ZoneSim:
    """Three zones of workers, one owner each.

    Args:
        seed: Of everything drawn.
        load: Times the usual traffic.
        seconds: Of traffic.
        burst: Times the traffic from second 10 to 14.
        lost: The share of workers that can't be reached from second 20 to 26.
        slow: The share of workers that turn slow from second 10 to 16.
        slow_factor: How many times as long they take.
        route: Chooses the zone of a job; by default its own.
        policy: The owners' policy.
        shares: Whether room in one zone is used for what waits in another.
    """

    def __init__(
        self,
        seed: int,
        load: float = 1.0,
        seconds: float = 34.0,
        burst: float = 1.0,
        lost: float = 0.0,
        slow: float = 0.0,
        slow_factor: float = 5.0,
        route: Callable[[ZoneSim, SimJob], str] | None = None,
        policy: Policy = DEFAULT_POLICY,
        shares: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._load, self._seconds, self._burst, self._lost = load, seconds, burst, lost
        self._slow = slow
        self._slow_factor = slow_factor
        self.slowed: list[str] = []
        self._route = route or (lambda _sim, job: job.zone)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.owners = {zone: OwnerState(750.0, policy) for zone in ZONES}
        self.speeds: dict[str, float] = {}
        self.cut: set[str] = set()
        self.active: dict[str, dict[TaskId, int]] = {}
        self._numbers: Counter[str] = Counter()
        self._untold: dict[str, list[EndedRun]] = {}
        self._telling: set[str] = set()
        self._shares = shares
        self.jobs: dict[str, SimJob] = {}
        self.earned: Counter[str] = Counter()
        self.owed: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.late_refused = 0.0

    def run(self) -> Result:
        """Play it and return what was earned."""
        self._make_workers()
        self._make_traffic()
        if self._lost:
            self.at(20_000.0, self._cut_some)
            self.at(26_000.0, self._heal)
        if self._slow:
            self.at(10_000.0, self._slow_some, 1 / self._slow_factor)
            self.at(16_000.0, self._slow_some, self._slow_factor)
        self.at(20.0, self._tick)
        while self._events:
            at_ms, _, act, args = heapq.heappop(self._events)
            if at_ms > self._seconds * 1_000 + 8_000:
                break
            self.now = at_ms
            act(*args)
        total = sum(self.owed[f"zone {zone}"] for zone in ZONES)
        earned = sum(self.earned[f"zone {zone}"] for zone in ZONES)
        share = {key: self.earned[key] / owed for key, owed in self.owed.items() if owed}
        return Result(
            earned / total,
            {kind.name: round(share[kind.name], 3) for kind in KINDS},
            {zone: round(share[f"zone {zone}"], 3) for zone in ZONES},
            dict(self.counts),
            self.late_refused / total,
        )

    def at(self, at_ms: float, act: Callable[..., None], *args: Any) -> None:
        """Do something later."""
        heapq.heappush(self._events, (at_ms, next(self._order), act, args))

    def _make_workers(self) -> None:
        for zone in ZONES:
            for number in range(8):
                name = f"{zone}{number}"
                cpu = 24_000 if number % 3 == 2 else 16_000
                self.speeds[name] = (0.8, 1.0, 1.25)[self.rng.randrange(3)]
                self.active[name] = {}
                record = WorkerRecord(name, "svc", name, zone, Demand(cpu, 32_000, 0))
                self.owners[zone].follow_worker(record)
                self.owners[zone].report(name, (), (), 0.0, 0.0)

    def _make_traffic(self) -> None:
        numbers = itertools.count()
        for zone in ZONES:
            for kind in KINDS:
                at_ms, rate = 0.0, kind.per_s * self._load / len(ZONES) / 1_000
                while True:
                    factor = self._burst if 10_000 <= at_ms < 14_000 else 1.0
                    wave = 1 + 0.15 * math.sin(at_ms / 11_000 * 2 * math.pi)
                    at_ms += self.rng.expovariate(rate * factor * wave)
                    if at_ms >= self._seconds * 1_000:
                        break
                    job = SimJob(next(numbers), kind, zone, at_ms, self.rng)
                    self.at(at_ms, self._arrive, job)

    def _arrive(self, job: SimJob) -> None:
        for key in (job.kind.name, f"zone {job.zone}"):
            self.owed[key] += job.worth
        self.jobs[job.job_id] = job
        zone = self._route(self, job)
        orders = [RunOrder(0, number, 1) for number in range(job.width)]
        message = self._message(job, orders)
        reply = self.owners[zone].submit(_HOLDER, message, self.now)
        if reply.status is SubmitStatus.REFUSED:
            self._give_up(job, "refused")
        self.at(self.now + 2_400, self._expire, job)
        self._act(zone)

    def _message(self, job: SimJob, orders: list[RunOrder]) -> SubmitRuns:
        spent_ms = int(self.now - job.at_ms)
        return SubmitRuns(
            token=1,
            job_id=job.job_id,
            repeat=0,
            queue=job.kind.name,
            service="svc",
            spec="",
            demand=Demand(job.cpu, 64, 0),
            placement=Placement(),
            priority=job.kind.priority,
            tasks=job.width,
            estimate_ms=int(job.estimate_ms),
            objective=Objective(spent_ms, _STRETCH, int(_SLACK_MS), 0),
            deadline_ms=2_400 - spent_ms,
            old_right_ms=0,
            orders=orders,
        )

    def _expire(self, job: SimJob) -> None:
        if not job.is_over:
            for zone in ZONES:
                self.owners[zone].cancel(_HOLDER, job.job_id, self.now)
                self._act(zone)
            self._give_up(job, "expired")

    def _give_up(self, job: SimJob, why: str) -> None:
        job.is_over = True
        self.counts[why] += 1
        if job.first_start_ms is None and self.now - job.at_ms > job.objective_ms / 4:
            self.late_refused += job.worth
            self.counts[f"late refused {job.kind.name}"] += 1

    def _act(self, zone: str) -> None:
        owner = self.owners[zone]
        owner.place(self.now)
        for start in owner.take_starts():
            if start.worker in self.cut:
                continue
            self.at(self.now + _ORDER_MS, self._start, zone, start.run_id, start.worker)
        for stop in owner.take_stops():
            self.at(self.now + _ORDER_MS, self._stop, zone, stop.run_id, stop.worker)
        for claim in owner.take_claims():
            self.at(self.now + _HOP_MS, self._claim, zone, claim)
        for action in owner.take_ends():
            self._note_end(action.end, zone)
        if zone not in self._telling:
            self._telling.add(zone)
            self.at(self.now + _TELL_MS, self._tell, zone)

    def _tell(self, zone: str) -> None:
        self._telling.discard(zone)
        told = self.owners[zone].tell_waiting(self.now)
        for other in ZONES:
            if other != zone and self._shares:
                self.at(self.now + _HOP_MS, self._hear, other, zone, told)

    def _hear(self, zone: str, teller: str, told: list[GroupSummary]) -> None:
        self.owners[zone].hear_waiting(teller, told, self.now)
        if told:
            self._act(zone)

    def _claim(self, zone: str, claim: ClaimAction) -> None:
        granted = self.owners[claim.zone].release(
            claim.group, len(claim.reservations), zone, self.now
        )
        self.counts["claimed"] += granted
        self._act(claim.zone)
        self.at(self.now + _HOP_MS, self.owners[zone].note_claimed, claim, granted)

    def _start(self, zone: str, run_id: RunId, worker: str) -> None:
        if worker in self.cut:
            return
        job = self.jobs[run_id.task.job_id]
        if job.first_start_ms is None:
            job.first_start_ms = self.now
        self.active[worker][run_id.task] = run_id.run
        self.owners[zone].note_start(run_id, worker, CallOutcome.DONE, self.now)
        self.counts["starts"] += 1
        took_ms = job.works[run_id.task.number] / self.speeds[worker]
        self.at(self.now + took_ms, self._end, zone, run_id, worker, EndKind.DONE)

    def _stop(self, zone: str, run_id: RunId, worker: str) -> None:
        self.owners[zone].note_stop(run_id, worker, CallOutcome.DONE, self.now)
        self._end(zone, run_id, worker, EndKind.STOPPED)

    def _end(self, zone: str, run_id: RunId, worker: str, how: EndKind) -> None:
        if self.active[worker].get(run_id.task) != run_id.run:
            return
        del self.active[worker][run_id.task]
        if how is not EndKind.DONE:
            self.counts["stopped"] += 1
        self._numbers[worker] += 1
        ended = EndedRun(self._numbers[worker], run_id, how)
        self._untold.setdefault(worker, []).append(ended)
        self.at(self.now + _REPORT_MS, self._report, zone, worker)

    def _report(self, zone: str, worker: str) -> None:
        if worker in self.cut:
            return
        ended = tuple(self._untold.pop(worker, ()))
        active = tuple(ActiveRun(RunId(task, run)) for task, run in self.active[worker].items())
        self.owners[zone].report(worker, active, ended, self.now - 50.0, self.now)
        self._act(zone)

    def _note_end(self, end: RunEnd, zone: str) -> None:
        run_id, cause = end.run_id, end.cause
        job = self.jobs[run_id.task.job_id]
        if job.is_over:
            return
        if cause is EndCause.HOPELESS:
            for one in ZONES:
                self.owners[one].cancel(_HOLDER, job.job_id, self.now)
            self._give_up(job, "hopeless")
            return
        if cause is EndCause.MOVED:
            order = RunOrder(0, run_id.task.number, run_id.run, is_moved=True)
            self.at(self.now + _MOVE_MS, self._submit, end.moved_to, job, order)
            return
        if cause is not EndCause.DONE:
            self.counts["again"] += 1
            order = RunOrder(0, run_id.task.number, run_id.run + 1)
            self._submit(zone, job, order)
            return
        job.left -= 1
        if job.left:
            return
        job.is_over = True
        taken_ms = self.now - job.at_ms + _CLIENT_MS
        share = 0.0
        if taken_ms <= job.objective_ms:
            share, what = 1.0, "on time"
        elif taken_ms <= _LATE_FACTOR * job.objective_ms:
            share, what = _LATE_SHARE, "late"
        else:
            what = "too late"
        self.counts[what] += 1
        for key in (job.kind.name, f"zone {job.zone}"):
            self.earned[key] += share * job.worth

    def _submit(self, zone: str, job: SimJob, order: RunOrder) -> None:
        if not job.is_over:
            self.owners[zone].submit(_HOLDER, self._message(job, [order]), self.now)
            self._act(zone)

    def _load_of(self, zone: str) -> ZoneLoad:
        in_use = [
            one.room for one in self.owners[zone].candidates.values() if one.is_open(self.now)
        ]
        return ZoneLoad(
            sum(max(0, room.free.cpu_milli) for room in in_use),
            sum(room.capacity.cpu_milli for room in in_use),
        )

    def _cut_some(self) -> None:
        names = self.rng.sample(sorted(self.speeds), int(len(self.speeds) * self._lost))
        self.cut.update(names)
        for name in names:
            self.owners[name[0]].distrust(name)
            self.at(self.now + 650.0, self._lapse, name)

    def _lapse(self, name: str) -> None:
        self.active[name].clear()
        self.owners[name[0]].note_lapsed(name, self.now)
        self._act(name[0])

    def _slow_some(self, factor: float) -> None:
        if factor < 1:
            count = int(len(self.speeds) * self._slow)
            self.slowed = self.rng.sample(sorted(self.speeds), count)
        for name in self.slowed:
            self.speeds[name] *= factor

    def _heal(self) -> None:
        names, self.cut = self.cut, set()
        for name in names:
            self.owners[name[0]].report(name, (), (), self.now, self.now)
            self._act(name[0])

    def _tick(self) -> None:
        for zone, owner in self.owners.items():
            owner.tick(self.now)
            self._act(zone)
            if int(self.now) % 100 == 0 and self._shares:
                for other in ZONES:
                    if other != zone:
                        self.owners[other].hear_load(zone, self._load_of(zone), self.now)
        if self.now < self._seconds * 1_000 + 6_000:
            self.at(self.now + 20.0, self._tick)


def main() -> None:
    """Print one line for each seed and the means."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--burst", type=float, default=1.0)
    parser.add_argument("--lost", type=float, default=0.0)
    parser.add_argument("--slow", type=float, default=0.0)
    parser.add_argument("--slow-factor", type=float, default=5.0)
    parser.add_argument("--policy", choices=_POLICIES, default="urgent")
    parser.add_argument("--alone", action="store_true", help="no zone helps another")
    options = parser.parse_args()
    results = [
        ZoneSim(
            seed,
            options.load,
            burst=options.burst,
            lost=options.lost,
            slow=options.slow,
            slow_factor=options.slow_factor,
            policy=_POLICIES[options.policy],
            shares=not options.alone,
        ).run()
        for seed in range(options.seeds)
    ]
    for result in results:
        print(json.dumps(result._asdict()))
    mean = sum(result.whole for result in results) / len(results)
    worst_kind = sum(min(result.by_kind.values()) for result in results) / len(results)
    worst_zone = sum(min(result.by_zone.values()) for result in results) / len(results)
    late = sum(result.late_refused for result in results) / len(results)
    print(
        f"whole {mean:.3f}  worst kind {worst_kind:.3f}  worst zone {worst_zone:.3f}"
        f"  refused late {late:.3f}"
    )


if __name__ == "__main__":
    main()
