# SPDX-License-Identifier: MIT
"""Crash limits and isolation of tasks whose endpoints have crashed.

Stateless. A task can crash every endpoint that starts it, which also ends the other runs there.
After a crash, each task that ran on the endpoint is isolated: it starts on an idle endpoint where
possible, so that another crash affects no other task and identifies the cause. A task that then
ends normally is scheduled without isolation again.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from types import MappingProxyType
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId

# Endpoint crashes after which a task is not started again.
_CRASHES_MAX = 3
# The same if the task was the only one on at least one of these endpoints.
_SOLE_TASK_CRASHES_MAX = 2


class CrashCount(NamedTuple):
    """Number of confirmed endpoint crashes during runs of one task.

    A crash is confirmed when the endpoint's port refuses connections or another incarnation
    answers there. The expiry of a lease alone is no crash: the endpoint may be partitioned.

    Args:
        crashes: All crashes.
        alone: Crashes in which the task was the only one on the endpoint.
    """

    crashes: int = 0
    alone: int = 0

    def merged(self, other: CrashCount) -> CrashCount:
        """Return the maximum of two counts, which may include the same crashes."""
        return CrashCount(max(self.crashes, other.crashes), max(self.alone, other.alone))

    def incremented(self, ran_alone: bool) -> CrashCount:
        """Return the count after one more crash."""
        return CrashCount(self.crashes + 1, self.alone + ran_alone)


class Isolation(IntEnum):
    """Isolation of a task from other tasks on its endpoint."""

    NONE = 0
    PREFERRED = 1
    """The task shares an endpoint with other tasks only if there is no alternative."""
    REQUIRED = 2
    """The task starts on an idle endpoint, and no other task is placed there."""


NO_ISOLATIONS: Mapping[TaskId, Isolation] = MappingProxyType({})
"""No task is isolated."""


def exceeds_crash_limit(count: CrashCount) -> bool:
    """Return whether a task has reached its crash limit and must not start again."""
    if count.alone and count.crashes >= _SOLE_TASK_CRASHES_MAX:
        return True
    return count.crashes >= _CRASHES_MAX


def isolation_for(count: CrashCount) -> Isolation:
    """Return the isolation for a crash count.

    After a single crash most of the affected tasks are not its cause, so isolation is only
    preferred. After two crashes it is required.
    """
    if not count.crashes:
        return Isolation.NONE
    return Isolation.PREFERRED if count.crashes == 1 else Isolation.REQUIRED
