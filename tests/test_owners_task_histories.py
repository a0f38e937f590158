# SPDX-License-Identifier: MIT
"""Crash counts and bindings that entry boxes keep for the next owner of a task."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.crash_records import CRASH_RECORD_TTL_MS
from foldloom.seed_discovery.owners.messages import EndpointBinding, TaskCrashes
from foldloom.seed_discovery.owners.task_histories import TaskHistories
from foldloom.seed_discovery.owners.tombstones import TOMBSTONE_TTL_MS
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from test_owners_state import submission

_TASK = TaskId("0" * 16, 0, 0, 1)
_BINDING = EndpointBinding(RunId(_TASK, 2), "w1")


def _delivered(histories: TaskHistories, now_ms: float) -> list[CrashCount]:
    return [order.crashes for order in histories.annotate(submission(2), "a", now_ms).orders]


class TestCrashCounts:
    """An owner's count is delivered with the task, as long as an owner would keep it."""

    def test_is_delivered_with_its_task(self) -> None:
        """The step's other tasks have no count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(1, 1)), 0.0)
        assert _delivered(histories, 1.0) == [CrashCount(), CrashCount(1, 1)]

    def test_the_larger_one_counts(self) -> None:
        """A late report, or one of an owner that knows fewer crashes, lowers no count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(1, 0)), 1.0)
        assert _delivered(histories, 2.0)[1] == CrashCount(2, 1)

    def test_normal_end(self) -> None:
        """A task that has ended normally starts without a count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        histories.note_crashes(TaskCrashes(_TASK, CrashCount()), 1.0)
        assert _delivered(histories, 2.0)[1] == CrashCount()

    def test_expiry(self) -> None:
        """Counts do not accumulate."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        assert _delivered(histories, CRASH_RECORD_TTL_MS)[1] == CrashCount()


class TestBindings:
    """A binding is delivered to the owner of its endpoint's zone until it is lifted or expires."""

    def test_is_delivered_to_its_zone(self) -> None:
        """The owner of another zone does not have the endpoint."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING, 0.0)
        assert histories.bound_zone(_TASK, 1.0) == "a"
        assert histories.bound_zone(_TASK._replace(position=0), 1.0) is None
        assert histories.annotate(submission(2), "a", 1.0).bindings == (_BINDING,)
        assert histories.annotate(submission(2), "b", 1.0).bindings == ()

    def test_lifted(self) -> None:
        """The endpoint has executed or refused the order."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING, 0.0)
        histories.note_binding("a", _BINDING._replace(is_lifted=True), 1.0)
        assert histories.bound_zone(_TASK, 2.0) is None

    def test_retransmitted(self) -> None:
        """A report that arrives again after the binding was lifted has no effect."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING, 0.0, 1)
        histories.note_binding("a", _BINDING._replace(is_lifted=True), 1.0, 1)
        histories.note_binding("a", _BINDING, 2.0, 1)
        assert histories.bound_zone(_TASK, 3.0) is None

    def test_same_attempt_in_another_zone(self) -> None:
        """Another zone's order of the same attempt is not the one that was lifted."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING._replace(is_lifted=True), 0.0, 1)
        histories.note_binding("b", _BINDING._replace(endpoint="w-b"), 1.0, 2)
        assert histories.bound_zone(_TASK, 2.0) == "b"

    def test_same_attempt_of_a_later_owner(self) -> None:
        """A later owner does not know the attempts of the earlier one."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING._replace(is_lifted=True), 0.0, 1)
        histories.note_binding("a", _BINDING, 1.0, 2)
        assert histories.bound_zone(_TASK, 2.0) == "a"

    def test_same_attempt_after_the_tombstone(self) -> None:
        """Once its tombstone has expired, the owner itself uses the attempt again."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING._replace(is_lifted=True), 0.0, 1)
        histories.note_binding("a", _BINDING, TOMBSTONE_TTL_MS, 1)
        assert histories.bound_zone(_TASK, TOMBSTONE_TTL_MS + 1.0) == "a"

    def test_late_report_of_an_earlier_attempt(self) -> None:
        """A repeated or late report does not lift the binding of a later attempt."""
        histories = TaskHistories()
        earlier = _BINDING._replace(run_id=RunId(_TASK, 1))
        histories.note_binding("a", earlier, 0.0)
        histories.note_binding("a", _BINDING, 1.0)
        histories.note_binding("a", earlier._replace(is_lifted=True), 2.0)
        histories.note_binding("a", earlier, 3.0)
        assert histories.annotate(submission(2), "a", 4.0).bindings == (_BINDING,)

    def test_expiry(self) -> None:
        """Bindings do not outlast the order."""
        histories = TaskHistories()
        histories.note_binding("a", _BINDING, 0.0)
        assert histories.bound_zone(_TASK, UNANSWERED_ORDER_TTL_MS - 1.0) == "a"
        assert histories.bound_zone(_TASK, UNANSWERED_ORDER_TTL_MS) is None
