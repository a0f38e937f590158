# SPDX-License-Identifier: MIT
"""Jobs submitted to an owner in its term: what may have started, and what was moved elsewhere.

The owner's statement that no run of a job has started rests on this list alone. A job counts as
started before its first start order is sent, when an endpoint reports a run or an end of it, and
when a box submits a run that an earlier owner may have started. It is kept until
``STARTED_JOB_GRACE_MS`` after the latest deadline of the boxes that submitted it, independently of
its runs, sessions and tombstones. Boxes ignore statements that they process later than that.

A task whose run was moved to another zone may be on an endpoint there for as long.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId

# How long a job is kept after its deadline, so that a delayed box still gets a valid answer.
STARTED_JOB_GRACE_MS = 2_000.0
# How long a job is kept that no box has submitted and whose deadline is therefore unknown: twice
# the longest expected deadline, 2.8 s, plus a margin.
_LISTED_JOB_TTL_MS = 6_000.0


class _JobRecord(NamedTuple):
    """When a job is removed, and whether any of its runs may have started."""

    expires_ms: float
    has_started: bool


class _Expiry(NamedTuple):
    """When a job is next checked for removal."""

    at_ms: float
    job_id: str


class StartedJobs:
    """The jobs of one term."""

    def __init__(self) -> None:
        self._jobs: dict[str, _JobRecord] = {}
        self._expiries: list[_Expiry] = []
        self._zones_of_moved: dict[str, dict[TaskId, str]] = {}

    def __contains__(self, job_id: str) -> bool:
        """Return whether any run of the job may have started."""
        record = self._jobs.get(job_id)
        return record is not None and record.has_started

    def note_delivered(self, job_id: str, deadline_ms: float) -> None:
        """Record a submission by a box that gives the job up at *deadline_ms*; own clock."""
        self._extend(job_id, deadline_ms + STARTED_JOB_GRACE_MS, has_started=False)

    def note(self, job_id: str, deadline_ms: float) -> None:
        """Record a job with a run that may start; the job is cancelled at *deadline_ms*."""
        self._extend(job_id, deadline_ms + STARTED_JOB_GRACE_MS, has_started=True)

    def note_listed(self, job_id: str, now_ms: float) -> None:
        """Record a job with a run or end reported by an endpoint."""
        self._extend(job_id, now_ms + _LISTED_JOB_TTL_MS, has_started=True)

    def note_moved(self, task: TaskId, zone: str) -> None:
        """Record that the run of *task*, whose job is recorded, was moved to *zone*."""
        self._zones_of_moved.setdefault(task.job_id, {})[task] = zone

    def note_returned(self, task: TaskId) -> None:
        """Record that another zone has moved the run of *task* here."""
        moved = self._zones_of_moved.get(task.job_id)
        if moved is None or moved.pop(task, None) is None or moved:
            return
        del self._zones_of_moved[task.job_id]

    def has_moved_runs(self, job_id: str) -> bool:
        """Return whether any run of the job was moved to another zone."""
        return job_id in self._zones_of_moved

    def zone_of_moved(self, task: TaskId) -> str:
        """Return the zone that the run of *task* was moved to, empty if it was not."""
        moved = self._zones_of_moved.get(task.job_id)
        return "" if moved is None else moved.get(task, "")

    def expire(self, now_ms: float) -> None:
        """Remove expired jobs."""
        while self._expiries and self._expiries[0].at_ms <= now_ms:
            expiry = heapq.heappop(self._expiries)
            expires_ms = self._jobs[expiry.job_id].expires_ms
            if expires_ms <= now_ms:
                del self._jobs[expiry.job_id]
                self._zones_of_moved.pop(expiry.job_id, None)
            else:
                heapq.heappush(self._expiries, _Expiry(expires_ms, expiry.job_id))

    def _extend(self, job_id: str, expires_ms: float, has_started: bool) -> None:
        record = self._jobs.get(job_id)
        if record is None:
            heapq.heappush(self._expiries, _Expiry(expires_ms, job_id))
            record = _JobRecord(expires_ms, has_started)
        self._jobs[job_id] = _JobRecord(
            max(record.expires_ms, expires_ms), record.has_started or has_started
        )
