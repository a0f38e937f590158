# SPDX-License-Identifier: MIT
"""The endpoint catalog under delayed, duplicated and reordered reports."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand

_READY = EndpointRecord("w1", "svc", "127.0.0.1:9", "a", Demand(16_000, 32_000, 0), sequence=5)


class TestMerge:
    """Order between two records of the same incarnation."""

    def test_newer_sequence_holds(self) -> None:
        """A higher sequence replaces the record; a lower one is dropped as late."""
        catalog = EndpointCatalog()
        assert catalog.merge(_READY, 0.0)
        assert catalog.merge(_READY._replace(sequence=6, labels=("x",)), 1.0)
        assert not catalog.merge(_READY._replace(sequence=5, labels=("y",)), 2.0)
        assert catalog.records[0].labels == ("x",)

    def test_same_content_is_no_change(self) -> None:
        """A heartbeat without changes does not increase the revision."""
        catalog = EndpointCatalog()
        catalog.merge(_READY, 0.0)
        revision = catalog.revision
        assert not catalog.merge(_READY._replace(sequence=6), 1.0)
        assert catalog.revision == revision
        assert catalog.silent_since(0.5) == []

    def test_draining_is_final(self) -> None:
        """A draining endpoint never becomes ready again."""
        catalog = EndpointCatalog()
        catalog.merge(_READY._replace(sequence=7, state=EndpointState.DRAINING), 0.0)
        assert not catalog.merge(_READY._replace(sequence=8), 1.0)
        assert catalog.records[0].state is EndpointState.DRAINING

    def test_gone_stays_gone(self) -> None:
        """A delayed heartbeat does not restore an endpoint that has deregistered."""
        catalog = EndpointCatalog()
        catalog.merge(_READY, 0.0)
        assert catalog.note_deregistration("w1", 1.0)
        assert not catalog.merge(_READY._replace(sequence=9), 2.0)
        assert catalog.records == []

    def test_evicted_is_accepted_again(self) -> None:
        """An evicted endpoint is accepted again, unlike one that is gone."""
        catalog = EndpointCatalog()
        catalog.merge(_READY, 0.0)
        assert catalog.silent_since(1.0) == ["w1"]
        catalog.evict("w1")
        assert catalog.merge(_READY._replace(sequence=9), 2.0)


_FIRST = _READY._replace(sequence=17, born_ms=1_000)
_SECOND = _READY._replace(sequence=1, born_ms=2_000)
_DRAINING = EndpointState.DRAINING


class TestLives:
    """Incarnations with the same id, each with its own sequence."""

    def test_second_incarnation_drains(self) -> None:
        """A second incarnation's draining is accepted despite its lower sequence."""
        catalog = EndpointCatalog()
        catalog.merge(_FIRST, 0.0)
        leaving = _SECOND._replace(sequence=4, state=_DRAINING)
        assert catalog.merge(leaving, 1.0)
        assert catalog.records == [leaving]

    @pytest.mark.parametrize("state", [_DRAINING, EndpointState.GONE])
    def test_ready_again(self, state: EndpointState) -> None:
        """A ready second incarnation replaces a first one that is draining or gone."""
        catalog = EndpointCatalog()
        catalog.merge(_FIRST._replace(state=state), 0.0)
        assert catalog.merge(_SECOND, 1.0)
        assert catalog.records == [_SECOND]

    @pytest.mark.parametrize("born_ms", [1_000, 0])
    def test_delayed_report(self, born_ms: int) -> None:
        """Reports of the first incarnation, or without a start time, do not affect the second."""
        catalog = EndpointCatalog()
        catalog.merge(_SECOND, 0.0)
        assert not catalog.merge(_FIRST._replace(born_ms=born_ms, state=_DRAINING), 1.0)
        assert catalog.records == [_SECOND]
        assert catalog.silent_since(0.5) == ["w1"]

    def test_delayed_deregistration(self) -> None:
        """A deregistration has no effect on an incarnation that is not draining."""
        catalog = EndpointCatalog()
        catalog.merge(_SECOND, 0.0)
        assert not catalog.note_deregistration("w1", 1.0)
        assert catalog.records == [_SECOND]
        catalog.merge(_SECOND._replace(state=_DRAINING), 2.0)
        assert catalog.note_deregistration("w1", 3.0)
        assert catalog.records == []

    def test_end_of_earlier_incarnation(self) -> None:
        """Ending the first incarnation does not end the second."""
        catalog = EndpointCatalog()
        catalog.merge(_SECOND, 0.0)
        assert not catalog.end_incarnation("w1", _FIRST.born_ms, 1.0)
        assert catalog.end_incarnation("w1", _SECOND.born_ms, 2.0)

    @given(st.permutations(list(itertools.product([0, 1_000, 2_000], EndpointState, [1, 5]))))
    def test_whoever_told_it_last(self, told: list[tuple[int, EndpointState, int]]) -> None:
        """All orders of arrival converge on the same record."""
        catalog = EndpointCatalog()
        for born_ms, state, sequence in told:
            catalog.merge(_READY._replace(born_ms=born_ms, state=state, sequence=sequence), 0.0)
        held = catalog.get("w1")
        assert held is not None
        assert (held.born_ms, held.state, held.sequence) == (2_000, EndpointState.GONE, 5)


class TestChanges:
    """Changes that are sent to other boxes."""

    def test_changes_since(self) -> None:
        """Only changes after the revision are returned, including deregistrations."""
        catalog = EndpointCatalog()
        catalog.merge(_READY, 0.0)
        catalog.merge(_READY._replace(endpoint="w2"), 0.0)
        revision = catalog.revision
        catalog.note_deregistration("w1", 1.0)
        changed = catalog.changes_since(revision)
        assert [(one.endpoint, one.state) for one in changed] == [("w1", EndpointState.GONE)]
        assert catalog.changes_since(catalog.revision) == []
