# SPDX-License-Identifier: MIT
"""Callers, an operator and the promises that both rely on, over the real programs.

Callers keep using an open connection until its process is gone, leave early, and send a job again
that got no clear answer. What they are promised is held against what the endpoints have run.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from platform_system import PlatformSystem, job_id, job_url, steps

# Milliseconds that a caller gives a job, and that it waits beyond that.
_DEADLINE_MS = 1_500
_BEYOND_MS = 1_500
# Seconds until a job that got no clear answer is sent again.
_SEND_AGAIN_S = 1.3
# Seconds after its answer in which a task of a completed job may still begin again.
_BEGINS_AFTER_S = 1.0
# Seconds after an acknowledgement in which an older version may still be shown.
_APPLIED_S = 2.0
_TASK_MS = (20, 60, 200, 600)
# Thousandths of cores: two tasks fill an endpoint, so that jobs wait and are refused.
_TASK_MILLI = 6_800
# Numbers of the callers' jobs; those of other jobs on the system lie outside.
_FIRST_JOB = 10**6
END_OF_JOBS = 10**9
_NO_ANSWER = 0
_LEFT = -1
_REJECTED = (429, 503)


class Sent(NamedTuple):
    """One try of a caller.

    Args:
        status: The answer's HTTP status; 0 for a broken or refused connection, -1 if it left.
        state: How the job ended, if it was carried out.
        answered_s: When that was; monotonic clock.
    """

    status: int
    state: str
    answered_s: float


class Callers:
    """Callers at all entry processes.

    Args:
        system: The programs.
        rng: Draws what they do.
    """

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self._numbers = iter(range(_FIRST_JOB, END_OF_JOBS))
        self.sent: dict[str, list[Sent]] = {}
        self.tasks: dict[str, int] = {}

    async def run(self, callers: int, is_over: asyncio.Event) -> None:
        """Let so many callers hand jobs in until *is_over*; return when all have their answers."""
        await asyncio.gather(*(self._call(is_over) for _ in range(callers)))

    async def _call(self, is_over: asyncio.Event) -> None:
        """Use one connection as long as it is open, then one to another process."""
        while not is_over.is_set():
            entry = self._rng.choice(self._system.entries)
            async with ClientSession(connector=TCPConnector(limit=1)) as session:
                status = 200
                while status not in (_NO_ANSWER, _LEFT) and not is_over.is_set():
                    status = await self._hand_in(session, entry)
                    await asyncio.sleep(self._rng.uniform(0.0, 0.15))

    async def _hand_in(self, session: ClientSession, entry: str) -> int:
        """Hand a new job in, and again elsewhere if the answer is not clear."""
        text = job_id(next(self._numbers))
        self.tasks[text] = self._rng.choice([1, 2, 2, 4, 8])
        body = steps(self.tasks[text], self._rng.choice(_TASK_MS), cpu_milli=_TASK_MILLI)
        self.sent[text] = []
        status = await self._send(session, entry, text, body)
        if status in (200, *_REJECTED) or self._rng.random() < 0.5:
            return status
        await asyncio.sleep(_SEND_AGAIN_S)
        async with ClientSession() as another:
            await self._send(another, self._rng.choice(self._system.entries), text, body)
        return status

    async def _send(self, session: ClientSession, entry: str, text: str, body: object) -> int:
        leaves = self._rng.random() < 0.05
        total_s = self._rng.uniform(0.02, 0.5) if leaves else (_DEADLINE_MS + _BEYOND_MS) / 1_000
        url, headers = job_url(self._system.address(entry, "front"), text, _DEADLINE_MS)
        status, state = _NO_ANSWER, ""
        try:
            async with session.post(
                url, json=body, headers=headers, timeout=ClientTimeout(total=total_s)
            ) as response:
                fields = await response.json()
                status, state = response.status, fields.get("state", "")
        except TimeoutError:
            status = _LEFT
        except (ClientError, OSError):
            # The process is gone, or was never there.
            status = _NO_ANSWER
        self.sent[text].append(Sent(status, state, time.monotonic()))
        return status

    def broken_promises(self) -> list[str]:
        """Return what callers were promised and did not get, in words."""
        return [*self._refused_that_ran(), *self._completed_that_did_not(), *self._unasked()]

    def _refused_that_ran(self) -> list[str]:
        begun = {task.job_id for task in self._system.sightings.starts}
        return [
            f"{text} was refused {len(tries)} times and has run"
            for text, tries in self.sent.items()
            if text in begun and all(one.status in _REJECTED for one in tries)
        ]

    def _completed_that_did_not(self) -> list[str]:
        broken = []
        done: dict[str, int] = {}
        for task in self._system.sightings.done:
            done[task.job_id] = done.get(task.job_id, 0) + 1
        for text, tries in self.sent.items():
            completed = [one for one in tries if one.state == "completed"]
            if not completed:
                continue
            if done.get(text, 0) < self.tasks[text]:
                broken.append(f"{text} is completed, {done.get(text, 0)} of its tasks are done")
            begins_late = self._system.sightings.newest_start_of[text] - completed[0].answered_s
            if len(tries) == 1 and begins_late > _BEGINS_AFTER_S:
                broken.append(f"{text} began again {begins_late:.1f} s after it was completed")
        return broken

    def _unasked(self) -> list[str]:
        begun = {task.job_id for task in self._system.sightings.starts}
        ours = {text for text in begun if _FIRST_JOB <= int(text, 16) < END_OF_JOBS}
        return [f"{text} was never handed in" for text in ours - set(self.sent)]

    @property
    def completed(self) -> int:
        """How many jobs were completed."""
        return sum(one.state == "completed" for tries in self.sent.values() for one in tries)

    def summary(self) -> str:
        """Return how many tries got which answer."""
        counts: dict[int, int] = {}
        for tries in self.sent.values():
            for one in tries:
                counts[one.status] = counts.get(one.status, 0) + 1
        return ", ".join(f"{status}: {count}" for status, count in sorted(counts.items()))


class Operator:
    """An operator who changes the configuration and reads it, at any controller.

    Args:
        system: The programs.
        rng: Draws whom it asks.
    """

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self.acknowledged: list[tuple[float, int]] = [(time.monotonic(), 1)]
        self.broken: list[str] = []

    async def run(self, is_over: asyncio.Event) -> None:
        """Change and read until *is_over*."""
        while not is_over.is_set():
            await self.change()
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))

    async def change(self) -> None:
        """Send the next version until it is acknowledged, with reads between."""
        version = self.acknowledged[-1][1] + 1
        for _ in range(100):
            if await self._system.configure(version, self._rng.choice(self._system.controllers)):
                self.acknowledged.append((time.monotonic(), version))
                return
            await self.read()
        self.broken.append(f"version {version} was not acknowledged in 100 calls")

    async def read(self) -> bool:
        """Read the version at any controller; return whether it was shown."""
        asked_s = time.monotonic()
        shown = await self._system.read_version(self._rng.choice(self._system.controllers))
        if shown is None:
            return False
        oldest = max(v for at_s, v in self.acknowledged if v == 1 or at_s + _APPLIED_S < asked_s)
        if shown < oldest:
            self.broken.append(f"version {shown} was shown after {oldest} was acknowledged")
        return True
