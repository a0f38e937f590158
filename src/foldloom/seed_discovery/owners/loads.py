# SPDX-License-Identifier: MIT
"""CPU load of a zone."""

from __future__ import annotations

from collections.abc import Iterable

from foldloom.seed_discovery.fleet.messages import ZoneLoad
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.run_queue import RunQueue


def zone_load(candidates: Iterable[ZoneEndpoint], run_queue: RunQueue, now_ms: float) -> ZoneLoad:
    """Return the load of the endpoints that are eligible for placement now.

    Args:
        candidates: All endpoints of the zone.
        run_queue: The queued runs of the zone.
        now_ms: Own monotonic clock.
    """
    eligible_capacities = [one.resources for one in candidates if one.is_eligible(now_ms)]
    return ZoneLoad(
        free_milli=sum(max(0, capacity.free.cpu_milli) for capacity in eligible_capacities),
        total_milli=sum(capacity.capacity.cpu_milli for capacity in eligible_capacities),
        queued_milli=run_queue.cpu_milli,
    )
