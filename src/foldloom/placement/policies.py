# SPDX-License-Identifier: MIT
"""Which worker a task goes to: one function, a policy for each way.

Every policy sees the same :class:`View` and returns a worker's name, or ``None`` to wait.
"""

from __future__ import annotations

import random
from functools import singledispatch
from typing import Any, NamedTuple


class Candidate(NamedTuple):
    """One worker that may serve a task.

    Args:
        worker: Its name.
        mean_ms: The expected service time there.
        free_slots: Slots that no lease holds.
        busy_slots: Slots that a lease holds.
        local_count: Tasks that this box has running there.
        reported_count: Tasks running there by its lagging report.
    """

    worker: str
    mean_ms: float
    free_slots: int = 0
    busy_slots: int = 0
    local_count: int = 0
    reported_count: int = 0


class View(NamedTuple):
    """What a decision is made on.

    Args:
        candidates: The workers that may serve the task.
        queued_ahead: Tasks that wait before this one.
    """

    candidates: list[Candidate]
    queued_ahead: int = 0


class RandomChoice(NamedTuple):
    """Any worker, evenly."""


class LeastLocalCount(NamedTuple):
    """The worker with the fewest of this box's own tasks."""


class PowerOfTwo(NamedTuple):
    """The lesser loaded of two random workers, by the lagging report."""


class SlotLeases(NamedTuple):
    """A free slot by least expected finish time, from leases.

    Args:
        alike: Workers within this ratio of the fastest count as fast.
        wait_bias: Above 1, waiting for a fast slot must be better by that ratio.
    """

    alike: float = 1.3
    wait_bias: float = 1.0


Policy = RandomChoice | LeastLocalCount | PowerOfTwo | SlotLeases

POLICIES: dict[str, Policy] = {
    "random": RandomChoice(),
    "least-local-count": LeastLocalCount(),
    "power-of-two": PowerOfTwo(),
    "slot-leases": SlotLeases(),
}


@singledispatch
def choose(policy: Any, _view: View) -> str | None:
    """Return the worker for one task under *policy*, or ``None`` to wait."""
    raise TypeError(f"no policy {type(policy).__name__}")


@choose.register
def _(_policy: RandomChoice, view: View) -> str | None:
    if not view.candidates:
        return None
    return random.choice(view.candidates).worker


@choose.register
def _(_policy: LeastLocalCount, view: View) -> str | None:
    if not view.candidates:
        return None
    fewest = min(candidate.local_count for candidate in view.candidates)
    least = [one for one in view.candidates if one.local_count == fewest]
    return random.choice(least).worker


@choose.register
def _(_policy: PowerOfTwo, view: View) -> str | None:
    if not view.candidates:
        return None
    pair = random.sample(view.candidates, min(2, len(view.candidates)))
    return min(pair, key=lambda one: one.reported_count + one.local_count).worker


@choose.register
def _(policy: SlotLeases, view: View) -> str | None:
    free = [one for one in view.candidates if one.free_slots > 0]
    if not free:
        return None
    best_ms = min(one.mean_ms for one in view.candidates)
    fast_limit = best_ms * policy.alike
    fast_free = [one for one in free if one.mean_ms <= fast_limit]
    if fast_free:
        return max(fast_free, key=lambda one: one.free_slots).worker
    chosen = min(free, key=lambda one: one.mean_ms)
    wait_ms = _expected_wait_ms(view, fast_limit, best_ms)
    if chosen.mean_ms <= (wait_ms + best_ms) * policy.wait_bias:
        return chosen.worker
    return None


def _expected_wait_ms(view: View, fast_limit: float, best_ms: float) -> float:
    """Return when a fast slot is expected for the task behind ``queued_ahead`` others.

    Busy fast slots come free at a rate of one each mean service time, so the k-th comes
    after k means over their number.
    """
    busy = sum(one.busy_slots for one in view.candidates if one.mean_ms <= fast_limit)
    if busy == 0:
        return float("inf")
    return (view.queued_ahead + 1) * best_ms / busy
