# SPDX-License-Identifier: MIT
"""Runs that an earlier owner may have started, and that a new one looks for.

Owns nothing; decisions only. An entry box delivers what it has open to a new owner. Whether the
earlier owner has started it is not known: the run is recovering until an endpoint lists it, or
until it is certain that no endpoint runs it.
"""

from __future__ import annotations

from collections.abc import Iterable

from foldloom.seed_discovery.scheduling.runs import RecoveryBound, Run


def recovery_bound(now_ms: float, old_right_ms: float, gone_after_ms: float) -> RecoveryBound:
    """Return until when a run of an earlier owner must be looked for.

    Args:
        now_ms: Own monotonic clock.
        old_right_ms: For how much longer the earlier owner may start it, in milliseconds.
        gone_after_ms: How long after that its lease may last on any endpoint.
    """
    grant_ends_ms = now_ms + old_right_ms
    return RecoveryBound(grant_ends_ms, grant_ends_ms + gone_after_ms)


def is_lost(run: Run, polled_ms: Iterable[float], is_catalog_complete: bool, now_ms: float) -> bool:
    """Return whether a recovering run is certainly on no endpoint.

    Args:
        run: The run.
        reported_ms: For each endpoint of its service, when its newest report was asked for.
        knows_all_endpoints: Whether every endpoint that the earlier owner knew is among them.
        now_ms: Own monotonic clock.
    """
    bound = run.recovery_bound
    if now_ms >= bound.lost_at_ms:
        return True
    if not is_catalog_complete:
        return False
    return all(last_polled_ms > bound.reports_after_ms for last_polled_ms in polled_ms)
