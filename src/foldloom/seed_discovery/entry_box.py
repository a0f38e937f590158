# SPDX-License-Identifier: MIT
"""An entry box with seed discovery: accepts jobs and may own its zone's endpoints.

Assembles the components and owns their tasks. Keeps no data on disk; other boxes are found
through the configured seeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from foldloom.clock import monotonic_ms
from foldloom.controllers.state import Publication
from foldloom.ids import new_incarnation
from foldloom.logs import CONFIG_LOG, ENTRY_LOG
from foldloom.loop_delay import LoopDelay
from foldloom.metrics import Metrics
from foldloom.metrics_server import MetricsServer
from foldloom.pauses import log_pause, watch_pauses
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.calls import EndpointCalls
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.joiner import Joiner
from foldloom.seed_discovery.fleet.messages import BoxRecord, OwnerHeartbeat, OwnerRecord
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.job_runner import JobRegistry, JobResult
from foldloom.seed_discovery.jobs.queues import Queue, QueueTable
from foldloom.seed_discovery.jobs.spec import Job
from foldloom.seed_discovery.owners.client import OwnerClient
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.dispatch import OwnerDispatch
from foldloom.seed_discovery.owners.elector import Elector
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner
from foldloom.seed_discovery.scheduling.overload import OverloadControl
from foldloom.settings import ENTRY, Settings
from foldloom.tasks import TaskSet
from foldloom.time_limits import SuspendAwareTimeout, sleep

# Without heartbeats from any owner for this long, the box is not ready; several owner failovers.
_OWNER_LOST_MS = 1_500.0
# At a planned stop: interval of checks for running jobs, and time for the responses of the last.
_JOBS_CHECK_S = 0.02
_RESPONSE_MARGIN_MS = 200.0

ReadQueues = Callable[[Publication], QueueTable]


class EntryBox:
    """All components of an entry box except its HTTP server.

    Args:
        settings: This box's settings.
        calls: The adapter for calls to endpoints.
        read_queues: Returns the queues defined by a published document.
        label: A display name; defaults to the box's address.
    """

    def __init__(
        self, settings: Settings, calls: EndpointCalls, read_queues: ReadQueues, label: str = ""
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._read_queues = read_queues
        self._queues: QueueTable | None = None
        self._metrics = Metrics(settings.statsd)
        self._overload = OverloadControl()
        self._loop_delay = LoopDelay(self._metrics, self._queue_details, self._overload.update)
        self._metrics_server = MetricsServer(self._metrics, settings.metrics_address)
        self._network = PeerNetwork(settings, new_incarnation(), self._metrics)
        own = BoxRecord(
            settings.box, self._network.incarnation, settings.zone, ENTRY, label or settings.box
        )
        self._view = FleetView(own, settings.seeds)
        self._holder = PublishedHolder(self._network, self._on_publication)
        self._catalog = EndpointCatalog()
        self._started_ms = monotonic_ms()
        self._joiner = Joiner(
            self._network,
            self._view,
            self._holder,
            self._catalog,
            settings.timings.join_ms,
            self._on_endpoints_pushed,
        )
        self._client = OwnerClient(self._view, self._network, settings.timings)
        self._jobs = JobRegistry(self._client, self._metrics)
        self._elector = Elector(
            self._view, self._network, settings.timings, self._make_owner, self._on_heartbeat
        )
        OwnerDispatch(self._network, self._view, lambda: self._elector.owner)
        self._configured = asyncio.Event()
        self._tasks = TaskSet()

    @property
    def queues(self) -> QueueTable | None:
        """The configured queues, or ``None`` before the first configuration."""
        return self._queues

    @property
    def metrics(self) -> Metrics:
        """This box's metrics."""
        return self._metrics

    @property
    def is_ready(self) -> bool:
        """Whether this box should receive new connections."""
        if self._view.own.is_leaving or self._queues is None:
            return False
        return self._client.silent_ms < _OWNER_LOST_MS

    async def start(self) -> None:
        """Start all components."""
        await self._network.start()
        await self._metrics_server.start()
        self._tasks.spawn(watch_pauses(log_pause))
        self._tasks.spawn(self._loop_delay.run())
        self._tasks.spawn(self._joiner.run())
        self._tasks.spawn(self._elector.run())
        self._tasks.spawn(self._client.run())
        ENTRY_LOG.event("process.up", role=ENTRY, zone=self._view.own.zone, at=self._settings.box)

    async def run_job(self, job: Job, queue: Queue, timeout_ms: float) -> JobResult:
        """Run *job* with a deadline of *timeout_ms* from now, and return its result."""
        return await self._jobs.run(job, queue, monotonic_ms() + timeout_ms)

    async def wait_configured(self, timeout_ms: float) -> QueueTable | None:
        """Wait for the first configuration; return its queues, or ``None`` after *timeout_ms*."""
        try:
            async with SuspendAwareTimeout(timeout_ms):
                await self._configured.wait()
        except TimeoutError:
            # Not configured yet: the caller answers with a retry delay.
            return None
        return self._queues

    def update_seeds(self, seeds: list[str]) -> None:
        """Apply the seeds of reloaded settings."""
        self._view.set_seeds(seeds)
        CONFIG_LOG.event("seeds.followed", seeds=", ".join(seeds))

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun; connections should then be closed."""
        return self._view.own.is_leaving

    async def begin_stop(self) -> None:
        """Begin a planned stop: hand over zone ownership, and wait for the drain period."""
        self._view.set_leaving()
        successor = self._elector.resign()
        ENTRY_LOG.event("process.stopping", zone_handed_to=successor, jobs=self._jobs.running_count)
        await self._joiner.announce()
        await sleep(self._settings.timings.drain_ms)

    async def finish_jobs(self) -> None:
        """Wait until every job has been answered; cancel those that reach the stop's timeout."""
        timings = self._settings.timings
        try:
            async with SuspendAwareTimeout(timings.stop_timeout_ms - timings.drain_ms):
                while self._jobs.running_count:
                    await asyncio.sleep(_JOBS_CHECK_S)
        except TimeoutError:
            ENTRY_LOG.event("process.gives_up", jobs=self._jobs.running_count)
            self._jobs.cancel_all()
        await sleep(_RESPONSE_MARGIN_MS)

    async def stop(self) -> None:
        """Stop all components."""
        self._elector.close()
        await self._tasks.stop()
        await self._network.stop()
        await self._metrics_server.stop()
        ENTRY_LOG.event("process.stopped", role=ENTRY)

    def _on_publication(self, publication: Publication) -> None:
        self._queues = self._read_queues(publication)
        self._configured.set()

    async def _on_endpoints_pushed(self, endpoints: list[EndpointRecord]) -> None:
        if self._elector.owner is not None:
            await self._elector.owner.sync_endpoints({one.endpoint for one in endpoints})

    def _on_heartbeat(self, heartbeat: OwnerHeartbeat) -> None:
        self._client.handle_heartbeat(heartbeat, self._holder.version)
        if heartbeat.published_version > self._holder.version:
            self._tasks.spawn(
                self._holder.pull_newer(heartbeat.owner.box, heartbeat.published_version)
            )

    def _queue_details(self) -> Mapping[str, object]:
        """Return the state of the zone's queue if this box owns it, for a log line."""
        owner = self._elector.owner
        if owner is None:
            return {"jobs": self._jobs.running_count}
        rejected_share = round(self._overload.rejected_share, 2)
        return {
            "jobs": self._jobs.running_count,
            "rejected_share": rejected_share,
            **owner.queue_state()._asdict(),
        }

    def _make_owner(self, record: OwnerRecord) -> ZoneOwner:
        context = OwnerContext(
            view=self._view,
            network=self._network,
            calls=self._calls,
            catalog=self._catalog,
            timings=self._settings.timings,
            metrics=self._metrics,
            published_version=lambda: self._holder.version,
            catalog_age_ms=lambda: monotonic_ms() - self._started_ms,
            bindings_from_others=self._client.bindings_from_others,
            overload=self._overload,
            holders_confirmed_ms=self._client.holders_confirmed_ms,
        )
        return ZoneOwner(record, context, self._elector.note_fenced)
