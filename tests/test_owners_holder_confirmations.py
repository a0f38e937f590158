# SPDX-License-Identifier: MIT
"""What a box learns from an owner's heartbeats of the boxes that hold runs, and its bounds."""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import BoxRecord, OwnerHeartbeat, OwnerRecord, ZoneLoad
from foldloom.seed_discovery.jobs.spec import Demand, TaskId
from foldloom.seed_discovery.owners.earlier_terms import earlier_terms
from foldloom.seed_discovery.owners.grant import grant_timeout_ms
from foldloom.seed_discovery.owners.holder_confirmations import (
    NEVER_MS,
    HolderConfirmations,
    encode_unconfirmed,
)
from foldloom.seed_discovery.owners.lease import LAPSE_MARGIN_MS
from foldloom.seed_discovery.owners.reports import ORPHAN_GRACE_MS, orphan_stop_due_ms
from foldloom.seed_discovery.scheduling.endpoints import OrphanedRun, ZoneEndpoint
from foldloom.settings import ENTRY, TimingSettings

_BOX = BoxRecord("10.0.0.1:1", 1, "z", ENTRY)
_TIMINGS = TimingSettings()


def _heartbeat(sent_ms: int, unconfirmed_ms: int) -> OwnerHeartbeat:
    owner = OwnerRecord("z", 7, _BOX.box, _BOX.incarnation)
    return OwnerHeartbeat(owner, _BOX, sent_ms, 0, ZoneLoad(), True, unconfirmed_ms)


class TestHolderConfirmations:
    """The times are on the box's clock, which differs from the owner's."""

    def test_none_heard(self) -> None:
        """A box that has heard no heartbeat, as after its start, knows nothing."""
        assert HolderConfirmations().confirmed_ms == NEVER_MS

    def test_prompt_heartbeat(self) -> None:
        """The time in the heartbeat counts from its sending."""
        confirmations = HolderConfirmations()
        confirmations.note(_heartbeat(5_000, 150), 1_000.0)
        assert confirmations.confirmed_ms == 850.0

    # Guards against a heartbeat that waited in a socket and is taken for a recent one.
    def test_late_heartbeat(self) -> None:
        """A heartbeat that took longer than earlier ones says less by that time."""
        confirmations = HolderConfirmations()
        confirmations.note(_heartbeat(5_000, 150), 1_000.0)
        confirmations.note(_heartbeat(5_100, 150), 1_400.0)
        assert confirmations.confirmed_ms == pytest.approx(950.0, abs=1.0)

    def test_earlier_release(self) -> None:
        """An owner of an earlier release confirms nothing, whatever was heard before."""
        confirmations = HolderConfirmations()
        confirmations.note(_heartbeat(5_000, 150), 1_000.0)
        confirmations.note(_heartbeat(5_100, -1), 1_100.0)
        assert confirmations.confirmed_ms == NEVER_MS

    @pytest.mark.parametrize(("confirmed_ms", "encoded"), [(NEVER_MS, -1), (990.5, 10), (1_000, 1)])
    def test_encoded(self, confirmed_ms: float, encoded: int) -> None:
        """The time is rounded up, so that no confirmation seems more recent than it is."""
        assert encode_unconfirmed(confirmed_ms, 1_000.0) == encoded


class TestEarlierTerms:
    """The bounds of a term on runs of the terms before it."""

    _ENDPOINT = EndpointRecord("w1", "svc", "w1:1", "z", Demand(16_000, 32_000, 0))

    def test_limit(self) -> None:
        """Leases beside an orphaned run expire when all runs of a lost box have to have ended."""
        candidate = ZoneEndpoint(self._ENDPOINT)
        terms = earlier_terms(100.0, 600.0, _TIMINGS)
        assert terms.lease_limit_ms(candidate) == float("inf")
        candidate.orphans[TaskId("a" * 16, 0, 0, 0)] = OrphanedRun(1, 600.0)
        limit_ms = terms.lease_limit_ms(candidate)
        assert limit_ms == 100.0 + grant_timeout_ms(_TIMINGS) - LAPSE_MARGIN_MS

    def test_runs_of_earlier_terms(self) -> None:
        """An endpoint may have some until it has reported, or earlier leases have expired."""
        candidate = ZoneEndpoint(self._ENDPOINT)
        terms = earlier_terms(100.0, 600.0, _TIMINGS)
        assert terms.may_have_runs([candidate], 700.0)
        assert not terms.may_have_runs([candidate], terms.leases_end_ms)
        candidate.has_reported = True
        assert not terms.may_have_runs([candidate], 700.0)
        candidate.orphans[TaskId("a" * 16, 0, 0, 0)] = OrphanedRun(1, 600.0)
        assert terms.may_have_runs([candidate], 9_000.0)


class TestStopOfOrphanedRun:
    """When an orphaned run is stopped: early enough for the other runs on its endpoint."""

    @pytest.mark.parametrize(
        ("expire_ms", "due_ms"),
        [
            (2_000.0, 1_000.0 + ORPHAN_GRACE_MS),
            (1_400.0, 1_200.0),
            (1_200.0, 1_150.0),
            (NEVER_MS, 1_150.0),
        ],
    )
    def test_first_stop(self, expire_ms: float, due_ms: float) -> None:
        """After the grace period, or before the lease expires, but not at once."""
        assert orphan_stop_due_ms(OrphanedRun(1, 1_000.0), expire_ms) == due_ms

    def test_retransmission(self) -> None:
        """An unconfirmed stop order is retransmitted well within a lease."""
        assert orphan_stop_due_ms(OrphanedRun(1, 1_000.0, 1_300.0), 2_000.0) == 1_400.0
