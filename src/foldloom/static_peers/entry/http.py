# SPDX-License-Identifier: MIT
"""The HTTP server of a box: jobs, health checks and the operators' routes.

Owns the listening socket and the connection count, and rejects malformed requests. The coordinator
and the lookup process the valid ones.
"""

from __future__ import annotations

import asyncio
import math
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from foldloom.ids import is_valid_submission
from foldloom.metrics import Metrics
from foldloom.settings import Settings
from foldloom.static_peers.entry.bodies import PROBLEM_TYPE, read_body
from foldloom.static_peers.entry.coordinator import Coordinator
from foldloom.static_peers.entry.jobs import Response, problem_response
from foldloom.static_peers.entry.lookup import JobLookup
from foldloom.static_peers.entry.requests import parse_job
from foldloom.verdicts import Problem, Run, may_have_run, not_run

JSON_TYPE = "application/json"
# Timeout for connections still open when the box stops, after all its jobs are answered.
_SHUTDOWN_TIMEOUT_S = 1.0
# aiohttp's default, which must be passed to the handler explicitly.
_HEAD_LINE_MAX_BYTES = 8_190
# "May have run", because the job may run on another box.
_NO_ENTRY = may_have_run("no-entry", "this box takes no jobs", status=503)
# 408 Request Timeout (RFC 9110, section 15.5.9).
_BODY_TIMEOUT_STATUS = 408


def to_http(response: Response) -> web.Response:
    """Convert *response* to an aiohttp response."""
    headers = {}
    if response.retry_after_ms:
        headers["Retry-After"] = str(math.ceil(response.retry_after_ms / 1_000))
    content_type = JSON_TYPE if response.status == 200 else PROBLEM_TYPE
    return web.Response(
        status=response.status, body=response.body, content_type=content_type, headers=headers
    )


class _BoundedHandler(RequestHandler):
    """A connection that is closed if no request head arrives within the timeout."""

    def __init__(self, server: HttpServer, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._http_server = server
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_counted = False
        self.has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or close it if the connection limit is reached."""
        super().connection_made(transport)
        if not self._http_server.acquire_connection():
            transport.close()
            return
        self._is_counted = True
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(
            self._http_server.header_timeout_s, self._close_without_head
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the head timer and release the connection."""
        if self._head_timer is not None:
            self._head_timer.cancel()
        if self._is_counted:
            self._http_server.release_connection()
        super().connection_lost(exc)

    def _close_without_head(self) -> None:
        if not self.has_head and self.transport is not None:
            self._http_server.count("http.header-timeouts")
            self.transport.close()


class HttpServer:
    """The HTTP server of this box.

    Args:
        settings: This box's settings.
        coordinator: Processes submitted jobs; ``None`` on a box without the entry role.
        lookup: Looks up jobs; ``None`` on a box without the entry role.
        is_ready: Returns whether the load balancer should send requests.
        metrics: Counters.
        add_routes: Adds the operators' routes.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator | None,
        lookup: JobLookup | None,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        add_routes: Callable[[web.Application], None],
    ) -> None:
        self._settings = settings
        self._coordinator = coordinator
        self._lookup = lookup
        self._is_ready = is_ready
        self._metrics = metrics
        self._connections = 0
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._app = web.Application(
            client_max_size=settings.http.body_max_bytes, middlewares=[_mark_head_received]
        )
        self._app.router.add_get("/healthz", self._healthz)
        self._app.router.add_get("/readyz", self._readyz)
        self._app.router.add_put("/v1/jobs/{submission}", self._put_job)
        self._app.router.add_get("/v1/jobs/{submission}", self._get_job)
        add_routes(self._app)

    @property
    def header_timeout_s(self) -> float:
        """Timeout for a connection's first request head, in seconds."""
        return self._settings.http.header_timeout_ms / 1_000

    def acquire_connection(self) -> bool:
        """Count a new connection; return ``False`` if the connection limit is reached."""
        if self._connections >= self._settings.http.connections_max:
            self._metrics.count("http.connections-refused")
            return False
        self._connections += 1
        return True

    def release_connection(self) -> None:
        """Subtract a closed connection from the count."""
        self._connections -= 1

    def count(self, name: str) -> None:
        """Increment the counter *name*."""
        self._metrics.count(name)

    async def start(self) -> None:
        """Start listening."""
        self._runner = web.AppRunner(
            self._app, access_log=None, handle_signals=False, keepalive_timeout=30.0
        )
        await self._runner.setup()
        server = self._runner.server
        assert server is not None
        loop = asyncio.get_running_loop()

        def connect() -> _BoundedHandler:
            return _BoundedHandler(
                self,
                server,
                loop=loop,
                access_log=None,
                keepalive_timeout=30.0,
                max_line_size=_HEAD_LINE_MAX_BYTES,
            )

        http = self._settings.http
        self._server = await loop.create_server(
            connect, http.host, http.port, ssl=self._tls(), reuse_address=True
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            server = self._runner.server
            if server is not None:
                await server.shutdown(_SHUTDOWN_TIMEOUT_S)
            await self._runner.cleanup()

    def _tls(self) -> ssl.SSLContext | None:
        http = self._settings.http
        if not http.tls_certificate_file:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(http.tls_certificate_file, http.tls_key_file)
        return context

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _put_job(self, request: web.Request) -> web.Response:
        submission = request.match_info["submission"]
        if self._coordinator is None:
            return self._problem(submission, _NO_ENTRY)
        if not is_valid_submission(submission):
            detail = "submission: not a well-formed id"
            return self._problem("", not_run("bad-request", detail, status=400))
        body = await read_body(request, self._settings.http.body_timeout_ms)
        if isinstance(body, Problem):
            return self._problem(submission, _unread_body_problem(body))
        parsed = parse_job(body, self._settings)
        if parsed.is_error():
            return self._problem(submission, parsed.error)
        return to_http(await self._coordinator.submit(submission, parsed.ok))

    async def _get_job(self, request: web.Request) -> web.Response:
        submission = request.match_info["submission"]
        if self._lookup is None:
            return self._problem(submission, _NO_ENTRY)
        if not is_valid_submission(submission):
            detail = "submission: not a well-formed id"
            return self._problem("", not_run("bad-request", detail, status=400))
        response = await self._lookup.look_up(submission)
        if response is None:
            fields = {"submission": submission, "verdict": "running"}
            return web.json_response(fields, status=202)
        return to_http(response)

    def _problem(self, submission: str, problem: Problem) -> web.Response:
        return to_http(problem_response(submission, self._settings.zone, problem))


def _unread_body_problem(problem: Problem) -> Problem:
    """Return *problem* with ``run`` set for a job whose body could not be read.

    A body that is too large is refused by every box. After a timeout, the submission is unread and
    may have run earlier.
    """
    if problem.status != _BODY_TIMEOUT_STATUS:
        return problem
    return problem._replace(run=Run.MAY_HAVE_RUN)


@web.middleware
async def _mark_head_received(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Record that the connection has sent a complete request head."""
    if isinstance(request.protocol, _BoundedHandler):
        request.protocol.has_head = True
    return await handler(request)
