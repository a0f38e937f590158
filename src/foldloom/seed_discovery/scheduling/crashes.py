# SPDX-License-Identifier: MIT
"""Tasks under which endpoints have crashed: whether they start again, and beside what.

Owns nothing: types and decisions. A task may crash each endpoint that starts it, and what else runs
there dies with it. So a task whose endpoint has crashed starts next on an endpoint of its own,
where that can be had: it harms nobody then, and if that one crashes too, the task did it. The other
tasks that were there end once and are like any others again.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from types import MappingProxyType
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId

# Endpoints that may crash under a task before it is given up, whatever ran beside it.
_CRASHES_MAX = 3
# The same if one of them ran nothing else.
_CRASHES_MAX_ALONE = 2


class CrashCount(NamedTuple):
    """How many endpoints have crashed under one task.

    A crash is certain: the endpoint's port refuses connections, or another life answers there. A
    lease that lapsed in silence is none; the endpoint may be cut off.

    Args:
        crashes: All of them.
        alone: Those that ran nothing else.
    """

    crashes: int = 0
    alone: int = 0

    def merged(self, other: CrashCount) -> CrashCount:
        """Return what is known by either of two counts, which may count the same crashes."""
        return CrashCount(max(self.crashes, other.crashes), max(self.alone, other.alone))

    def incremented(self, ran_alone: bool) -> CrashCount:
        """Return the count after one more crash."""
        return CrashCount(self.crashes + 1, self.alone + ran_alone)


class Isolation(IntEnum):
    """How a task is kept apart from others on its endpoint."""

    NONE = 0
    PREFERRED = 1
    """It starts beside others only where no endpoint is idle, and they beside it."""
    REQUIRED = 2
    """It starts on an idle endpoint, and nothing beside it."""


NO_ISOLATIONS: Mapping[TaskId, Isolation] = MappingProxyType({})
"""No task is kept apart."""


def is_given_up(count: CrashCount) -> bool:
    """Return whether a task may not start again, after which its job has failed."""
    if count.alone and count.crashes >= _CRASHES_MAX_ALONE:
        return True
    return count.crashes >= _CRASHES_MAX


def isolation_for(count: CrashCount) -> Isolation:
    """Return how a task is kept apart.

    After one crash it most often did nothing: an endpoint that crashes by itself has as many tasks
    on it. After two it did, or ran twice beside the one that did.
    """
    if not count.crashes:
        return Isolation.NONE
    return Isolation.PREFERRED if count.crashes == 1 else Isolation.REQUIRED
