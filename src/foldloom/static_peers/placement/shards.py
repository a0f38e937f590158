# SPDX-License-Identifier: MIT
"""Assignment of endpoints to shards and of shards to lease managers.

Each shard has one lease manager, chosen among the live entry boxes by rendezvous hashing. A small
fleet is a single shard, so that one queue covers every slot; a larger one is split by zone, then
by hash.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from foldloom.controllers.config import Config, Endpoint

FLEET = "fleet"


def shard_names(config: Config, shard_endpoints_max: int) -> dict[str, list[str]]:
    """Return the endpoints of each shard, by shard name."""
    if len(config.endpoints) <= shard_endpoints_max:
        return {FLEET: list(config.endpoints)} if config.endpoints else {}
    by_zone: dict[str, list[str]] = {}
    for name, endpoint in config.endpoints.items():
        by_zone.setdefault(endpoint["zone"], []).append(name)
    shards: dict[str, list[str]] = {}
    for zone, names in by_zone.items():
        count = -(-len(names) // shard_endpoints_max)
        for name in names:
            shards.setdefault(f"{zone}/{_bucket(name, count)}", []).append(name)
    return shards


def manager_of(shard: str, zone_by_box: dict[str, str]) -> str:
    """Return the lease manager of *shard* among the live boxes, or an empty string.

    A shard of a zone is managed in that zone while a box there is live.
    """
    zone = shard.partition("/")[0]
    in_zone = [box for box, box_zone in zone_by_box.items() if box_zone == zone]
    boxes = in_zone or list(zone_by_box)
    if not boxes:
        return ""
    return max(boxes, key=lambda box: (xxhash.xxh3_64_intdigest(f"{shard}|{box}".encode()), box))


class ManagerCache:
    """Cache of the lease manager of each shard.

    Args:
        serving: Returns the zone of each live box that is not stopping.
        cache_ttl_ms: Time-to-live of the cache.
    """

    def __init__(self, serving: Callable[[], dict[str, str]], cache_ttl_ms: float) -> None:
        self._serving = serving
        self._cache_ttl_ms = cache_ttl_ms
        self._cached_ms = 0.0
        self._managers: dict[str, str] = {}

    def manager_of(self, shard: str, now_ms: float) -> str:
        """Return the lease manager of *shard*, or an empty string."""
        if now_ms - self._cached_ms > self._cache_ttl_ms:
            self._cached_ms = now_ms
            self._managers.clear()
        if shard not in self._managers:
            self._managers[shard] = manager_of(shard, self._serving())
        return self._managers[shard]

    def invalidate(self) -> None:
        """Invalidate the cache after a change of the serving boxes."""
        self._managers.clear()


def is_in_reachable_zone(endpoint: Endpoint, reachable_zones: set[str]) -> bool:
    """Return whether *endpoint* is in a reachable zone."""
    return endpoint["zone"] in reachable_zones


def _bucket(name: str, count: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % count
