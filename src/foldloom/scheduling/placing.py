# SPDX-License-Identifier: MIT
"""Which waiting run goes to which worker now."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from foldloom.jobs.spec import Demand, Placement
from foldloom.scheduling.runs import Run
from foldloom.scheduling.speeds import WorkerSpeeds
from foldloom.scheduling.waiting import WaitingRuns
from foldloom.scheduling.workers import Candidate


class Placed(NamedTuple):
    """A decision: *run* goes to *worker*."""

    run: Run
    worker: str


class _Kind(NamedTuple):
    """Runs that fit where any one of them fits."""

    service: str
    demand: Demand
    placement: Placement


def place(
    waiting: WaitingRuns,
    candidates: Mapping[str, Candidate],
    speeds: WorkerSpeeds,
    now_ms: float,
) -> list[Placed]:
    """Return who starts where now, and charge the room; the runs are taken out of the queue."""
    open_workers = [one for one in candidates.values() if one.is_open(now_ms)]
    placed: list[Placed] = []
    full: set[_Kind] = set()
    for run in waiting:
        if not open_workers:
            break
        kind = _Kind(run.spec.service, run.spec.demand, run.spec.placement)
        if kind in full:
            continue
        chosen = choose_worker(run, open_workers, speeds)
        if chosen is None:
            if not run.spec.placement.per_worker_max:
                full.add(kind)
            continue
        chosen.room.charge(run.task, run.spec.demand)
        waiting.remove(run.task)
        placed.append(Placed(run, chosen.record.worker))
    return placed


def choose_worker(
    run: Run, open_workers: Iterable[Candidate], speeds: WorkerSpeeds
) -> Candidate | None:
    """Return the best worker with room for *run*, if any: near its data, fast, tightly filled."""
    fitting = [one for one in open_workers if _may_run(run, one)]
    if not fitting:
        return None
    return max(fitting, key=lambda one: _preference(run, one, speeds))


def _may_run(run: Run, candidate: Candidate) -> bool:
    spec = run.spec
    record = candidate.record
    if record.service != spec.service or not candidate.takes(spec.demand):
        return False
    placement = spec.placement
    if placement.label and placement.label not in record.labels:
        return False
    if not placement.per_worker_max:
        return True
    return candidate.room.count_of(spec.job_id, run.task.step) < placement.per_worker_max


def _preference(
    run: Run, candidate: Candidate, speeds: WorkerSpeeds
) -> tuple[bool, float, int, str]:
    rack = run.spec.placement.rack
    is_near = not rack or rack in candidate.record.labels
    left = candidate.room.free.cpu_milli - run.spec.demand.cpu_milli
    worker = candidate.record.worker
    return (is_near, round(speeds.speed_of(worker), 1), -left, worker)
