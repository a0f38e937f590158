# SPDX-License-Identifier: MIT
"""A box with static peers: builds, starts and stops its components.

Components of the entry role are in :mod:`foldloom.static_peers.entry_role`. Boxes with seed
discovery are in :mod:`foldloom.seed_discovery`.
"""

from __future__ import annotations

import asyncio
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.controllers.client import ControllerClient
from foldloom.controllers.config import UNRECORDED_STORAGE_ID, Config, empty_config
from foldloom.controllers.controller import Callbacks, Controller
from foldloom.controllers.holder import ConfigStore
from foldloom.ids import new_incarnation
from foldloom.logs import CONFIG_LOG, ENTRY_LOG
from foldloom.metrics import Metrics
from foldloom.metrics_server import MetricsServer
from foldloom.pauses import log_pause, watch_pauses
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import CONTROLLER, ENTRY, Settings
from foldloom.static_peers.box_list import JointBoxListFinalizer
from foldloom.static_peers.endpoints.adapter import EndpointAdapter
from foldloom.static_peers.endpoints.platform import PlatformList
from foldloom.static_peers.entry.http import HttpServer
from foldloom.static_peers.entry.operators import OperatorRoutes
from foldloom.static_peers.entry_role import EntryRole, SharedComponents
from foldloom.static_peers.membership import Heartbeat, Membership
from foldloom.tasks import TaskSet

# Poll interval of configuration, membership and the platform's list; shorter than heartbeat_ms.
_INPUT_POLL_S = 0.1
# Timeout of the read barrier; longer than two elections.
_BARRIER_TIMEOUT_MS = 1_500


class Box:
    """All components of one box.

    Args:
        settings: This box's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._is_stopping = False
        self._is_confirmed_current = False
        self._entry: EntryRole | None = None
        self._tasks = TaskSet()
        self._metrics = Metrics(settings.statsd)
        self._network = PeerNetwork(settings, new_incarnation(), self._metrics)
        initial = _initial_config(settings)
        cache_folder = settings.data_folder
        self._holder = ConfigStore(self._network, initial, cache_folder)
        self._client = ControllerClient(self._network, settings.controller_names)
        self._membership = Membership(settings, self._network, self._next_heartbeat)
        self._controller: Controller | None = None
        if CONTROLLER in settings.roles:
            callbacks = Callbacks(on_config=self._holder.adopt)
            self._controller = Controller(
                settings, self._network, self._metrics, initial, callbacks
            )
        self._adapter = EndpointAdapter(settings)
        self._platform = PlatformList(settings.platform_url, settings.timings.platform_poll_ms)
        if ENTRY in settings.roles:
            self._entry = self._build_entry_role()
        operators = OperatorRoutes(settings, self._client, self._holder, self.status)
        self._metrics_server = MetricsServer(self._metrics, settings.metrics_address)
        self._http = HttpServer(
            settings,
            None if self._entry is None else self._entry.coordinator,
            None if self._entry is None else self._entry.lookup,
            self._is_ready,
            self._metrics,
            operators.add_to,
        )

    def status(self) -> dict[str, Any]:
        """Return the system status as seen by this box."""
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
        missing = [
            name
            for name, fields in boxes.items()
            if fields["version"] is None
            or fields["version"] < config.version
            or not fields["is_live"]
        ]
        return {
            "box": self._settings.box,
            "zone": self._settings.zone,
            "version": config.version,
            "is_confirmed_current": self._is_confirmed_current,
            "missing": sorted(missing),
            "boxes": boxes,
            "box_list": config.boxes,
            "controller": None if self._controller is None else self._controller.summary,
            "metrics": self._metrics.counts,
            "gauges": self._metrics.gauges,
        }

    async def start(self) -> None:
        """Start all components."""
        await self._network.start()
        await self._adapter.start()
        await self._http.start()
        await self._metrics_server.start()
        self._tasks.spawn(watch_pauses(log_pause))
        self._tasks.spawn(self._membership.run())
        self._tasks.spawn(self._platform.run())
        self._tasks.spawn(self._propagate_inputs())
        self._tasks.spawn(self._confirm_current())
        if self._controller is not None:
            self._tasks.spawn(self._controller.run())
            self._tasks.spawn(
                JointBoxListFinalizer(self._settings, self._controller, self._membership).run()
            )
        ENTRY_LOG.info(
            "Box {} started, incarnation {}.", self._settings.box, self._network.incarnation
        )

    async def stop(self) -> None:
        """Perform a planned stop: finish jobs in flight and hand over retained responses."""
        self._is_stopping = True
        ENTRY_LOG.info("Planned stop started.")
        self._membership.send_heartbeat()
        if self._entry is not None:
            await self._entry.drain()
        await self._http.stop()
        await self._metrics_server.stop()
        await self._tasks.stop()
        await self._adapter.stop()
        await self._network.stop()
        if self._controller is not None:
            await self._controller.stop()
        ENTRY_LOG.info("Planned stop completed.")

    def _build_entry_role(self) -> EntryRole:
        parts = SharedComponents(
            self._settings,
            self._network,
            self._metrics,
            self._holder,
            self._client,
            self._membership,
            self._platform,
            self._adapter,
            self._tasks,
        )
        return EntryRole(parts, lambda: self._is_stopping)

    def _next_heartbeat(self) -> Heartbeat:
        """Return this box's next heartbeat."""
        config = self._holder.config
        return Heartbeat(
            config.version,
            self._is_stopping,
            self._entry is not None and self._entry.can_vote,
            [] if self._entry is None else self._entry.loads,
            "" if self._entry is None else self._entry.successor,
            self._is_confirmed_current,
            config.boxes["epoch"],
        )

    def _own_status(self) -> dict[str, Any]:
        heartbeat = self._next_heartbeat()
        return {
            "is_live": True,
            "version": heartbeat.config_version,
            "is_stopping": heartbeat.is_stopping,
            "can_vote": heartbeat.can_vote,
        }

    def _is_ready(self) -> bool:
        return not self._is_stopping and bool(self._holder.config.version)

    async def _propagate_inputs(self) -> None:
        """Poll for changes of configuration, membership and the platform's list."""
        while True:
            for box, state in self._membership.states.items():
                self._holder.pull_if_newer(box, state.heartbeat.config_version)
            if self._entry is not None:
                self._entry.propagate_inputs()
            await asyncio.sleep(_INPUT_POLL_S)

    async def _confirm_current(self) -> None:
        """Wait until the version in effect here is the newest confirmed version."""
        started_ms = monotonic_ms()
        while True:
            version = await self._client.newest_version(_BARRIER_TIMEOUT_MS)
            if version is not None and self._holder.config.version >= version:
                break
            await asyncio.sleep(_INPUT_POLL_S)
        self._is_confirmed_current = True
        CONFIG_LOG.info(
            "Version {} confirmed as current after {:.0f} ms.",
            self._holder.config.version,
            monotonic_ms() - started_ms,
        )


def _initial_config(settings: Settings) -> Config:
    """Return version 0 of the configuration, derived from the settings."""
    zones = {peer.box: peer.zone for peer in settings.peers if ENTRY in peer.roles}
    controllers = dict.fromkeys(settings.controller_names, UNRECORDED_STORAGE_ID)
    return empty_config(zones, controllers)
