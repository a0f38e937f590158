# SPDX-License-Identifier: MIT
"""Retransmission of stop orders for start orders that got no answer."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import Actions, StopAction
from foldloom.seed_discovery.owners.unanswered_starts import (
    UNANSWERED_ORDER_TTL_MS,
    UnansweredStarts,
)

_RUN = RunId(TaskId("1" * 16, 0, 0, 0), 1)
_STOP = StopAction(_RUN, "w1")
_SENT_MS = 1_000.0


def _one_unanswered() -> UnansweredStarts:
    unanswered = UnansweredStarts(Actions())
    unanswered.add(_RUN, "w1", _SENT_MS)
    return unanswered


class TestPresentLife:
    """The incarnation that the start order was sent to."""

    def test_again_until_it_answers(self) -> None:
        """The stop order is retransmitted until confirmed."""
        unanswered = _one_unanswered()
        assert unanswered.stops_due({"w1"}, _SENT_MS, _SENT_MS + 100) == []
        assert unanswered.stops_due({"w1"}, _SENT_MS + 1, _SENT_MS + 101) == [_STOP]
        unanswered.note_stopped(_RUN, "w1")
        assert unanswered.stops_due({"w1"}, _SENT_MS + 500, _SENT_MS + 600) == []

    def test_only_those_that_answer(self) -> None:
        """No stop order is due for an endpoint that is not listed."""
        assert _one_unanswered().stops_due({"w2"}, _SENT_MS + 1, _SENT_MS + 101) == []


class TestNextIncarnation:
    """The next incarnation under the endpoint's id."""

    def test_next_incarnation_gets_stop(self) -> None:
        """A confirmation by the previous incarnation is void, and the stop order is due at once."""
        unanswered = _one_unanswered()
        unanswered.note_stopped(_RUN, "w1")
        unanswered.end_incarnation("w1")
        assert unanswered.stops_due({"w1"}, _SENT_MS, _SENT_MS + 10) == [_STOP]

    def test_not_that_of_another_endpoint(self) -> None:
        """A new incarnation of one endpoint does not affect other endpoints."""
        unanswered = _one_unanswered()
        unanswered.note_stopped(_RUN, "w1")
        unanswered.end_incarnation("w2")
        assert unanswered.stops_due({"w1"}, _SENT_MS + 1, _SENT_MS + 101) == []


class TestExpiry:
    """A start order that can no longer be carried out."""

    def test_is_forgotten(self) -> None:
        """An expired order is removed, a later one is kept."""
        unanswered = _one_unanswered()
        other = RunId(TaskId("2" * 16, 0, 0, 0), 1)
        unanswered.add(other, "w1", _SENT_MS + 50)
        now_ms = _SENT_MS + UNANSWERED_ORDER_TTL_MS
        assert unanswered.stops_due({"w1"}, now_ms - 100, now_ms) == [StopAction(other, "w1")]
