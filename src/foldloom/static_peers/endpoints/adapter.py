# SPDX-License-Identifier: MIT
"""HTTP client for endpoints: start a task, stop a task, read the usage.

Owns the connections to endpoints. A failed attempt is returned as a
:class:`~foldloom.verdicts.Problem`.

Every attempt is sent once. aiohttp does not retry a POST; if a keep-alive connection closes during
the request, the attempt fails and the task may have run.
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
# Far above a round trip, below a job's deadline.
_CONNECT_TIMEOUT_S = 1.0
# Equal to the poll interval of the usage reports.
_USAGE_TIMEOUT_S = 0.5
# Below the keep-alive limits of common servers.
_KEEPALIVE_S = 15.0
# For stop calls, which run in the background.
_STOP_TIMEOUT_S = 1.0


class TaskCall(TypedDict):
    """Request body of one attempt at a task.

    ``attempt`` is a unique id that the reply must echo; ``lease`` is the slot's lease id;
    ``member`` is the customer; ``deadline_ms`` is the time left for the answer; ``payload`` is the
    caller's JSON, unchanged.
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
    """An endpoint's complete answer as JSON, and the duration of the attempt."""

    answer: msgspec.Raw
    service_ms: float


_ENCODER = msgspec.json.Encoder()
_REPLY_DECODER = msgspec.json.Decoder(_TaskReply)
_USAGE_DECODER = msgspec.json.Decoder(_UsageReply)


class EndpointAdapter:
    """HTTP client for endpoints.

    Args:
        settings: Limits on connections per endpoint and on answer size, and the CA file.
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
        """Send one attempt; return the endpoint's answer, or a problem with its ``run`` state."""
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
        """Send a stop request for a task, without checking its result."""
        assert self._session is not None
        url = f"{base_url}/v1/tasks/{submission}/{index}/stop"
        timeout = aiohttp.ClientTimeout(total=_STOP_TIMEOUT_S)
        try:
            async with self._session.post(url, timeout=timeout, allow_redirects=False):
                return
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            ENDPOINT_LOG.event("endpoint.unanswered", call="stop", reason=type(error).__name__)

    async def usage(self, base_url: str) -> int | None:
        """Return the number of running tasks that an endpoint reports, or ``None`` on failure."""
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=_USAGE_TIMEOUT_S)
        try:
            async with self._session.get(f"{base_url}/v1/usage", timeout=timeout) as response:
                if response.status != 200:
                    return None
                return _USAGE_DECODER.decode(await self._read(response)).running
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError, ValueError):
            # Callers treat a missing report as an unresponsive endpoint.
            return None

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body.

        Raises:
            ValueError: The body exceeds ``answer_max_bytes``.
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
    """Return the answer if it is complete JSON and echoes *attempt*."""
    try:
        reply = _REPLY_DECODER.decode(body)
    except msgspec.DecodeError:
        return Error(may_have_run("answer-malformed", "the worker's answer is not whole JSON"))
    if reply.attempt != attempt:
        return Error(may_have_run("answer-crossed", "the answer is for another attempt"))
    return Ok(TaskAnswer(reply.answer, service_ms))
