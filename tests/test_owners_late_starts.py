# SPDX-License-Identifier: MIT
"""Orders to start that got no answer: who is told to stop them, and for how long."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import StopAction
from foldloom.seed_discovery.owners.late_starts import LATE_ORDER_MAX_MS, LateStarts

_RUN = RunId(TaskId("1" * 16, 0, 0, 0), 1)
_STOP = StopAction(_RUN, "w1")
_SENT_MS = 1_000.0


def _late_starts_with_one() -> LateStarts:
    late = LateStarts()
    late.note(_RUN, "w1", _SENT_MS)
    return late


class TestPresentLife:
    """The life that the order was sent to."""

    def test_again_until_it_answers(self) -> None:
        """The stop that was sent with the note is due again later, until it is confirmed."""
        late = _late_starts_with_one()
        assert late.stops_due({"w1"}, _SENT_MS, _SENT_MS + 100) == []
        assert late.stops_due({"w1"}, _SENT_MS + 1, _SENT_MS + 101) == [_STOP]
        late.note_stopped(_RUN, "w1")
        assert late.stops_due({"w1"}, _SENT_MS + 500, _SENT_MS + 600) == []

    def test_only_those_that_answer(self) -> None:
        """Nothing is due at an endpoint that is not named."""
        assert _late_starts_with_one().stops_due({"w2"}, _SENT_MS + 1, _SENT_MS + 101) == []


class TestNextLife:
    """The life that follows under the endpoint's id."""

    def test_it_is_told_at_once(self) -> None:
        """What the life before had confirmed holds no more."""
        late = _late_starts_with_one()
        late.note_stopped(_RUN, "w1")
        late.end_life("w1")
        assert late.stops_due({"w1"}, _SENT_MS, _SENT_MS + 10) == [_STOP]

    def test_not_that_of_another_endpoint(self) -> None:
        """The end of one endpoint's life says nothing of the others'."""
        late = _late_starts_with_one()
        late.note_stopped(_RUN, "w1")
        late.end_life("w2")
        assert late.stops_due({"w1"}, _SENT_MS + 1, _SENT_MS + 101) == []


class TestTooLate:
    """An order that can't be carried out any more."""

    def test_is_forgotten(self) -> None:
        """One that was sent later is not."""
        late = _late_starts_with_one()
        other = RunId(TaskId("2" * 16, 0, 0, 0), 1)
        late.note(other, "w1", _SENT_MS + 50)
        now_ms = _SENT_MS + LATE_ORDER_MAX_MS
        assert late.stops_due({"w1"}, now_ms - 100, now_ms) == [StopAction(other, "w1")]
