# SPDX-License-Identifier: MIT
"""Callers that retry a job at other entry processes until it is answered or a deadline passes."""

from __future__ import annotations

import asyncio
import random
import time

from aiohttp import ClientSession

from soak_callers import REJECTED, RETRY_DELAY_S, Callers, JobAttempt
from soak_system import SiteSystem

# Range of the time that a caller keeps retrying one job.
_RETRY_PERIOD_S = (2.5, 7.0)
# Retry delay after a refusal without one.
_DEFAULT_RETRY_DELAY_S = 0.3
# Share of jobs whose every attempt goes to two entry processes concurrently.
_CONCURRENT_SHARE = 0.3


class RetryingCallers(Callers):
    """Callers that retry a job under the same id at other entry processes.

    A job submitted to two processes concurrently may run twice, in two zones, since one submission
    may move to a zone that does not know the other. Callers that wait before a retry are
    guaranteed a single run, and so is everyone in a system with one zone.

    Args:
        system: The system under test.
        rng: Random generator for their behavior.
        numbers: Job numbers reserved for these callers.
    """

    def __init__(self, system: SiteSystem, rng: random.Random, numbers: range) -> None:
        super().__init__(system, rng, numbers)
        self._has_zones = len({system.zone_of(name) for name in system.entries}) > 1
        self.may_run_twice: set[str] = set()

    async def _submit_job(self, session: ClientSession, entry: str) -> int:
        job, body = self._new_job()
        deadline_s = time.monotonic() + self._rng.uniform(*_RETRY_PERIOD_S)
        is_concurrent = self._rng.random() < _CONCURRENT_SHARE
        first = await self._send_attempt(session, entry, job, body, is_concurrent)
        attempts = first
        while all(attempt.status != 200 for attempt in attempts):
            await asyncio.sleep(self._retry_delay_s(attempts))
            if time.monotonic() > deadline_s:
                break
            entry = self._draw_other_entry(entry)
            async with ClientSession() as again:
                attempts = await self._send_attempt(again, entry, job, body, is_concurrent)
        return first[0].status

    async def _send_attempt(
        self, session: ClientSession, entry: str, job: str, body: object, is_concurrent: bool
    ) -> list[JobAttempt]:
        """Send a job to one process, or to two concurrently; return the attempts."""
        if not is_concurrent:
            return [await self._send(session, entry, job, body)]
        second = self._draw_other_entry(entry)
        if self._has_zones:
            self.may_run_twice.add(job)
        async with ClientSession() as other:
            return await asyncio.gather(
                self._send(session, entry, job, body), self._send(other, second, job, body)
            )

    def _draw_other_entry(self, entry: str) -> str:
        return self._rng.choice([other for other in self._system.entries if other != entry])

    def _retry_delay_s(self, attempts: list[JobAttempt]) -> float:
        """Return the delay before the next attempt.

        It follows the response after a refusal and is fixed without a definite response.
        """
        if any(attempt.status not in REJECTED for attempt in attempts):
            return RETRY_DELAY_S
        retry_after_max_ms = max(attempt.retry_after_ms for attempt in attempts)
        return (retry_after_max_ms / 1_000 or _DEFAULT_RETRY_DELAY_S) * self._rng.uniform(1.0, 1.5)
