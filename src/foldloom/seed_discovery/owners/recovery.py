# SPDX-License-Identifier: MIT
"""Recovery of runs that an earlier owner may have started. Owns nothing.

After a failover entry boxes deliver their open runs to the new owner. Such a run is recovering
until an endpoint lists it, or until it is certainly on no endpoint. Reports show that only if they
cover every endpoint that the earlier owners have used. These need not be in the new owner's
catalog, which may be out of date.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from foldloom.logs import PLACE_LOG
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import RecoveryBound, Run, RunState


def recovery_bound(
    now_ms: float,
    old_right_ms: float,
    run_expiry_ms: float,
    endpoints: frozenset[str] | None = None,
) -> RecoveryBound:
    """Return until when, and where, a run of an earlier owner may be on an endpoint.

    Args:
        now_ms: Own monotonic clock.
        old_right_ms: Remaining time of the earlier owner's session.
        run_expiry_ms: Longest time after the end of that session until the run's lease expires.
        endpoints: The endpoints that earlier owners may have used; ``None`` if they are not known.
    """
    session_ends_ms = now_ms + old_right_ms
    return RecoveryBound(session_ends_ms, session_ends_ms + run_expiry_ms, endpoints)


def is_lost(
    run: Run, polled_ms: Iterable[float], includes_earlier_endpoints: bool, now_ms: float
) -> bool:
    """Return whether a recovering run is certainly on no endpoint.

    Args:
        run: The run.
        polled_ms: When each endpoint of its service was polled for its latest report.
        includes_earlier_endpoints: Whether these include every endpoint that an earlier owner may
            have used, except those that have certainly ended.
        now_ms: Own monotonic clock.
    """
    bound = run.recovery_bound
    if now_ms >= bound.lost_at_ms:
        return True
    if not includes_earlier_endpoints:
        return False
    return all(last_polled_ms > bound.reports_after_ms for last_polled_ms in polled_ms)


def end_lost(
    lifecycle: RunLifecycle,
    candidates: Mapping[str, ZoneEndpoint],
    last_polled_ms: Mapping[str, float],
    has_ended: Callable[[str], bool],
    now_ms: float,
) -> None:
    """Finish the recovering runs that are certainly on no endpoint.

    Args:
        lifecycle: The runs.
        candidates: The zone's endpoints by id.
        last_polled_ms: When each endpoint was polled for its latest report.
        has_ended: Returns whether an endpoint that is not among them has certainly ended.
        now_ms: Own monotonic clock.
    """
    recovering = lifecycle.in_state(RunState.RECOVERING)
    if not recovering:
        return
    polled_ms_by_service: dict[str, list[float]] = {}
    for endpoint, candidate in candidates.items():
        polled_ms = polled_ms_by_service.setdefault(candidate.record.service, [])
        polled_ms.append(last_polled_ms.get(endpoint, 0.0))
    for run in recovering:
        polled_ms = polled_ms_by_service.get(run.spec.service, [])
        includes_earlier_endpoints = _includes_earlier_endpoints(run, candidates, has_ended)
        if is_lost(run, polled_ms, includes_earlier_endpoints, now_ms):
            _log_lost(run, len(polled_ms), now_ms)
            lifecycle.finish(run, EndCause.LOST, "", now_ms)


def _includes_earlier_endpoints(
    run: Run, candidates: Mapping[str, ZoneEndpoint], has_ended: Callable[[str], bool]
) -> bool:
    """Return whether each endpoint that may have *run* is a candidate or has certainly ended."""
    earlier = run.recovery_bound.endpoints
    if earlier is None:
        return False
    return all(name in candidates or has_ended(name) for name in earlier)


def _log_lost(run: Run, endpoints: int, now_ms: float) -> None:
    """Log on which grounds a recovering run counts as lost."""
    bound = run.recovery_bound
    PLACE_LOG.event(
        "run.not_recovered",
        job=run.task.job_id,
        run=run.run_id.text,
        grounds="time" if now_ms >= bound.lost_at_ms else "reports",
        endpoints=endpoints,
        session_left_ms=int(bound.reports_after_ms - now_ms),
        lease_left_ms=int(bound.lost_at_ms - now_ms),
    )
