# SPDX-License-Identifier: MIT
"""Retry decisions and the retry budget of one box."""

from __future__ import annotations

from foldloom.controllers.config import RESTART_AFTER_ENDPOINT_CRASH, Service
from foldloom.verdicts import Problem, Run

# Initial retry budget.
_TOKENS_START = 10.0
# Largest retry budget that can accumulate.
_TOKENS_MAX = 100.0
_ENDPOINT_CRASH_REASONS = ("worker-lost",)
# Crashed endpoints after which a task is not retried: the task may be the cause.
ENDPOINT_CRASHES_MAX = 2


class RetryBudget:
    """Limits retries to a share of recent starts, which prevents retry storms.

    Args:
        share: Retries added per start.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _TOKENS_START

    @property
    def tokens(self) -> float:
        """Retries available now."""
        return self._tokens

    def record_start(self) -> None:
        """Count a start."""
        self._tokens = min(_TOKENS_MAX, self._tokens + self._share)

    def consume(self) -> bool:
        """Consume one retry; return ``False`` if none is available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_endpoint_crash(problem: Problem) -> bool:
    """Return whether the attempt failed because its endpoint crashed."""
    return problem.reason in _ENDPOINT_CRASH_REASONS


def may_retry(problem: Problem, service: Service, is_repeatable: bool, crashes: int = 1) -> bool:
    """Return whether a task may be retried after *problem*.

    An attempt that did not run may always be retried. One that may have run is retried only after a
    crash of its endpoint, if the service permits a restart, the request is repeatable and *crashes*
    is below the limit.
    """
    if problem.run is Run.NOT_RUN:
        return True
    if service["restart"] != RESTART_AFTER_ENDPOINT_CRASH:
        return False
    return is_repeatable and is_endpoint_crash(problem) and crashes < ENDPOINT_CRASHES_MAX
