# SPDX-License-Identifier: MIT
"""Placement policies: the choice of an endpoint for a task.

Every policy maps a :class:`View` to a :class:`Choice`, or to ``None`` to keep the task queued.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from functools import singledispatch
from typing import Any, NamedTuple

# Quantile of a service's task sizes that a wait is compared with, for a job of one task.
_SINGLE_TASK_QUANTILE = 0.03
# Increase of the quantile for each doubling of the job's tasks.
_QUANTILE_PER_DOUBLING = 0.035
# Upper bound of the quantile.
_QUANTILE_MAX = 0.5


class View(NamedTuple):
    """Input of a placement decision; the maps are keyed by endpoint.

    Args:
        endpoints: Endpoints eligible for the task, fastest first.
        mean_ms: Expected service time.
        free_slots: Slots without a lease.
        busy_slots: Slots with a lease.
        local_count: Running tasks started by this box.
        reported_count: Running tasks according to the endpoint's last report.
        queued_ahead: Queued tasks ahead of this task.
        reference_task_size: Task size that a wait is compared with, as a multiple of the mean
            service time. The smaller it is, the more a wait counts.
    """

    endpoints: Sequence[str]
    mean_ms: Mapping[str, float] = {}
    free_slots: Mapping[str, int] = {}
    busy_slots: Mapping[str, int] = {}
    local_count: Mapping[str, int] = {}
    reported_count: Mapping[str, int] = {}
    queued_ahead: int = 0
    reference_task_size: float = 1.0


class Choice(NamedTuple):
    """An endpoint, and whether it belongs to the fast ones."""

    endpoint: str
    is_fast: bool = True


class RandomChoice(NamedTuple):
    """Selects an endpoint uniformly at random."""


class LeastLocalCount(NamedTuple):
    """Selects the endpoint with the fewest running tasks of this box."""


class PowerOfTwo(NamedTuple):
    """Selects the less loaded of two random endpoints by their reports and this box's tasks."""


class SlotLeases(NamedTuple):
    """Selects a free slot by least expected finish time, from the lease table.

    Args:
        fast_ratio: Endpoints within this ratio of the reference endpoint count as fast.
        reference_quantile: Quantile of the order by speed at which the reference endpoint is taken,
            so that a single short sample can't make all other endpoints look slow.
    """

    fast_ratio: float = 1.4
    reference_quantile: float = 0.25


Policy = RandomChoice | LeastLocalCount | PowerOfTwo | SlotLeases

POLICIES: dict[str, Policy] = {
    "random": RandomChoice(),
    "least-local-count": LeastLocalCount(),
    "power-of-two": PowerOfTwo(),
    "slot-leases": SlotLeases(),
}


@singledispatch
def choose(policy: Any, _view: View) -> Choice | None:
    """Return the endpoint for a task under *policy*, or ``None`` to keep the task queued."""
    raise TypeError(f"no policy {type(policy).__name__}")


@choose.register
def _(_policy: RandomChoice, view: View) -> Choice | None:
    if not view.endpoints:
        return None
    return Choice(random.choice(view.endpoints))


@choose.register
def _(_policy: LeastLocalCount, view: View) -> Choice | None:
    if not view.endpoints:
        return None
    fewest = min(view.local_count.get(endpoint, 0) for endpoint in view.endpoints)
    least = [endpoint for endpoint in view.endpoints if view.local_count.get(endpoint, 0) == fewest]
    return Choice(random.choice(least))


@choose.register
def _(_policy: PowerOfTwo, view: View) -> Choice | None:
    if not view.endpoints:
        return None
    pair = random.sample(view.endpoints, min(2, len(view.endpoints)))
    return Choice(min(pair, key=lambda endpoint: _estimated_count(view, endpoint)))


@choose.register
def _(policy: SlotLeases, view: View) -> Choice | None:
    if not view.endpoints:
        return None
    reference = view.endpoints[int(len(view.endpoints) * policy.reference_quantile)]
    reference_ms = view.mean_ms[reference]
    fast, slow = _split(view, reference_ms * policy.fast_ratio)
    most_free = max(fast, key=lambda endpoint: view.free_slots[endpoint])
    if view.free_slots[most_free] > 0:
        return Choice(most_free)
    fastest_free = next((endpoint for endpoint in slow if view.free_slots[endpoint] > 0), None)
    if fastest_free is None:
        return None
    # With *busy* fast slots, the k-th one is expected to be released after k * mean / busy.
    busy = sum(view.busy_slots.get(endpoint, 0) for endpoint in fast)
    if busy == 0:
        return Choice(fastest_free, is_fast=False)
    wait_ms = (view.queued_ahead + 1) * reference_ms / busy
    ideal_ms = reference_ms * view.reference_task_size
    slow_ms = view.mean_ms[fastest_free] * view.reference_task_size
    if slow_ms <= wait_ms + ideal_ms:
        return Choice(fastest_free, is_fast=False)
    return None


def reference_task_size(sizes: Sequence[float], job_tasks: int) -> float:
    """Return the task size that a wait is compared with, as a multiple of the mean service time.

    Relative to its duration, a job with one short task is delayed most by a wait, so a low quantile
    of the task sizes is used. A larger job is dominated by its longest task, so the quantile
    increases with the number of tasks.

    Args:
        sizes: Recent task sizes of the service as multiples of its mean service time, ascending;
            if empty, the result is 1.
        job_tasks: Number of tasks in the job.
    """
    if not sizes:
        return 1.0
    quantile = _SINGLE_TASK_QUANTILE + _QUANTILE_PER_DOUBLING * math.log2(job_tasks)
    return sizes[int(len(sizes) * min(quantile, _QUANTILE_MAX))]


def _split(view: View, fast_limit_ms: float) -> tuple[Sequence[str], Sequence[str]]:
    """Return the fast endpoints, at least one, and the slow ones."""
    fast_count = 1
    while (
        fast_count < len(view.endpoints)
        and view.mean_ms[view.endpoints[fast_count]] <= fast_limit_ms
    ):
        fast_count += 1
    return view.endpoints[:fast_count], view.endpoints[fast_count:]


def _estimated_count(view: View, endpoint: str) -> int:
    return view.reported_count.get(endpoint, 0) + view.local_count.get(endpoint, 0)
