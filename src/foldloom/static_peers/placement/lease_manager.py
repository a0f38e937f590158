# SPDX-License-Identifier: MIT
"""Lease manager: the shards managed by this box and their messages.

Shard state is soft: a new lease manager rebuilds it from the holders' renewals. Membership
determines which box manages which shard.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.controllers.config import Config
from foldloom.logs import PLACE_LOG
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.membership import ShardLoad
from foldloom.static_peers.placement.messages import (
    SlotCancel,
    SlotHold,
    SlotRequest,
    SlotReturn,
)
from foldloom.static_peers.placement.policies import Policy
from foldloom.static_peers.placement.shard import Shard
from foldloom.static_peers.placement.shards import is_in_reachable_zone, shard_names
from foldloom.tasks import TaskSet

# Seconds between ticks.
_TICK_S = 0.1
# How long a new lease manager collects reports of existing leases before it grants slots, in
# milliseconds. Longer than a heartbeat interval, within which the holders learn of the change.
_REPORT_WINDOW_MS = 300
# Time-to-live of a grant message, in milliseconds.
_GRANT_TTL_MS = 500
# Bits of the random first lease id.
_LEASE_ID_BITS = 62


class BoxQueries(NamedTuple):
    """Callbacks into the box.

    Args:
        manager_of: Returns the lease manager of a shard in this box's view.
        check_liveness: Returns whether an endpoint answers a liveness check.
        is_live: Returns whether a box is live.
    """

    manager_of: Callable[[str], str]
    check_liveness: Callable[[str], Awaitable[bool]]
    is_live: Callable[[str], bool]


class LeaseManager:
    """Manages the shards assigned to this box.

    Args:
        settings: This box's settings.
        network: Messages to the peers.
        metrics: Counters.
        policy: The placement policy.
        queries: Callbacks into the box.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        metrics: Metrics,
        policy: Policy,
        queries: BoxQueries,
    ) -> None:
        self._settings = settings
        self._network = network
        self._metrics = metrics
        self._policy = policy
        self._queries = queries
        self._shards: dict[str, Shard] = {}
        self._grants_from_ms: dict[str, float] = {}
        self._shard_of_endpoint: dict[str, str] = {}
        self._tasks = TaskSet()
        # A random start makes collisions between lease managers unlikely.
        self._lease_ids = itertools.count(random.getrandbits(_LEASE_ID_BITS))
        network.on(SlotRequest, self._on_request)
        network.on(SlotCancel, self._on_cancel)
        network.on(SlotReturn, self._on_return)
        network.on(SlotHold, self._on_hold)

    @property
    def loads(self) -> list[ShardLoad]:
        """Load of each managed shard, for the heartbeat."""
        return [
            ShardLoad(name, shard.free_slots, shard.queued, 0.0)
            for name, shard in self._shards.items()
        ]

    @property
    def shards(self) -> dict[str, Shard]:
        """The managed shards by name."""
        return dict(self._shards)

    def apply_config(self, config: Config, leaving: set[str], reachable_zones: set[str]) -> None:
        """Apply a configuration: take over or release shards and update their endpoints."""
        names = shard_names(config, self._settings.limits.lease_shard_endpoints)
        self._shard_of_endpoint = {
            endpoint: shard for shard, endpoints in names.items() for endpoint in endpoints
        }
        for removed in set(self._shards) - set(names):
            self._release_shard(removed)
        eligible = {
            name
            for name, endpoint in config.endpoints.items()
            if name not in leaving and is_in_reachable_zone(endpoint, reachable_zones)
        }
        for name, endpoints in names.items():
            if self._queries.manager_of(name) != self._settings.box:
                self._release_shard(name)
                continue
            shard = self._shards.get(name) or self._take_over(name)
            shard.set_endpoints(config, endpoints, eligible)

    async def run(self) -> None:
        """Expire leases, check ejected endpoints and grant slots, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            now_ms = monotonic_ms()
            for name, shard in list(self._shards.items()):
                shard.tick(now_ms)
                shard.drop_dead_coordinators(self._queries.is_live)
                for endpoint in shard.ejection.due_for_liveness_check(now_ms):
                    shard.ejection.record_unresponsive(endpoint, now_ms)
                    self._tasks.spawn(self._check_liveness(shard, endpoint))
                self._send_grants(name, shard)
                self._metrics.gauge(f"leases.{name}", shard.lease_count)
                self._metrics.gauge(f"queue.{name}", shard.queued)

    async def _check_liveness(self, shard: Shard, endpoint: str) -> None:
        self._metrics.count("messages.wasted.probe")
        if await self._queries.check_liveness(endpoint):
            shard.ejection.mark_responsive(endpoint)

    def _take_over(self, name: str) -> Shard:
        shard = Shard(self._settings, self._policy, self._lease_ids)
        self._shards[name] = shard
        # Existing leases are unknown until their holders report them.
        self._grants_from_ms[name] = monotonic_ms() + _REPORT_WINDOW_MS
        PLACE_LOG.info("Took over the leases of shard {}.", name)
        return shard

    def _release_shard(self, name: str) -> None:
        if self._shards.pop(name, None) is not None:
            self._grants_from_ms.pop(name, None)
            PLACE_LOG.info("Released the leases of shard {}: no longer its lease manager.", name)

    def _on_request(self, sender: str, message: SlotRequest) -> None:
        shard = self._shards.get(message.shard)
        if shard is None:
            return
        refusal = shard.add(sender, message)
        if refusal is not None:
            PLACE_LOG.info(
                "Refused {} tasks of service {} for customer {}: {}.",
                message.tasks,
                message.service,
                message.customer,
                refusal.reason,
            )
            self._network.send(sender, refusal)
            return
        self._send_grants(message.shard, shard)

    def _on_cancel(self, sender: str, message: SlotCancel) -> None:
        for shard in self._shards.values():
            shard.cancel(sender, message.request_id)

    def _on_return(self, _sender: str, message: SlotReturn) -> None:
        name = self._shard_of_endpoint.get(message.endpoint, "")
        shard = self._shards.get(name)
        if shard is None:
            self._metrics.count("messages.wasted.return")
            return
        shard.release(message, monotonic_ms())
        self._send_grants(name, shard)

    def _on_hold(self, sender: str, message: SlotHold) -> None:
        now_ms = monotonic_ms()
        for held in message.leases:
            shard = self._shards.get(self._shard_of_endpoint.get(held.endpoint, ""))
            if shard is not None:
                shard.hold(sender, held, now_ms)

    def _send_grants(self, name: str, shard: Shard) -> None:
        if monotonic_ms() < self._grants_from_ms.get(name, 0.0):
            return
        for grant in shard.match(monotonic_ms()):
            self._network.send(grant.coordinator, grant.message, _GRANT_TTL_MS)
        for event in shard.take_events():
            PLACE_LOG.info("{}", event)
