# SPDX-License-Identifier: MIT
"""Which endpoint a task goes to: one function, a policy for each way.

Owns nothing: decisions only.

Every policy sees the same :class:`View` and returns a :class:`Choice`, or ``None`` to wait.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from functools import singledispatch
from typing import Any, NamedTuple

# Which of a service's task sizes, as a share from the shortest, a wait is weighed against: this for
# a lone task, more for each doubling of a job's tasks, up to the maximum. From the trial in
# docs/design/placement.md.
_SHORT_SHARE = 0.03
# The addition for each doubling.
_SHARE_PER_DOUBLING = 0.035
# The maximum: the middle size.
_SHARE_MAX = 0.5


class View(NamedTuple):
    """What a decision is made on; the maps are by endpoint.

    Args:
        endpoints: The endpoints that may serve the task, the fastest first.
        mean_ms: The expected service time there.
        free_slots: Slots that no lease holds.
        busy_slots: Slots that a lease holds.
        local_count: Tasks that this box has running there.
        reported_count: Tasks running there by its lagging report.
        queued_ahead: Tasks that wait before this one.
        job_size: How long the job's ideal is expected to be, in mean tasks; a wait weighs
            the more, the shorter the job.
    """

    endpoints: Sequence[str]
    mean_ms: Mapping[str, float] = {}
    free_slots: Mapping[str, int] = {}
    busy_slots: Mapping[str, int] = {}
    local_count: Mapping[str, int] = {}
    reported_count: Mapping[str, int] = {}
    queued_ahead: int = 0
    job_size: float = 1.0


class Choice(NamedTuple):
    """An endpoint, and whether it is one of the fast ones."""

    endpoint: str
    is_fast: bool = True


class RandomChoice(NamedTuple):
    """Any endpoint, evenly."""


class LeastLocalCount(NamedTuple):
    """The endpoint with the fewest of this box's own tasks."""


class PowerOfTwo(NamedTuple):
    """The lesser loaded of two random endpoints, by the lagging report."""


class SlotLeases(NamedTuple):
    """A free slot by least expected finish time, from leases.

    Args:
        alike: Endpoints within this ratio of the reference count as fast.
        reference_share: The reference is the endpoint at this share of the order by speed: a
            single lucky measurement must not make all others look slow.
    """

    fast_ratio: float = 1.4
    reference_share: float = 0.25


Policy = RandomChoice | LeastLocalCount | PowerOfTwo | SlotLeases

POLICIES: dict[str, Policy] = {
    "random": RandomChoice(),
    "least-local-count": LeastLocalCount(),
    "power-of-two": PowerOfTwo(),
    "slot-leases": SlotLeases(),
}


@singledispatch
def choose(policy: Any, _view: View) -> Choice | None:
    """Return the endpoint for one task under *policy*, or ``None`` to wait."""
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
    reference = view.endpoints[int(len(view.endpoints) * policy.reference_share)]
    reference_ms = view.mean_ms[reference]
    fast, slow = _split(view, reference_ms * policy.fast_ratio)
    most_free = max(fast, key=lambda endpoint: view.free_slots[endpoint])
    if view.free_slots[most_free] > 0:
        return Choice(most_free)
    fastest_free = next((endpoint for endpoint in slow if view.free_slots[endpoint] > 0), None)
    if fastest_free is None:
        return None
    # Busy fast slots come free at a rate of one each mean service time: the k-th comes
    # after k means over their number.
    busy = sum(view.busy_slots.get(endpoint, 0) for endpoint in fast)
    if busy == 0:
        return Choice(fastest_free, is_fast=False)
    wait_ms = (view.queued_ahead + 1) * reference_ms / busy
    ideal_ms = reference_ms * view.job_size
    slow_ms = view.mean_ms[fastest_free] * view.job_size
    if slow_ms <= wait_ms + ideal_ms:
        return Choice(fastest_free, is_fast=False)
    return None


def job_size(sizes: Sequence[float], job_tasks: int) -> float:
    """Return against how short a task a wait is weighed, in mean tasks.

    A wait hurts a short lone task most, so nearly the shortest one counts; the longest task of a
    job hides a wait, the more so the more tasks there are.

    Args:
        sizes: The service's latest tasks in mean tasks, in rising order; 1 without any.
        job_tasks: How many tasks the job has.
    """
    if not sizes:
        return 1.0
    share = _SHORT_SHARE + _SHARE_PER_DOUBLING * math.log2(job_tasks)
    return sizes[int(len(sizes) * min(share, _SHARE_MAX))]


def _split(view: View, fast_limit_ms: float) -> tuple[Sequence[str], Sequence[str]]:
    """Return the fast endpoints and the slow ones; there is always a fast one."""
    fast_count = 1
    while (
        fast_count < len(view.endpoints)
        and view.mean_ms[view.endpoints[fast_count]] <= fast_limit_ms
    ):
        fast_count += 1
    return view.endpoints[:fast_count], view.endpoints[fast_count:]


def _estimated_count(view: View, endpoint: str) -> int:
    return view.reported_count.get(endpoint, 0) + view.local_count.get(endpoint, 0)
