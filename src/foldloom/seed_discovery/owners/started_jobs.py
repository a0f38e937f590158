# SPDX-License-Identifier: MIT
"""The jobs that were delivered to an owner in its term, and which of them it has started.

Owns that list. It is the one memory by which an owner says that nothing of a job was started. A
job counts as started before the order to start leaves, when an endpoint lists a run or an end of
it, and when a box delivers what an earlier owner may have started. It stays for ``REMEMBERED_MS``
beyond the latest deadline of the boxes that delivered it, whatever becomes of its runs, of their
sessions and of its tombstones. A box believes no word that it handles later than that.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

# Milliseconds beyond a job's deadline for which it is remembered, so that a box that is late by a
# second still gets an answer of use. How late a box can be has no bound: it checks by its own clock
# whether it may still believe the owner.
REMEMBERED_MS = 2_000.0
# Milliseconds for which a job is remembered whose deadline is not known, since no box has delivered
# it: twice the longest of the users' deadlines, 2.8 s, and some more.
_LISTED_JOB_TTL_MS = 6_000.0


class _JobRecord(NamedTuple):
    """A job: until when it is remembered, and whether something of it may have been started."""

    expires_ms: float
    has_started: bool


class _Expiry(NamedTuple):
    """When a job is looked at, to be forgotten."""

    at_ms: float
    job_id: str


class StartedJobs:
    """The list of one term."""

    def __init__(self) -> None:
        self._jobs: dict[str, _JobRecord] = {}
        self._expiries: list[_Expiry] = []

    def __contains__(self, job_id: str) -> bool:
        """Return whether something of the job was started, or may have been."""
        record = self._jobs.get(job_id)
        return record is not None and record.has_started

    def note_delivered(self, job_id: str, deadline_ms: float) -> None:
        """Remember a job for one more box, which gives it up at *deadline_ms*; own clock."""
        self._extend(job_id, deadline_ms + REMEMBERED_MS, has_started=False)

    def note(self, job_id: str, deadline_ms: float) -> None:
        """Note that something of a job that is given up at *deadline_ms* may be started."""
        self._extend(job_id, deadline_ms + REMEMBERED_MS, has_started=True)

    def note_listed(self, job_id: str, now_ms: float) -> None:
        """Note a start that an endpoint lists, whether a box has delivered the job or not."""
        self._extend(job_id, now_ms + _LISTED_JOB_TTL_MS, has_started=True)

    def expire(self, now_ms: float) -> None:
        """Forget the jobs whose time is over."""
        while self._expiries and self._expiries[0].at_ms <= now_ms:
            expiry = heapq.heappop(self._expiries)
            expires_ms = self._jobs[expiry.job_id].expires_ms
            if expires_ms <= now_ms:
                del self._jobs[expiry.job_id]
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
