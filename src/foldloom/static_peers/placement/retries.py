# SPDX-License-Identifier: MIT
"""The one place that decides whether an attempt may be made again, and the retry budget.

Owns the budget of one box. Relies on the configuration for what a service lets be started again.
"""

from __future__ import annotations

from foldloom.controllers.config import RESTART_AFTER_ENDPOINT_DEATH, Service
from foldloom.verdicts import Problem, Run

# Retries that are allowed at the start, before any task has started.
_TOKENS_START = 10.0
# Retries that can be saved up, to bound a storm after a calm time.
_TOKENS_MAX = 100.0
_ENDPOINT_DEATH_REASONS = ("worker-lost",)
# Endpoints that may die under a task before it is given up: it may be what kills them.
ENDPOINT_DEATHS_MAX = 2


class RetryBudget:
    """Allow retries as a share of recent starts, so that a failing zone makes no storm.

    Args:
        share: Retries for each start, on average.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _TOKENS_START

    @property
    def tokens(self) -> float:
        """How many retries are allowed now."""
        return self._tokens

    def note_start(self) -> None:
        """Count a start."""
        self._tokens = min(_TOKENS_MAX, self._tokens + self._share)

    def spend(self) -> bool:
        """Spend one retry of the budget; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_endpoint_death(problem: Problem) -> bool:
    """Return whether an attempt ended so because its endpoint died under it."""
    return problem.reason in _ENDPOINT_DEATH_REASONS


def may_retry(problem: Problem, service: Service, is_repeatable: bool, deaths: int = 1) -> bool:
    """Return whether a task may be attempted again after *problem*.

    An attempt that certainly did not run may always be. One that may have run may be only
    after its endpoint died, only if the service says so and the request is repeatable, and not
    once *deaths* endpoints have died under the task.
    """
    if problem.run is Run.NOT_RUN:
        return True
    if service["restart"] != RESTART_AFTER_ENDPOINT_DEATH:
        return False
    return is_repeatable and is_endpoint_death(problem) and deaths < ENDPOINT_DEATHS_MAX
