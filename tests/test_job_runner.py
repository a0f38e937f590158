# SPDX-License-Identifier: MIT
"""The single result of a job whose execution is interrupted."""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.seed_discovery.job_runner import JobRegistry, JobResult
from foldloom.seed_discovery.jobs.queues import Queue
from foldloom.seed_discovery.jobs.spec import Demand, Job, Step
from foldloom.seed_discovery.owners.messages import CancelJob
from foldloom.verdicts import Run
from test_owners_client import Rig

_QUEUE = Queue("q", "host", "/", "svc", 0, 3, 1_500, 1.6, 60)
_DEADLINE_MS = 30.0


class TestPlannedStop:
    """Cancellation of all jobs when a planned stop times out."""

    def test_while_cancelling(self) -> None:
        """A job waiting for its owner's reply to a cancellation is reported as may-have-run."""

        async def scenario() -> JobResult:
            rig = Rig()
            rig.beat(1)
            jobs = JobRegistry(rig.client, Metrics())
            job = Job("a" * 16, "text", (Step(1, Demand(1_000, 64, 0), 20),))
            answering = asyncio.create_task(jobs.run(job, _QUEUE, monotonic_ms() + _DEADLINE_MS))
            await asyncio.sleep(_DEADLINE_MS / 2_000)
            rig.network.answers_after_s = 10.0
            while not isinstance(rig.network.asked[-1], CancelJob):
                await asyncio.sleep(0.001)
            jobs.cancel_all()
            return await answering

        result = asyncio.run(scenario())
        assert result.error.run is Run.MAY_HAVE_RUN
