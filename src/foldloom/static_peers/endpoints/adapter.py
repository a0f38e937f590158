# SPDX-License-Identifier: MIT
"""The narrow adapter to endpoints: start a task, stop one, read the usage, over HTTP.

Owns the connections to endpoints. Relies on aiohttp; what became of an attempt is said by a
:class:`~foldloom.verdicts.Problem`.

Every attempt is sent exactly once. aiohttp sends a POST again for no reason of its own; a
keep-alive connection that closes under it is an error here, and the task may have run.
"""

from __future__ import annotations

import ssl
from typing import NamedTuple, TypedDict

import aiohttp
import msgspec
from expression import Error, Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.logs import ENDPOINT_LOG
from foldloom.settings import Settings
from foldloom.verdicts import Problem, may_have_run, not_run

RUN_HEADER = "Foldloom-Run"
# Seconds for a connection: far above a round trip, below a job's deadline.
_CONNECT_TIMEOUT_S = 1.0
# Seconds for a usage report; the next one is asked for then.
_USAGE_TIMEOUT_S = 0.5
# Seconds for which an idle connection is kept: below common servers' limits.
_KEEPALIVE_S = 15.0
# Seconds for an order to stop, whose answer nobody waits for.
_STOP_TIMEOUT_S = 1.0


class TaskCall(TypedDict):
    """One attempt at one task, as the endpoint gets it.

    ``attempt`` is unique, and the reply must echo it; ``lease`` is the slot's; ``member`` names
    the customer; the answer is of use for ``deadline_ms``; ``payload`` is the caller's
    JSON, passed on as it came.
    """

    attempt: str
    lease: int
    service: str
    member: str
    deadline_ms: int
    payload: msgspec.Raw


class _TaskReply(msgspec.Struct):
    attempt: str
    answer: msgspec.Raw


class _UsageReply(msgspec.Struct):
    running: int = 0


class TaskAnswer(NamedTuple):
    """An endpoint's whole answer, as JSON, and how long the attempt took."""

    answer: msgspec.Raw
    service_ms: float


_ENCODER = msgspec.json.Encoder()
_REPLY_DECODER = msgspec.json.Decoder(_TaskReply)
_USAGE_DECODER = msgspec.json.Decoder(_UsageReply)


class EndpointAdapter:
    """Talk to endpoints.

    Args:
        settings: Connections for each endpoint and the bound on answers.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
        tls: ssl.SSLContext | bool = True
        if self._settings.endpoint_ca_file:
            tls = ssl.create_default_context(cafile=self._settings.endpoint_ca_file)
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._settings.limits.connections_per_endpoint,
            keepalive_timeout=_KEEPALIVE_S,
            ssl=tls,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def start_task(
        self, base_url: str, submission: str, index: int, call: TaskCall, remaining_ms: float
    ) -> Result[TaskAnswer, Problem]:
        """Send one attempt and return the endpoint's answer, or whether it may have run."""
        assert self._session is not None
        url = f"{base_url}/v1/tasks/{submission}/{index}"
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, remaining_ms / 1_000), sock_connect=_CONNECT_TIMEOUT_S
        )
        started_ms = monotonic_ms()
        try:
            async with self._session.post(
                url,
                data=_ENCODER.encode(call),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await self._read(response)
                if response.status == 503 and response.headers.get(RUN_HEADER) == "not-run":
                    return Error(not_run("worker-refused", "the worker refused the task"))
                if response.status != 200:
                    detail = f"the worker answered {response.status}"
                    return Error(may_have_run("worker-error", detail))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(not_run("worker-unreachable", type(error).__name__))
        except TimeoutError:
            return Error(may_have_run("worker-timeout", "no whole answer by the deadline"))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(may_have_run("worker-lost", type(error).__name__))
        return _validated_answer(body, call["attempt"], monotonic_ms() - started_ms)

    async def stop_task(self, base_url: str, submission: str, index: int) -> None:
        """Ask an endpoint to stop a task; whether it did is not known."""
        assert self._session is not None
        url = f"{base_url}/v1/tasks/{submission}/{index}/stop"
        timeout = aiohttp.ClientTimeout(total=_STOP_TIMEOUT_S)
        try:
            async with self._session.post(url, timeout=timeout, allow_redirects=False):
                return
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            ENDPOINT_LOG.event("endpoint.unanswered", call="stop", reason=type(error).__name__)

    async def usage(self, base_url: str) -> int | None:
        """Return how many tasks an endpoint reports as running, or ``None`` without a report."""
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=_USAGE_TIMEOUT_S)
        try:
            async with self._session.get(f"{base_url}/v1/usage", timeout=timeout) as response:
                if response.status != 200:
                    return None
                return _USAGE_DECODER.decode(await self._read(response)).running
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError, ValueError):
            # No report is an answer of its own: who asks takes the endpoint for silent.
            return None

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the whole body.

        Raises:
            ValueError: It is larger than the bound.
        """
        most = self._settings.limits.answer_max_bytes
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > most:
                response.close()
                raise ValueError("the answer is too large")
        return bytes(body)


def _validated_answer(body: bytes, attempt: str, service_ms: float) -> Result[TaskAnswer, Problem]:
    """Return the answer if it is whole and for this attempt."""
    try:
        reply = _REPLY_DECODER.decode(body)
    except msgspec.DecodeError:
        return Error(may_have_run("answer-malformed", "the worker's answer is not whole JSON"))
    if reply.attempt != attempt:
        return Error(may_have_run("answer-crossed", "the answer is for another attempt"))
    return Ok(TaskAnswer(reply.answer, service_ms))
