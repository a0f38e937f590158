# SPDX-License-Identifier: MIT
"""Callers that send a job up to the end of their patience, to one entry process after another."""

from __future__ import annotations

import asyncio
import random
import time

from aiohttp import ClientSession

from soak_callers import REJECTED, RETRY_DELAY_S, Callers, JobAttempt
from soak_system import SiteSystem

# Seconds that a caller goes on for one job.
_RETRY_PERIOD_S = (2.5, 7.0)
# Seconds until a caller comes back that was refused and not told when.
_DEFAULT_RETRY_DELAY_S = 0.3
# Share of the jobs of which each try goes to two entry processes at one time.
_CONCURRENT_SHARE = 0.3


class RetryingCallers(Callers):
    """Callers that come back under the same id, at another process, until their patience ends.

    What is handed in at two processes at one time may run in two zones: one of the two may move
    to where the other is not known. Callers that wait before they send again are promised that
    it does not; so is everyone in a system of one zone.

    Args:
        system: The programs.
        rng: Draws what they do.
        numbers: The numbers of their jobs; no others hand those in.
    """

    def __init__(self, system: SiteSystem, rng: random.Random, numbers: range) -> None:
        super().__init__(system, rng, numbers)
        self._has_zones = len({system.zone_of(name) for name in system.entries}) > 1
        self.may_run_twice: set[str] = set()

    async def _submit_job(self, session: ClientSession, entry: str) -> int:
        text, body = self._new_job()
        deadline_s = time.monotonic() + self._rng.uniform(*_RETRY_PERIOD_S)
        is_concurrent = self._rng.random() < _CONCURRENT_SHARE
        first = await self._send_attempt(session, entry, text, body, is_concurrent)
        answers = first
        while all(one.status != 200 for one in answers):
            await asyncio.sleep(self._retry_delay_s(answers))
            if time.monotonic() > deadline_s:
                break
            entry = self._draw_other_entry(entry)
            async with ClientSession() as again:
                answers = await self._send_attempt(again, entry, text, body, is_concurrent)
        return first[0].status

    async def _send_attempt(
        self, session: ClientSession, entry: str, text: str, body: object, is_concurrent: bool
    ) -> list[JobAttempt]:
        """Send a job to one process, or to two at one time; return the answers."""
        if not is_concurrent:
            return [await self._send(session, entry, text, body)]
        second = self._draw_other_entry(entry)
        if self._has_zones:
            self.may_run_twice.add(text)
        async with ClientSession() as other:
            return await asyncio.gather(
                self._send(session, entry, text, body), self._send(other, second, text, body)
            )

    def _draw_other_entry(self, entry: str) -> str:
        return self._rng.choice([one for one in self._system.entries if one != entry])

    def _retry_delay_s(self, answers: list[JobAttempt]) -> float:
        """Return when to come back: as told after a refusal, as usual after no clear answer."""
        if any(one.status not in REJECTED for one in answers):
            return RETRY_DELAY_S
        retry_after_max_ms = max(one.retry_after_ms for one in answers)
        return (retry_after_max_ms / 1_000 or _DEFAULT_RETRY_DELAY_S) * self._rng.uniform(1.0, 1.5)
