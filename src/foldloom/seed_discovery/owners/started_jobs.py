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
_UNKNOWN_KEPT_MS = 6_000.0


class _Known(NamedTuple):
    """A job: until when it is remembered, and whether something of it may have been started."""

    until_ms: float
    has_started: bool


class _Due(NamedTuple):
    """When a job is looked at, to be forgotten."""

    at_ms: float
    job_id: str


class StartedJobs:
    """The list of one term."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._due: list[_Due] = []

    def __contains__(self, job_id: str) -> bool:
        """Return whether something of the job was started, or may have been."""
        known = self._known.get(job_id)
        return known is not None and known.has_started

    def note_delivered(self, job_id: str, deadline_ms: float) -> None:
        """Remember a job for one more box, which gives it up at *deadline_ms*; own clock."""
        self._keep(job_id, deadline_ms + REMEMBERED_MS, has_started=False)

    def note(self, job_id: str, deadline_ms: float) -> None:
        """Note that something of a job that is given up at *deadline_ms* may be started."""
        self._keep(job_id, deadline_ms + REMEMBERED_MS, has_started=True)

    def note_listed(self, job_id: str, now_ms: float) -> None:
        """Note a start that an endpoint lists, whether a box has delivered the job or not."""
        self._keep(job_id, now_ms + _UNKNOWN_KEPT_MS, has_started=True)

    def expire(self, now_ms: float) -> None:
        """Forget the jobs whose time is over."""
        while self._due and self._due[0].at_ms <= now_ms:
            due = heapq.heappop(self._due)
            until_ms = self._known[due.job_id].until_ms
            if until_ms <= now_ms:
                del self._known[due.job_id]
            else:
                heapq.heappush(self._due, _Due(until_ms, due.job_id))

    def _keep(self, job_id: str, until_ms: float, has_started: bool) -> None:
        known = self._known.get(job_id)
        if known is None:
            heapq.heappush(self._due, _Due(until_ms, job_id))
            known = _Known(until_ms, has_started)
        self._known[job_id] = _Known(
            max(known.until_ms, until_ms), known.has_started or has_started
        )
