# SPDX-License-Identifier: MIT
"""The entry role of a box: claims, slots, and the coordinator of callers' jobs.

Builds the components that only entry boxes have. They use the components that every box has
(:class:`SharedComponents`).
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.controllers.client import ControllerClient
from foldloom.controllers.config import BoxList, endpoints_of
from foldloom.controllers.holder import ConfigStore
from foldloom.logs import ENTRY_LOG
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.claims.acquire import ClaimAcquirer
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.endpoints.adapter import EndpointAdapter
from foldloom.static_peers.endpoints.platform import PlatformList
from foldloom.static_peers.endpoints.usage import UsageReports
from foldloom.static_peers.entry.coordinator import Coordinator
from foldloom.static_peers.entry.follow import JobFollower
from foldloom.static_peers.entry.jobs import JobTable
from foldloom.static_peers.entry.lookup import JobLookup
from foldloom.static_peers.entry.run import RunContext
from foldloom.static_peers.membership import Membership, ShardLoad
from foldloom.static_peers.placement.direct_slots import DirectSlots
from foldloom.static_peers.placement.lease_manager import BoxQueries, LeaseManager
from foldloom.static_peers.placement.leased_slots import LeasedSlots
from foldloom.static_peers.placement.policies import POLICIES, SlotLeases
from foldloom.static_peers.placement.retries import RetryBudget
from foldloom.static_peers.placement.shards import ManagerCache
from foldloom.static_peers.placement.slots import SlotSource
from foldloom.tasks import TaskSet
from foldloom.time_limits import SuspendAwareTimeout

# The manager of a shard is looked up for each lease, and changes only with membership.
_MANAGER_CACHE_MS = 50.0
_EXPIRY_INTERVAL_S = 5.0
# Heartbeats sent at the end of a planned stop; repeated because some may be lost.
_FINAL_HEARTBEATS = 4
_FINAL_HEARTBEAT_INTERVAL_S = 0.05


class SharedComponents(NamedTuple):
    """Components that every box has.

    Args:
        settings: This box's settings.
        network: Messages to and from the peers.
        metrics: Counters.
        holder: The configuration in effect.
        client: Client of the controllers' leader.
        membership: Liveness of the boxes.
        platform: The platform's list of leaving boxes and endpoints.
        adapter: Client for the endpoints.
        tasks: The task set that runs the role's background tasks.
    """

    settings: Settings
    network: PeerNetwork
    metrics: Metrics
    holder: ConfigStore
    client: ControllerClient
    membership: Membership
    platform: PlatformList
    adapter: EndpointAdapter
    tasks: TaskSet


class EntryRole:
    """The components of an entry box.

    Args:
        parts: The components that every box has.
        is_stopping: Returns whether a planned stop has begun.
    """

    def __init__(self, parts: SharedComponents, is_stopping: Callable[[], bool]) -> None:
        self._parts = parts
        self._settings = parts.settings
        self._successor = ""
        self._last_inputs: Any = None
        self._managers = ManagerCache(self._serving_zones, _MANAGER_CACHE_MS)
        self._leases: LeaseManager | None = None
        self._claims = self._build_claims()
        limits = self._settings.limits
        self._jobs = JobTable(
            self._settings.retention_ms,
            limits.retained_jobs_max,
            limits.retained_bytes_max,
            parts.metrics,
        )
        parts.tasks.spawn(self._expire_jobs())
        self._follower = JobFollower(self._settings, parts.network, parts.membership, self._jobs)
        self._coordinator = Coordinator(
            self._settings,
            ClaimAcquirer(self._settings, parts.network, self._claims),
            self._follower,
            self._jobs,
            self._build_run_context(),
            is_stopping,
        )
        self._lookup = JobLookup(
            self._settings, parts.network, self._claims, self._follower, self._jobs
        )

    @property
    def coordinator(self) -> Coordinator:
        """The coordinator of callers' jobs."""
        return self._coordinator

    @property
    def lookup(self) -> JobLookup:
        """The job lookup."""
        return self._lookup

    @property
    def can_vote(self) -> bool:
        """Whether this box votes on claims."""
        return self._claims.can_vote

    @property
    def loads(self) -> list[ShardLoad]:
        """Loads of the shards managed by this box."""
        return [] if self._leases is None else self._leases.loads

    @property
    def successor(self) -> str:
        """The box that received the retained responses at a planned stop, or ''."""
        return self._successor

    def propagate_inputs(self) -> None:
        """Pass changed configuration, membership and platform lists to the lease manager."""
        if self._leases is None:
            return
        config, leaving = self._parts.holder.config, set(self._parts.platform.leaving)
        zones = self._reachable_zones()
        live = [box for box in self._settings.entry_names if self._parts.membership.is_serving(box)]
        inputs = (config.version, leaving, zones, live)
        if inputs == self._last_inputs:
            return
        # Each change is handled once, so it must not be hidden by a cached manager.
        self._managers.invalidate()
        self._leases.apply_config(config, leaving, zones)
        self._last_inputs = inputs

    async def drain(self) -> None:
        """Finish the jobs in flight and hand over retained responses, within the stop timeout."""
        try:
            async with SuspendAwareTimeout(self._settings.timings.stop_timeout_ms):
                await self._coordinator.wait_all_finished()
                await self._hand_over_responses()
        except TimeoutError:
            ENTRY_LOG.warning("The planned stop timed out; jobs in flight are aborted.")
        for _ in range(_FINAL_HEARTBEATS):
            self._parts.membership.send_heartbeat()
            await asyncio.sleep(_FINAL_HEARTBEAT_INTERVAL_S)

    async def _hand_over_responses(self) -> None:
        """Hand retained responses over to another entry box, preferably in the same zone."""
        successors = [
            box
            for box in self._settings.entry_names
            if box != self._settings.box and self._parts.membership.is_serving(box)
        ]
        zone_of = self._parts.network.zone_of
        successors.sort(key=lambda box: zone_of(box) != self._settings.zone)
        if not successors:
            return
        taken = await self._follower.hand_over_responses(successors[0])
        self._successor = successors[0]
        ENTRY_LOG.info("Handed over {} responses to {}.", taken, successors[0])

    def _build_claims(self) -> ClaimService:
        settings, parts = self._settings, self._parts
        table = ClaimTable(settings.retention_ms, settings.limits.claims_max)
        recovery = Recovery(
            settings.box,
            parts.network,
            parts.client,
            table,
            self._box_list,
            settings.retention_ms,
        )
        claims = ClaimService(
            settings.box, parts.network, table, recovery, self._box_list, parts.metrics
        )
        parts.tasks.spawn(recovery.run())
        parts.tasks.spawn(claims.run())
        return claims

    def _build_run_context(self) -> RunContext:
        parts = self._parts
        return RunContext(
            f"{self._settings.box}-{parts.network.incarnation:x}",
            itertools.count(1),
            parts.adapter,
            self._build_slots(),
            RetryBudget(self._settings.limits.retry_share),
            parts.metrics,
            lambda: parts.holder.config,
            lambda: parts.platform.leaving,
        )

    def _build_slots(self) -> SlotSource:
        """Return the slot source required by the placement policy."""
        parts = self._parts
        policy = POLICIES[self._settings.policy]
        if not isinstance(policy, SlotLeases):
            reports = UsageReports(parts.adapter, lambda: parts.holder.config)
            parts.tasks.spawn(reports.run())
            return DirectSlots(policy, self._eligible_endpoints, lambda: reports.running)
        self._leases = LeaseManager(
            self._settings,
            parts.network,
            parts.metrics,
            policy,
            BoxQueries(self._manager_of, self._is_responsive, parts.membership.is_live),
        )
        parts.tasks.spawn(self._leases.run())
        slots = LeasedSlots(
            self._settings,
            parts.network,
            parts.metrics,
            lambda: parts.holder.config,
            self._manager_of,
            self._shard_loads,
        )
        parts.tasks.spawn(slots.run())
        return slots

    def _box_list(self) -> BoxList:
        return self._parts.holder.config.boxes

    def _manager_of(self, shard: str) -> str:
        """Return the lease manager of *shard* according to this box's membership."""
        return self._managers.manager_of(shard, monotonic_ms())

    def _serving_zones(self) -> dict[str, str]:
        return {
            box: self._parts.network.zone_of(box)
            for box in self._settings.entry_names
            if self._parts.membership.is_serving(box)
        }

    def _reachable_zones(self) -> set[str]:
        network = self._parts.network
        live = [box for box in network.peer_names if self._parts.membership.is_live(box)]
        return {self._settings.zone, *map(network.zone_of, live)}

    def _shard_loads(self) -> dict[str, ShardLoad]:
        return {
            load.shard: load
            for state in self._parts.membership.states.values()
            for load in state.heartbeat.loads
        }

    def _eligible_endpoints(self, service: str) -> list[str]:
        leaving = self._parts.platform.leaving
        names = endpoints_of(self._parts.holder.config, service)
        return [name for name in names if name not in leaving]

    async def _is_responsive(self, endpoint: str) -> bool:
        configured = self._parts.holder.config.endpoints.get(endpoint)
        if configured is None:
            return False
        return await self._parts.adapter.usage(configured["endpoint"]) is not None

    async def _expire_jobs(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._jobs.expire()
