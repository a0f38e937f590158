# SPDX-License-Identifier: MIT
"""What an owner has heard of the zone's earlier owners when its term begins. Owns nothing.

An orphaned run is one of an earlier term whose box may have been lost before or together with that
term's owner. By when it must have ended depends on when its box was last known to be alive, however
many owners have followed since. So leases beside it are limited by that time.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from foldloom.seed_discovery.owners.holder_confirmations import NEVER_MS
from foldloom.seed_discovery.owners.lease import (
    LAPSE_MARGIN_MS,
    max_real_duration_ms,
    run_expiry_ms,
)
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.settings import TimingSettings


class EarlierTerms(NamedTuple):
    """The bounds on runs of earlier terms, by the owner's monotonic clock.

    Args:
        confirmed_ms: When all boxes that hold these runs were last known to be alive.
        orphans_expire_ms: By when a run of a box that was lost after that must be on no endpoint.
        leases_end_ms: When every lease that earlier owners have ordered has expired.
    """

    confirmed_ms: float = NEVER_MS
    orphans_expire_ms: float = NEVER_MS
    leases_end_ms: float = NEVER_MS

    def lease_limit_ms(self, candidate: ZoneEndpoint) -> float:
        """Return by when a lease of *candidate* must expire; infinity without orphaned runs."""
        return self.orphans_expire_ms if candidate.orphans else float("inf")

    def may_have_runs(self, candidates: Iterable[ZoneEndpoint], now_ms: float) -> bool:
        """Return whether a run of an earlier term may be on an endpoint, delivered by no box."""
        is_lease_left = now_ms < self.leases_end_ms
        return any(
            candidate.orphans or (is_lease_left and not candidate.has_reported)
            for candidate in candidates
        )


def earlier_terms(confirmed_ms: float, now_ms: float, timings: TimingSettings) -> EarlierTerms:
    """Return the bounds at the beginning of a term.

    Args:
        confirmed_ms: When the boxes that hold runs were last known to be alive, as heard from the
            earlier owners.
        now_ms: Own monotonic clock.
        timings: Session and lease times.
    """
    # Without the margin, which is for timers of a box that waits for the end of its runs.
    expiry_ms = timings.session_ms + run_expiry_ms(timings.endpoint_lease_ms) - LAPSE_MARGIN_MS
    lease_max_ms = max_real_duration_ms(timings.endpoint_lease_max_ms)
    return EarlierTerms(confirmed_ms, confirmed_ms + expiry_ms, now_ms + lease_max_ms)
