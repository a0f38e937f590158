# SPDX-License-Identifier: MIT
"""A controller with seed discovery: stores the configuration and collects endpoint reports.

Assembles the components and owns their tasks. Needs a data folder; other boxes are found through
the configured seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from pathlib import Path

from expression import Result

from foldloom.controllers.config import UNRECORDED_STORAGE_ID, empty_config
from foldloom.controllers.controller import Callbacks, Controller
from foldloom.controllers.handover import transfer_leadership
from foldloom.controllers.state import Publication
from foldloom.controllers.storage import format_folder
from foldloom.ids import new_incarnation
from foldloom.logs import CONFIG_LOG, CONTROLLER_LOG
from foldloom.loop_delay import LoopDelay
from foldloom.metrics import Metrics
from foldloom.metrics_server import MetricsServer
from foldloom.pauses import log_pause, watch_pauses
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.cache import PublicationCache
from foldloom.seed_discovery.fleet.joiner import Joiner
from foldloom.seed_discovery.fleet.messages import BoxRecord
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.publisher import Publisher
from foldloom.seed_discovery.fleet.registry import FleetRegistry
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.settings import CONTROLLER, Settings
from foldloom.tasks import TaskSet
from foldloom.verdicts import Problem

ReadServices = Callable[[Publication], Container[str] | None]


def _services_unknown(_publication: Publication) -> None:
    """Return ``None``: the document's format is unknown."""


class ControllerHost:
    """All components of a controller except its HTTP server.

    Args:
        settings: This box's settings.
        is_first_start: Whether the whole system starts for the first time, in which case the seeds
            form the initial membership.
        label: A display name.
        read_services: Returns the services defined by a published document, or ``None`` if they
            are unknown.
    """

    def __init__(
        self,
        settings: Settings,
        is_first_start: bool,
        label: str = "",
        read_services: ReadServices = _services_unknown,
    ) -> None:
        self._settings = settings
        self._read_services = read_services
        self._is_first_start = is_first_start
        self._metrics = Metrics(settings.statsd)
        self._metrics_server = MetricsServer(self._metrics, settings.metrics_address)
        self._network = PeerNetwork(settings, new_incarnation(), self._metrics)
        own = BoxRecord(settings.box, self._network.incarnation, settings.zone, CONTROLLER, label)
        self._view = FleetView(own, settings.seeds)
        cache = PublicationCache(settings.data_folder)
        self._holder = PublishedHolder(self._network, self._on_publication, cache)
        self._services = self._services_of(self._holder.publication)
        self._registry = FleetRegistry(
            self._network, self._holder, self._controllers, lambda: self._services
        )
        is_founder = is_first_start and settings.box in settings.seeds
        _format_if_new(settings.data_folder, is_founder)
        founders = dict.fromkeys(settings.seeds, UNRECORDED_STORAGE_ID) if is_founder else {}
        self._controller = Controller(
            settings,
            self._network,
            self._metrics,
            empty_config({}, founders),
            Callbacks(
                on_publication=self._holder.adopt, known_controllers=lambda: self._view.controllers
            ),
        )
        self._publisher = Publisher(self._controller, self._network)
        self._joiner = Joiner(
            self._network, self._view, self._holder, EndpointCatalog(), settings.timings.join_ms
        )
        self._tasks = TaskSet()

    @property
    def metrics(self) -> Metrics:
        """This box's metrics."""
        return self._metrics

    @property
    def is_leading(self) -> bool:
        """Whether this controller considers itself the leader."""
        return self._controller.is_leading

    @property
    def members(self) -> list[str]:
        """The members of the replicated log according to the local log, sorted."""
        return sorted(self._controller.controllers)

    @property
    def published_version(self) -> int:
        """The newest published version known locally; possibly outdated."""
        return self._holder.version

    async def start(self) -> None:
        """Start all components."""
        await self._network.start()
        await self._metrics_server.start()
        self._tasks.spawn(watch_pauses(log_pause))
        self._tasks.spawn(LoopDelay(self._metrics).run())
        self._tasks.spawn(self._controller.run())
        self._tasks.spawn(self._registry.run())
        self._tasks.spawn(self._joiner.run())
        CONTROLLER_LOG.event(
            "process.up", role=CONTROLLER, zone=self._view.own.zone, at=self._settings.box
        )

    async def publish(
        self, version: int, document: bytes, timeout_ms: float
    ) -> Result[int, Problem]:
        """Commit *document* as *version*; return the version in effect afterwards."""
        return await self._publisher.publish(version, document, timeout_ms)

    async def newest(self, timeout_ms: float) -> Result[Publication, Problem]:
        """Return the current publication by a linearizable read."""
        return await self._publisher.newest(timeout_ms)

    async def handle_report(self, record: EndpointRecord) -> bool:
        """Process an endpoint's report; return whether its service is configured."""
        return await self._registry.handle_report(record)

    async def deregister_endpoint(self, endpoint: str) -> None:
        """Process an endpoint's deregistration."""
        await self._registry.deregister_endpoint(endpoint)

    def update_seeds(self, seeds: list[str]) -> None:
        """Apply the seeds of reloaded settings."""
        self._view.set_seeds(seeds)
        CONFIG_LOG.event("seeds.followed", seeds=", ".join(seeds))

    async def stop(self) -> None:
        """Perform a planned stop; a leader transfers its leadership first."""
        self._view.set_leaving()
        await transfer_leadership(self._controller)
        await self.kill()

    async def kill(self) -> None:
        """Stop all components without notifying other boxes."""
        await self._tasks.stop()
        # Before the controller, so that no message arrives while it waits for pending disk writes.
        await self._network.stop()
        await self._controller.stop()
        await self._holder.close()
        await self._metrics_server.stop()
        CONTROLLER_LOG.event("process.stopped", role=CONTROLLER)

    def _controllers(self) -> list[str]:
        """Return all controllers that serve endpoints and operators, voting or not."""
        return sorted(
            {self._settings.box, *self._controller.controllers, *self._registry.live_controllers()}
        )

    def _on_publication(self, publication: Publication) -> None:
        self._services = self._services_of(publication)
        self._registry.push(publication)

    def _services_of(self, publication: Publication) -> Container[str] | None:
        """Return the services whose reports are accepted, ``None`` for all.

        A controller that has lost its data accepts no reports until it has pulled the
        configuration, within a join or two. Otherwise it would push reports of unknown services to
        entry boxes.
        """
        if publication.version:
            return self._read_services(publication)
        return None if self._is_first_start else frozenset()


def _format_if_new(folder: str, is_founder: bool) -> None:
    """Format the data folder if it is new; only a founder's is marked as never having lost data."""
    if not (Path(folder) / "identity").exists():
        format_folder(folder, is_first=is_founder)
