# SPDX-License-Identifier: MIT
"""Admission of jobs by the owner of a zone.

Collects the inputs for :mod:`foldloom.seed_discovery.scheduling.admission`, which decides.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.owners.loads import zone_load
from foldloom.seed_discovery.owners.messages import SubmitReply, SubmitRuns, SubmitStatus
from foldloom.seed_discovery.owners.stealing import WorkStealing
from foldloom.seed_discovery.scheduling.admission import (
    UNPLACEABLE_RETRY_MS,
    AvailableCapacity,
    expected_wait_ms,
    is_unplaceable,
    misses_objective,
    retry_after_ms,
)
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.overload import OverloadControl
from foldloom.seed_discovery.scheduling.remote_groups import GroupId
from foldloom.seed_discovery.scheduling.run_queue import RunQueue

# Time from a term's first job during which no job is rejected; covers two polls of the endpoints
# with their timeouts.
WARM_UP_MS = 500.0

# Reason of a rejection for lack of capacity of the endpoints or of this box.
_OVERLOAD = "overload"
_TAKEN = SubmitReply(SubmitStatus.TAKEN)


class Admission:
    """Admission in one owner's term.

    Args:
        run_queue: The queued runs of the zone.
        stealing: Queued groups and loads of other zones.
        candidates: The zone's endpoints by id.
        all_endpoints: Returns the endpoints of all zones; none while the list may be incomplete.
        overload: The rejection of new jobs while this box is late.
    """

    def __init__(
        self,
        run_queue: RunQueue,
        stealing: WorkStealing,
        candidates: Mapping[str, ZoneEndpoint],
        all_endpoints: Callable[[], Sequence[EndpointRecord]],
        overload: OverloadControl,
    ) -> None:
        self._run_queue = run_queue
        self._stealing = stealing
        self._candidates = candidates
        self._all_endpoints = all_endpoints
        self._overload = overload
        self._first_submission_ms = 0.0

    def reject_while_late(self, message: SubmitRuns) -> SubmitReply | None:
        """Return the rejection of a new job if this box is too late to take it, else ``None``.

        Nothing of the job has been queued here yet.
        """
        if not _is_first_delivery(message) or message.orders[0].step:
            return None
        retry_ms = self._overload.reject(message.priority)
        return SubmitReply(SubmitStatus.REFUSED, _OVERLOAD, retry_ms) if retry_ms else None

    def decide(self, message: SubmitRuns, now_ms: float) -> SubmitReply:
        """Accept or reject a submission whose runs are queued already.

        Only the first delivery of a job's first step can be rejected for overload, and nothing is
        rejected during the warm-up of a term.
        """
        if not _is_first_delivery(message) or self._is_warming_up(now_ms):
            return _TAKEN
        if self._is_unplaceable(message):
            return SubmitReply(SubmitStatus.REFUSED, "fits nowhere", UNPLACEABLE_RETRY_MS)
        order = message.orders[0]
        if order.step:
            return _TAKEN
        group = self._run_queue.get(GroupId(message.job_id, message.repeat, order.step))
        if group is None or len(group.queued) < len(message.orders):
            return _TAKEN
        wait_ms = self._expected_wait_ms(group, now_ms)
        if not misses_objective(group, wait_ms, now_ms):
            return _TAKEN
        return SubmitReply(SubmitStatus.REFUSED, _OVERLOAD, retry_after_ms(wait_ms))

    def _is_unplaceable(self, message: SubmitRuns) -> bool:
        """Return whether no endpoint of any zone could run the tasks of *message*."""
        own_records = [candidate.record for candidate in self._candidates.values()]
        requirements = (message.service, message.demand, message.placement.label)
        # Other zones are checked only if no endpoint of the own zone fits.
        return is_unplaceable(*requirements, own_records) and is_unplaceable(
            *requirements, self._all_endpoints()
        )

    def _expected_wait_ms(self, group: RunGroup, now_ms: float) -> float:
        return expected_wait_ms(
            group,
            lambda last: self._run_queue.groups_up_to(last, now_ms),
            self._stealing.remote.stealable(now_ms),
            self._available_capacity(now_ms),
            now_ms,
        )

    def _is_warming_up(self, now_ms: float) -> bool:
        if not self._first_submission_ms:
            self._first_submission_ms = now_ms
        return now_ms - self._first_submission_ms < WARM_UP_MS

    def _available_capacity(self, now_ms: float) -> AvailableCapacity:
        """Return the capacity of this zone and of the zones with a recent load report."""
        own_load = zone_load(self._candidates.values(), self._run_queue, now_ms)
        loads = [own_load, *self._stealing.loads(now_ms)]
        return AvailableCapacity(
            total_milli=sum(load.total_milli for load in loads),
            free_milli=sum(load.free_milli for load in loads),
            overdue_milli=sum(
                one.resources.capacity.cpu_milli
                for one in self._candidates.values()
                if one.is_overdue
            ),
        )


def _is_first_delivery(message: SubmitRuns) -> bool:
    return not any(
        order.is_resumed or order.is_moved or order.attempt > 1 for order in message.orders
    )
