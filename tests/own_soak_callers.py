# SPDX-License-Identifier: MIT
"""Callers of the daemon's own interface that disconnect early, retry and query submissions.

They keep a connection until its process is gone, and retry a submission only while the boxes are
certain to remember it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from own_soak_records import NEVER_SENT, Attempt, Submission
from own_soak_system import DEADLINE_MAX_MS, WINDOW_MS, SoakSystem

# Range of a job's deadline.
_DEADLINES_MS = (1_000, DEADLINE_MAX_MS)
# How much longer than the deadline the caller waits.
_TIMEOUT_MARGIN_S = 1.5
# Retry period after the first attempt: half of the window, since a frozen box may read an attempt
# seconds after it was sent.
_RETRY_PERIOD_S = WINDOW_MS / 2_000
_ATTEMPTS_MAX = 6
_TASK_MS = (5, 5, 50, 200, 600)
_TASKS = (1, 1, 2, 2, 4, 8)
_DISCONNECT_PROBABILITY = 0.08
_DISCONNECT_AFTER_S = (0.01, 0.5)
_TWO_BOXES_PROBABILITY = 0.15
_QUERY_PROBABILITY = 0.2
_TAG_PROBABILITY = 0.1
# Probability of a retry by kind of response.
_RETRY_PROBABILITY_REFUSED = 0.8
_RETRY_PROBABILITY_COMPLETE = 0.15
_RETRY_PROBABILITY_OTHER = 0.7
# Delays before a retry, drawn uniformly.
_RETRY_DELAYS_S = (0.0, 0.0, 0.05, 0.3, 1.0, 2.0)


class Callers:
    """Callers at all boxes.

    Args:
        system: The system under test.
        rng: Random generator for their behavior.
    """

    def __init__(self, system: SoakSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self.submissions: dict[str, Submission] = {}

    async def run(self, callers: int, is_over: asyncio.Event) -> None:
        """Run concurrent callers until *is_over*; return when all have finished."""
        await asyncio.gather(*(self._call(is_over) for _ in range(callers)))

    async def _call(self, is_over: asyncio.Event) -> None:
        """Submit jobs over one connection until it fails, then over another one."""
        while not is_over.is_set():
            box = self._rng.choice(self._system.boxes)
            async with _new_session() as session:
                while not is_over.is_set() and await self._submit_with_retries(session, box):
                    await asyncio.sleep(self._rng.uniform(0.0, 0.15))

    async def _submit_with_retries(self, session: ClientSession, box: str) -> bool:
        """Submit a new job with retries; return whether the connection is still open."""
        submission = self._new_submission()
        body = self._body(submission)
        if self._rng.random() < _TWO_BOXES_PROBABILITY:
            other = self._send_to_random_box(submission, body)
            last, _ = await asyncio.gather(self._send(session, box, submission, body), other)
        else:
            last = await self._send(session, box, submission, body)
        is_connection_open = last.status != 0
        began_s = last.sent_s
        for _ in range(_ATTEMPTS_MAX - 1):
            if self._rng.random() < _QUERY_PROBABILITY:
                await self._query(submission)
            if self._rng.random() > _retry_probability(last):
                break
            await asyncio.sleep(self._rng.choice(_RETRY_DELAYS_S))
            if time.monotonic() > began_s + _RETRY_PERIOD_S:
                break
            if is_connection_open and self._rng.random() < 0.4:
                last = await self._send(session, box, submission, body)
                is_connection_open = last.status != 0
            else:
                last = await self._send_to_random_box(submission, body)
        return is_connection_open

    def _new_submission(self) -> str:
        tag = (
            f"{self._rng.choice(self._system.zones)}~"
            if self._rng.random() < _TAG_PROBABILITY
            else ""
        )
        name = f"{tag}s{len(self.submissions)}"
        ms = self._rng.choice(_TASK_MS)
        tasks = self._rng.choice(_TASKS)
        payloads = [{"ms": ms, "of": name, "n": n} for n in range(tasks)]
        self.submissions[name] = Submission(payloads, [])
        return name

    def _body(self, submission: str) -> dict[str, Any]:
        payloads = self.submissions[submission].payloads
        return {
            "service": "sleep",
            "member": "m1",
            "tasks": [{"payload": payload} for payload in payloads],
            "deadline_ms": self._rng.randint(*_DEADLINES_MS),
        }

    async def _send_to_random_box(self, submission: str, body: dict[str, Any]) -> Attempt:
        async with _new_session() as session:
            return await self._send(session, self._rng.choice(self._system.boxes), submission, body)

    async def _send(
        self, session: ClientSession, box: str, submission: str, body: dict[str, Any]
    ) -> Attempt:
        client_timeout_s = body["deadline_ms"] / 1_000 + _TIMEOUT_MARGIN_S
        if self._rng.random() < _DISCONNECT_PROBABILITY:
            client_timeout_s = self._rng.uniform(*_DISCONNECT_AFTER_S)
        return await self._call_and_record(session, "PUT", box, submission, client_timeout_s, body)

    async def _query(self, submission: str) -> None:
        async with _new_session() as session:
            box = self._rng.choice(self._system.boxes)
            await self._call_and_record(session, "GET", box, submission, _TIMEOUT_MARGIN_S, None)

    async def _call_and_record(
        self,
        session: ClientSession,
        method: str,
        box: str,
        submission: str,
        client_timeout_s: float,
        body: dict[str, Any] | None,
    ) -> Attempt:
        """Make one call and record its result; a cancelled call stays recorded as unanswered."""
        attempts = self.submissions[submission].attempts
        index = len(attempts)
        is_query = method == "GET"
        sent_s = time.monotonic()
        attempts.append(Attempt(box, sent_s, sent_s, 0, is_query=is_query))
        url = f"{self._system.url(box)}/v1/jobs/{submission}"
        status, run, reason, answers = 0, "", "", None
        try:
            async with session.request(
                method, url, json=body, timeout=ClientTimeout(total=client_timeout_s)
            ) as response:
                fields = await response.json(content_type=None)
                status = response.status
                run, reason = fields.get("run", ""), fields.get("reason", "")
                answers = fields.get("answers")
        except ClientConnectorError:
            # No connection was made, so nothing was sent.
            run = NEVER_SENT
        except (ClientError, OSError, ValueError) as error:
            # The box is gone or this caller disconnected.
            reason = type(error).__name__
        attempts[index] = Attempt(
            box, sent_s, time.monotonic(), status, run, reason, answers, is_query
        )
        return attempts[index]

    @property
    def completed(self) -> int:
        """Number of attempts with a complete response."""
        return sum(
            attempt.answers is not None
            for submission in self.submissions.values()
            for attempt in submission.attempts
        )

    def summary(self) -> str:
        """Return the number of attempts per kind of response."""
        counts = Counter(
            (
                f"{'asked ' if attempt.is_query else ''}"
                f"{attempt.status} {attempt.run} {attempt.reason}"
            ).strip()
            for submission in self.submissions.values()
            for attempt in submission.attempts
        )
        return ", ".join(f"{answer}: {count}" for answer, count in sorted(counts.items()))


def _new_session() -> ClientSession:
    """Return a session with one connection and without automatic retries.

    By default aiohttp repeats a PUT after a lost connection and reports only the second result.
    """
    session = ClientSession(connector=TCPConnector(limit=1))
    session._retry_connection = False
    return session


def _retry_probability(last: Attempt) -> float:
    if not last.may_start_tasks:
        return _RETRY_PROBABILITY_REFUSED
    if last.answers is not None:
        return _RETRY_PROBABILITY_COMPLETE
    return _RETRY_PROBABILITY_OTHER
