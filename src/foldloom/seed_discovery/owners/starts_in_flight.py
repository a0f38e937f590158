# SPDX-License-Identifier: MIT
"""Start orders in flight of runs that a box holds no open batch of.

These are runs that the box has cancelled and whose cancel the owner has not answered, and runs of
the owner's own box, which would be lost together with the owner.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import EndpointBinding, StartOrdered
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS


class _Start(NamedTuple):
    """A start order to *endpoint*, noted at ``noted_ms`` by the box's monotonic clock."""

    endpoint: str
    noted_ms: float


class StartsInFlight:
    """The start orders of one zone's owner that no endpoint is known to have answered."""

    def __init__(self) -> None:
        self._starts: dict[RunId, _Start] = {}

    def note(self, start: StartOrdered, now_ms: float) -> None:
        """Record a start order, or that its endpoint has answered."""
        self._expire(now_ms)
        self._starts.pop(start.run_id, None)
        if not start.is_answered:
            self._starts[start.run_id] = _Start(start.endpoint, now_ms)

    def discard_job(self, job_id: str, until_ms: float) -> None:
        """Remove the start orders of a job that were noted up to *until_ms*.

        Those noted later are of a later submission under the same id.
        """
        self._starts = {
            run_id: start
            for run_id, start in self._starts.items()
            if run_id.task.job_id != job_id or start.noted_ms > until_ms
        }

    def pop_bindings(self, now_ms: float) -> list[EndpointBinding]:
        """Return and remove the start orders, each as a binding of its task."""
        self._expire(now_ms)
        starts, self._starts = self._starts, {}
        return [EndpointBinding(run_id, start.endpoint) for run_id, start in starts.items()]

    def _expire(self, now_ms: float) -> None:
        # Insertion order is the order of expiry.
        while self._starts:
            run_id, start = next(iter(self._starts.items()))
            if now_ms < start.noted_ms + UNANSWERED_ORDER_TTL_MS:
                return
            del self._starts[run_id]
