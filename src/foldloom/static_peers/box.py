# SPDX-License-Identifier: MIT
"""One box of the own interface: its parts are made, started, and stopped as planned.

Owns the parts and their tasks. Boxes with seed discovery are in :mod:`foldloom.seed_discovery`.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.controllers.client import ControllerClient
from foldloom.controllers.config import ANY_STORAGE, Config, empty_config, endpoints_of
from foldloom.controllers.controller import Controller
from foldloom.controllers.holder import ConfigHolder
from foldloom.ids import new_incarnation
from foldloom.logs import CONFIG_LOG, ENTRY_LOG
from foldloom.metrics import Metrics
from foldloom.metrics_server import MetricsServer
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import CONTROLLER, ENTRY, Settings
from foldloom.static_peers.box_list import BoxListKeeper
from foldloom.static_peers.claims.acquire import ClaimAcquirer
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.endpoints.adapter import EndpointAdapter
from foldloom.static_peers.endpoints.platform import PlatformList
from foldloom.static_peers.endpoints.usage import UsageReports
from foldloom.static_peers.entry.coordinator import Coordinator
from foldloom.static_peers.entry.follow import Follower
from foldloom.static_peers.entry.http import HttpServer
from foldloom.static_peers.entry.jobs import JobTable
from foldloom.static_peers.entry.operators import OperatorRoutes
from foldloom.static_peers.entry.run import RunContext
from foldloom.static_peers.membership import Heartbeat, Membership, ZoneLoad
from foldloom.static_peers.placement.direct_slots import DirectSlots
from foldloom.static_peers.placement.lease_manager import LeaseManager
from foldloom.static_peers.placement.leased_slots import LeasedSlots
from foldloom.static_peers.placement.policies import POLICIES, SlotLeases
from foldloom.static_peers.placement.retries import RetryBudget
from foldloom.static_peers.placement.shards import Managers
from foldloom.static_peers.placement.slots import SlotSource
from foldloom.tasks import TaskSet

# Seconds between two checks of configuration, membership and the platform's list. Not measured:
# chosen below a heartbeat (250 ms).
_FOLLOW_S = 0.1
# Milliseconds for which the manager of a shard is not determined again. Not measured: chosen
# because it is asked for with each lease, and changes with membership (1,000 ms of silence).
_MANAGERS_KEPT_MS = 50.0
# Seconds between two checks for answers to forget. Not measured: chosen small against their
# retention.
_EXPIRE_S = 5.0
# Heartbeats that say that this box stops, in case some are lost, and seconds between them. Not
# measured.
_LAST_HEARTBEATS = 4
# Seconds between two of these heartbeats.
_LAST_HEARTBEATS_STEP_S = 0.05
# Milliseconds to show that a version is the newest. Not measured: chosen above two elections.
_BARRIER_TIMEOUT_MS = 1_500


class Box:
    """Everything that runs on one box.

    Args:
        settings: This box's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._is_stopping = False
        self._is_confirmed_current = False
        self._successor = ""
        self._managers = Managers(self._serving_zones, _MANAGERS_KEPT_MS)
        self._tasks = TaskSet()
        self._metrics = Metrics(settings.statsd)
        self._network = PeerNetwork(settings, new_incarnation(), self._metrics)
        initial = _initial_config(settings)
        cache_folder = settings.data_folder
        self._holder = ConfigHolder(self._network, initial, cache_folder)
        self._client = ControllerClient(self._network, settings.controller_names)
        self._membership = Membership(settings, self._network, self._describe)
        self._controller: Controller | None = None
        if CONTROLLER in settings.roles:
            self._controller = Controller(
                settings, self._network, self._metrics, initial, self._holder.adopt
            )
        self._adapter = EndpointAdapter(settings)
        self._platform = PlatformList(settings.platform_url, settings.timings.platform_poll_ms)
        self._claims: ClaimService | None = None
        self._leases: LeaseManager | None = None
        self._leased_slots: LeasedSlots | None = None
        self._coordinator: Coordinator | None = None
        if ENTRY in settings.roles:
            self._build_entry()
        operators = OperatorRoutes(settings, self._client, self._holder, self.status)
        self._metrics_server = MetricsServer(self._metrics, settings.metrics_address)
        self._http = HttpServer(
            settings, self._coordinator, self._is_ready, self._metrics, operators.add_to
        )

    def status(self) -> dict[str, Any]:
        """Return this box's view of the whole system."""
        config = self._holder.config
        states = self._membership.states
        boxes: dict[str, Any] = {self._settings.box: self._own_status()}
        for name in self._network.peer_names:
            state = states.get(name)
            boxes[name] = {
                "is_live": self._membership.is_live(name),
                "version": None if state is None else state.heartbeat.config_version,
                "is_stopping": state is not None and state.heartbeat.is_stopping,
                "can_vote": state is not None and state.heartbeat.can_vote,
            }
        behind = [
            name
            for name, one in boxes.items()
            if one["version"] is None or one["version"] < config.version or not one["is_live"]
        ]
        return {
            "box": self._settings.box,
            "zone": self._settings.zone,
            "version": config.version,
            "is_confirmed_current": self._is_confirmed_current,
            "missing": sorted(behind),
            "boxes": boxes,
            "box_list": config.boxes,
            "controller": None if self._controller is None else self._controller.summary,
            "metrics": self._metrics.counts,
            "gauges": self._metrics.gauges,
        }

    async def start(self) -> None:
        """Start every part."""
        await self._network.start()
        await self._adapter.start()
        await self._http.start()
        await self._metrics_server.start()
        self._tasks.spawn(self._membership.run())
        self._tasks.spawn(self._platform.run())
        self._tasks.spawn(self._follow_inputs())
        self._tasks.spawn(self._confirm_current())
        if self._controller is not None:
            self._tasks.spawn(self._controller.run())
            self._tasks.spawn(
                BoxListKeeper(self._settings, self._controller, self._membership).run()
            )
        ENTRY_LOG.info("Box {} is up, life {}.", self._settings.box, self._network.incarnation)

    async def stop(self) -> None:
        """Stop as planned: no job in flight is cut, kept answers go to a peer."""
        self._is_stopping = True
        ENTRY_LOG.info("A planned stop begins.")
        self._membership.send_heartbeat()
        if self._coordinator is not None:
            await self._drain(self._coordinator)
        await self._http.stop()
        await self._metrics_server.stop()
        await self._tasks.stop()
        if self._controller is not None:
            await self._controller.stop()
        await self._adapter.stop()
        await self._network.stop()
        ENTRY_LOG.info("The planned stop is done.")

    async def _drain(self, coordinator: Coordinator) -> None:
        """Finish the jobs in flight and hand the answers over, within the set bound."""
        try:
            async with asyncio.timeout(self._settings.timings.stop_timeout_ms / 1_000):
                await coordinator.finish_all()
                await self._hand_over()
        except TimeoutError:
            ENTRY_LOG.warning("The planned stop took too long: jobs in flight are cut.")
        for _ in range(_LAST_HEARTBEATS):
            self._membership.send_heartbeat()
            await asyncio.sleep(_LAST_HEARTBEATS_STEP_S)

    async def _hand_over(self) -> None:
        successors = [
            box
            for box in self._settings.entry_names
            if box != self._settings.box and self._membership.is_serving(box)
        ]
        successors.sort(key=lambda box: self._network.zone_of(box) != self._settings.zone)
        if not successors:
            return
        taken = await self._follower.hand_over(successors[0])
        self._successor = successors[0]
        ENTRY_LOG.info("Handed {} answers over to {}.", taken, successors[0])

    def _build_entry(self) -> None:
        """Make the parts of the entry role."""
        settings, network = self._settings, self._network
        limits = settings.limits
        table = ClaimTable(settings.retention_ms, limits.claims_max)
        self._recovery = Recovery(
            settings.box, network, self._client, table, self._box_list, settings.retention_ms
        )
        self._claims = ClaimService(
            settings.box, network, table, self._recovery, self._box_list, self._metrics
        )
        self._tasks.spawn(self._recovery.run())
        self._tasks.spawn(self._claims.run())
        self._jobs = JobTable(
            settings.retention_ms,
            limits.retained_jobs_max,
            limits.retained_bytes_max,
            self._metrics,
        )
        self._tasks.spawn(self._expire_jobs())
        self._follower = Follower(settings, network, self._membership, self._jobs)
        context = RunContext(
            f"{settings.box}-{network.incarnation:x}",
            itertools.count(1),
            self._adapter,
            self._build_slots(),
            RetryBudget(limits.retry_share),
            self._metrics,
            lambda: self._holder.config,
            lambda: self._platform.leaving,
        )
        acquirer = ClaimAcquirer(settings, network, self._claims)
        self._coordinator = Coordinator(
            settings,
            network,
            self._claims,
            acquirer,
            self._follower,
            self._jobs,
            context,
            self._metrics,
            lambda: self._is_stopping,
        )

    def _build_slots(self) -> SlotSource:
        """Make the slot source that the policy needs."""
        policy = POLICIES[self._settings.policy]
        if not isinstance(policy, SlotLeases):
            reports = UsageReports(self._adapter, lambda: self._holder.config)
            self._tasks.spawn(reports.run())
            return DirectSlots(policy, self._usable_endpoints, lambda: reports.running)
        self._leases = LeaseManager(
            self._settings,
            self._network,
            self._metrics,
            policy,
            self._manager_of,
            self._proves_life,
            self._membership.is_live,
        )
        self._tasks.spawn(self._leases.run())
        self._leased_slots = LeasedSlots(
            self._settings,
            self._network,
            self._metrics,
            lambda: self._holder.config,
            self._manager_of,
            self._shard_loads,
        )
        self._tasks.spawn(self._leased_slots.run())
        return self._leased_slots

    def _describe(self) -> Heartbeat:
        """Return this box's next heartbeat."""
        config = self._holder.config
        return Heartbeat(
            config.version,
            self._is_stopping,
            self._claims is not None and self._claims.can_vote,
            [] if self._leases is None else self._leases.loads,
            self._successor,
            self._is_confirmed_current,
            config.boxes["epoch"],
        )

    def _own_status(self) -> dict[str, Any]:
        heartbeat = self._describe()
        return {
            "is_live": True,
            "version": heartbeat.config_version,
            "is_stopping": heartbeat.is_stopping,
            "can_vote": heartbeat.can_vote,
        }

    def _is_ready(self) -> bool:
        return not self._is_stopping and bool(self._holder.config.version)

    def _box_list(self) -> Any:
        return self._holder.config.boxes

    def _manager_of(self, shard: str) -> str:
        """Return the lease manager of *shard*, as this box sees it."""
        return self._managers.manager_of(shard, monotonic_ms())

    def _serving_zones(self) -> dict[str, str]:
        return {
            box: self._network.zone_of(box)
            for box in self._settings.entry_names
            if self._membership.is_serving(box)
        }

    def _reachable_zones(self) -> set[str]:
        live = [box for box in self._network.peer_names if self._membership.is_live(box)]
        return {self._settings.zone, *map(self._network.zone_of, live)}

    def _shard_loads(self) -> dict[str, ZoneLoad]:
        return {
            load.shard: load
            for state in self._membership.states.values()
            for load in state.heartbeat.loads
        }

    def _usable_endpoints(self, service: str) -> list[str]:
        leaving = self._platform.leaving
        return [name for name in endpoints_of(self._holder.config, service) if name not in leaving]

    async def _proves_life(self, endpoint: str) -> bool:
        known = self._holder.config.endpoints.get(endpoint)
        return known is not None and await self._adapter.usage(known["endpoint"]) is not None

    async def _follow_inputs(self) -> None:
        """Pass changes of configuration, membership and the platform's list on."""
        before: Any = None
        while True:
            for box, state in self._membership.states.items():
                self._holder.note_version(box, state.heartbeat.config_version)
            if self._leases is not None:
                config, leaving = self._holder.config, set(self._platform.leaving)
                zones = self._reachable_zones()
                live = [
                    box for box in self._settings.entry_names if self._membership.is_serving(box)
                ]
                now = (config.version, leaving, zones, live)
                if now != before:
                    # This is called once for each change: a kept answer must not hide it.
                    self._managers.look_again()
                    self._leases.follow(config, leaving, zones)
                    before = now
            await asyncio.sleep(_FOLLOW_S)

    async def _confirm_current(self) -> None:
        """Find out whether the version in force here is the newest confirmed one."""
        started_ms = monotonic_ms()
        while True:
            version = await self._client.newest_version(_BARRIER_TIMEOUT_MS)
            if version is not None and self._holder.config.version >= version:
                break
            await asyncio.sleep(_FOLLOW_S)
        self._is_confirmed_current = True
        CONFIG_LOG.info(
            "Version {} is current, known after {:.0f} ms.",
            self._holder.config.version,
            monotonic_ms() - started_ms,
        )

    async def _expire_jobs(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRE_S)
            self._jobs.expire()


def _initial_config(settings: Settings) -> Config:
    """Return version 0 as every box works it out from its settings."""
    zones = {peer.box: peer.zone for peer in settings.peers if ENTRY in peer.roles}
    controllers = dict.fromkeys(settings.controller_names, ANY_STORAGE)
    return empty_config(zones, controllers)
