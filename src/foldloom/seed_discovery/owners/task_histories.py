# SPDX-License-Identifier: MIT
"""What the owners have reported about tasks, kept by each entry box.

An owner's records end with its term. It therefore reports the crash counts and the bindings of
tasks to all boxes, which pass them on with each delivery: to the next owner of the zone, to the
owners of other zones, and with a job that is submitted again. A bound task is delivered to the zone
of its endpoint.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.crash_records import CrashRecords
from foldloom.seed_discovery.owners.messages import EndpointBinding, SubmitRuns, TaskCrashes
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS
from foldloom.seed_discovery.scheduling.crashes import CrashCount

# Longer than a report is retransmitted; shorter than an owner keeps a task's attempt numbers
# (TOMBSTONE_TTL_MS), after which an order of a later submission may look the same.
_LIFTED_TTL_MS = 4_000.0


class _ReportedBinding(NamedTuple):
    """A task's binding to an endpoint.

    Args:
        zone: The endpoint's zone.
        binding: The binding.
        token: Token of the owner that reported it or was lost with it; 0 if unknown.
        expires_ms: By the box's monotonic clock.
    """

    zone: str
    binding: EndpointBinding
    token: int
    expires_ms: float


class _LiftedBinding(NamedTuple):
    """A binding that was lifted by the owner with *token*, recorded until ``expires_ms``."""

    token: int
    expires_ms: float


class TaskHistories:
    """The reported crash counts and bindings by task, kept as long as an owner keeps them."""

    def __init__(self) -> None:
        self._crashes = CrashRecords()
        self._bindings: dict[TaskId, _ReportedBinding] = {}
        # By order. Another zone, and a later owner or submission, use the same attempts again.
        self._lifted: dict[tuple[RunId, str], _LiftedBinding] = {}

    def note_crashes(self, report: TaskCrashes, now_ms: float) -> None:
        """Record a count reported by an owner; a count of 0 means that the task ended normally."""
        self._crashes.expire(now_ms)
        if report.crashes == CrashCount():
            self._crashes.clear(report.task)
        else:
            self._crashes.merge(report.task, report.crashes, now_ms)

    def note_binding(
        self, zone: str, binding: EndpointBinding, now_ms: float, token: int = 0
    ) -> None:
        """Record a binding of the owner of *zone* with *token*, or remove it if it is lifted."""
        self._expire_bindings(now_ms)
        task, attempt = binding.run_id
        if binding.is_lifted:
            self._note_lifted(binding, token, now_ms)
        elif self._was_lifted(binding, token):
            # A retransmitted report: the order was executed or refused meanwhile.
            return
        known = self._bindings.get(task)
        if known is not None and known.zone == zone and known.binding.run_id.attempt > attempt:
            # A late report about an earlier attempt.
            return
        if not binding.is_lifted:
            self._bindings.pop(task, None)
            expires_ms = now_ms + UNANSWERED_ORDER_TTL_MS
            self._bindings[task] = _ReportedBinding(zone, binding, token, expires_ms)
        elif known is not None and known.binding.endpoint == binding.endpoint:
            del self._bindings[task]

    def bound_zone(self, task: TaskId, now_ms: float) -> str | None:
        """Return the zone of the endpoint that *task* is bound to, if any."""
        self._expire_bindings(now_ms)
        known = self._bindings.get(task)
        return None if known is None else known.zone

    def bindings_from_others(self, zone: str, token: int) -> list[EndpointBinding]:
        """Return the bindings to endpoints of *zone* that its owner with *token* did not report."""
        return [
            known.binding
            for known in self._bindings.values()
            if known.zone == zone and known.token != token
        ]

    def annotate(self, message: SubmitRuns, zone: str, now_ms: float) -> SubmitRuns:
        """Return *message* to the owner of *zone* with what it must know about its tasks.

        An owner knows the bindings of its own term best: it may have lifted them since.
        """
        self._crashes.expire(now_ms)
        self._expire_bindings(now_ms)
        orders, bindings = [], []
        for order in message.orders:
            task = TaskId(message.job_id, message.repeat, order.step, order.position)
            crashes = order.crashes.merged(self._crashes.count_of(task))
            orders.append(order._replace(crashes=crashes))
            known = self._bindings.get(task)
            if known is None or known.zone != zone:
                continue
            if not known.token or known.token != message.token:
                bindings.append(known.binding)
        return message._replace(orders=orders, bindings=tuple(bindings))

    def _note_lifted(self, binding: EndpointBinding, token: int, now_ms: float) -> None:
        order = (binding.run_id, binding.endpoint)
        self._lifted.pop(order, None)
        self._lifted[order] = _LiftedBinding(token, now_ms + _LIFTED_TTL_MS)

    def _was_lifted(self, binding: EndpointBinding, token: int) -> bool:
        """Return whether *binding* was lifted by the owner with *token* or a later one."""
        lifted = self._lifted.get((binding.run_id, binding.endpoint))
        return lifted is not None and token <= lifted.token

    def _expire_bindings(self, now_ms: float) -> None:
        # Insertion order is the order of expiry.
        while self._lifted:
            order, lifted = next(iter(self._lifted.items()))
            if now_ms < lifted.expires_ms:
                break
            del self._lifted[order]
        while self._bindings:
            task, known = next(iter(self._bindings.items()))
            if now_ms < known.expires_ms:
                return
            del self._bindings[task]
