# SPDX-License-Identifier: MIT
"""Compatibility of the adapter with the platform's clients, operator and endpoints.

Compares HTTP responses, calls to endpoints and settings with ``tests/unchanged/recorded``.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from expression import Error, Ok

from clients import ClientRoutes
from documents import read_queues
from endpoint_calls import HttpEndpointCalls
from foldloom.controllers.state import Publication
from foldloom.metrics import Metrics
from foldloom.seed_discovery.endpoints.calls import PollOrder, StartOrder
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.job_runner import JobEnd, JobResult, JobState
from foldloom.seed_discovery.jobs.spec import Demand, RunId, TaskId
from foldloom.verdicts import may_have_run, not_run
from local_settings import read_settings
from operators import OperatorRoutes
from unchanged.http_answers import answers_of
from unchanged.recorded import check

_DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "127.0.0.1",
            "path_prefix": "/p/",
            "service": "s",
            "timeout_ms": 1_500,
            "target_latency_ms": 60,
            "extension": 1.6,
        }
    ],
    "services": [{"name": "s"}],
}
_JOB = {"spec": "s", "phases": [{"count": 1, "cpu": 500}], "best_effort": True}
_IDS = {
    "completed": "000000000000000a",
    "failed": "000000000000000b",
    "refused": "000000000000000c",
    "expired": "000000000000000d",
}
_RESULTS: dict[str, JobResult] = {
    _IDS["completed"]: Ok(JobEnd(JobState.COMPLETED)),
    _IDS["failed"]: Ok(JobEnd(JobState.FAILED, "a task failed")),
    _IDS["refused"]: Error(not_run("overload", retry_after_ms=1_200)),
    _IDS["expired"]: Error(may_have_run("deadline")),
}


class _EntryBox:
    """An entry box whose job results depend on the job id."""

    def __init__(self, is_leaving: bool = False, is_configured: bool = True) -> None:
        publication = Publication(7, json.dumps(_DOCUMENT).encode())
        self.queues = read_queues(publication) if is_configured else None
        self.is_leaving = is_leaving
        self.is_ready = not is_leaving
        self.timeouts: list[float] = []

    async def wait_configured(self, _timeout_ms: float) -> None:
        return None

    async def run_job(self, job: Any, _queue: Any, timeout_ms: float) -> JobResult:
        self.timeouts.append(timeout_ms)
        return _RESULTS[job.job_id]


_CLIENT_CALLS: list[tuple[str, str, Any]] = [
    *(("POST", f"/p/{job_id}", _JOB) for job_id in _IDS.values()),
    ("POST", "/p/short", _JOB),
    ("POST", "/p/000000000000000e", {**_JOB, "best_effort": False}),
    ("POST", "/p/000000000000000f", b"x" * (1024 * 1024 + 1)),
    ("GET", "/p/", None),
    ("GET", "/p/000000000000000a", None),
    ("DELETE", "/p/000000000000000a", None),
    ("PATCH", "/p/000000000000000a", None),
    ("GET", "/other/", None),
]


async def _serve(handler: Any, calls: list[Any], headers: dict[str, str] | None = None) -> Any:
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_route("*", "/{path:.*}", handler)
    return await answers_of(app, calls, headers or {})


class TestClients:
    """Requests of clients and the load balancer."""

    def test_answers(self) -> None:
        """Status, headers and body while serving, stopping and not yet configured."""

        async def collect_answers() -> Any:
            box = _EntryBox()
            routes = ClientRoutes(box)  # type: ignore[arg-type]
            leaving = ClientRoutes(_EntryBox(is_leaving=True))  # type: ignore[arg-type]
            unconfigured = ClientRoutes(_EntryBox(is_configured=False))  # type: ignore[arg-type]
            deadline = {"X-Foldloom-Deadline-Ms": "800"}
            actual = {
                "serving": await _serve(routes.handle, _CLIENT_CALLS),
                "with_deadline": await _serve(routes.handle, _CLIENT_CALLS[:1], deadline),
                "leaving": await _serve(leaving.handle, _CLIENT_CALLS[:1]),
                "bare": await _serve(unconfigured.handle, _CLIENT_CALLS[:1]),
                "ready": await _serve(routes.ready, [("GET", "/foldloom/readyz", None)]),
                "not_ready": await _serve(leaving.ready, [("GET", "/foldloom/readyz", None)]),
            }
            return actual | {"timeouts": box.timeouts}

        check("platform_clients", asyncio.run(collect_answers()))


class _Controller:
    """A controller that records the calls to it."""

    def __init__(self, is_leading: bool = True) -> None:
        self.metrics = Metrics()
        self.received: list[Any] = []
        self._is_leading = is_leading

    async def handle_report(self, record: EndpointRecord) -> bool:
        self.received.append(list(record))
        return True

    async def deregister_endpoint(self, endpoint: str) -> None:
        self.received.append(endpoint)

    async def publish(self, version: int, document: bytes, timeout_ms: float) -> Any:
        self.received.append([version, document.decode(), timeout_ms])
        return Ok(version) if self._is_leading else Error(not_run("no-leader", "no leader"))

    async def newest(self, _timeout_ms: float) -> Any:
        if not self._is_leading:
            return Error(not_run("no-leader", "no leader"))
        return Ok(Publication(7, json.dumps(_DOCUMENT).encode()))


_REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 5.5,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 1},
    "labels": ["k", "r1"],
    "remaining_ms": 900,
    "clock_ms": 482_113,
    "call_seq": 4,
    "unknown": 1,
}
_CONTROL_CALLS: list[tuple[str, str, Any]] = [
    ("PUT", "/foldloom/instances/i-1", _REPORT),
    ("PUT", "/foldloom/instances/i-2", {"service": "s"}),
    ("DELETE", "/foldloom/instances/i-1", None),
    ("GET", "/foldloom/instances/i-1", None),
    ("PUT", "/foldloom/config", _DOCUMENT),
    ("PUT", "/foldloom/config?invalid", {**_DOCUMENT, "version": 0}),
    ("GET", "/foldloom/config", None),
    ("GET", "/foldloom/unknown", None),
]


class TestControl:
    """Requests of endpoints and the operator."""

    @pytest.mark.parametrize("is_leading", [True, False])
    def test_answers(self, is_leading: bool) -> None:
        """Status, headers and body, and the arguments passed to the controller."""

        async def collect_answers() -> Any:
            controller = _Controller(is_leading)
            routes = OperatorRoutes(controller)  # type: ignore[arg-type]
            answers = await _serve(routes.handle, _CONTROL_CALLS)
            return {"answers": answers, "told": controller.received}

        check(f"platform_control_{is_leading}".lower(), asyncio.run(collect_answers()))


_RUN = RunId(TaskId("5c0e7a21d94b36f8", 0, 1, 17), 2)
_POLL_BODY = {
    "clock_ms": 482_113,
    "active": [["5c0e7a21d94b36f8.0.1.17", 2, "c", 41, 12]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
_RESPONSES: list[tuple[int, Any]] = [
    (200, _POLL_BODY),
    *((409, {"clock_ms": 7, "reason": reason}) for reason in ("fence", "old", "late", "room", "x")),
    (400, {}),
    (421, {}),
    (429, {}),
    (503, {}),
    (500, {"clock_ms": 9}),
    (200, b"no json"),
    (200, {"clock_ms": 1, "active": [["not a task", 1, "", 1]]}),
]


class _Endpoint:
    """An endpoint that records requests and returns the configured response."""

    def __init__(self) -> None:
        self.requests: list[Any] = []
        self.answer: tuple[int, Any] = (200, {})

    async def handle(self, request: web.Request) -> web.Response:
        kept_headers = {
            key: request.headers[key]
            for key in ("Content-Type", "X-Foldloom-Expected-Instance")
            if key in request.headers
        }
        self.requests.append(
            [request.method, request.path, kept_headers, (await request.read()).decode()]
        )
        status, body = self.answer
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return web.Response(status=status, body=data, content_type="application/json")


class TestOrders:
    """Calls from the adapter to endpoints."""

    def test_orders_and_replies(self) -> None:
        """Paths, headers and bodies of the calls, and the outcome of each response."""

        async def collect_answers() -> Any:
            endpoint = _Endpoint()
            app = web.Application()
            app.router.add_route("*", "/{path:.*}", endpoint.handle)
            calls = HttpEndpointCalls()
            replies = []
            async with TestServer(app) as server:
                address = f"{server.host}:{server.port}"
                record = EndpointRecord("i-1", "s", address, "a", Demand())
                for answer in _RESPONSES:
                    endpoint.answer = answer
                    start = await calls.start_run(record, StartOrder(_RUN, "t", 7, 900, "c"))
                    stop = await calls.stop_run(record, _RUN, 7)
                    poll_reply = await calls.poll(record, PollOrder(7, 57, 900, 200))
                    replies.append(
                        [
                            [start.outcome.value, start.clock_ms],
                            [stop.outcome.value, stop.clock_ms],
                            [
                                poll_reply.outcome.value,
                                poll_reply.clock_ms,
                                len(poll_reply.active),
                                len(poll_reply.ended),
                            ],
                        ]
                    )
                await calls.start_run(record, StartOrder(_RUN, "t", 7, 900))
                await calls.poll(record, PollOrder(7, 57, 0, 0))
            unreachable = await calls.stop_run(record, _RUN, 7)
            await calls.stop()
            replies.append([unreachable.outcome.value])
            distinct_requests = [
                json.loads(text)
                for text in sorted({json.dumps(request) for request in endpoint.requests})
            ]
            return {"orders": distinct_requests, "replies": replies}

        check("platform_orders", asyncio.run(collect_answers()))


_LOCAL_SETTINGS = """
node_name = "edge-1"
role = "my-edge"
ip = "127.0.0.1"
zone = "a"
internal_ports = [7720, 7735]
seed_nodes = ["127.0.0.2:8166", "127.0.0.3:8166"]
bootstrap = true
unknown = 1
[listen]
frontend = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[bounds]
hold_max_ms = 500
grace_s = 6
"""


class TestLocalSettings:
    """The settings file written by the platform."""

    @pytest.mark.parametrize("name", ["entry", "controller"])
    def test_read(self, name: str, tmp_path: Any) -> None:
        """Every field is mapped to the same setting."""
        text = _LOCAL_SETTINGS
        if name == "controller":
            text = text.replace("frontend", "control_plane").replace(
                "zone", 'data_dir = "/d"\nzone'
            )
        path = tmp_path / "local.toml"
        path.write_text(text)
        local = read_settings(str(path))
        settings = local.settings
        actual = {
            "box": settings.box,
            "zone": settings.zone,
            "roles": settings.roles,
            "seeds": settings.seeds,
            "http": [settings.http.host, settings.http.port],
            "data": settings.data_folder,
            "metrics": settings.metrics_address,
            "logs": settings.logs.format,
            "lease": settings.timings.endpoint_lease_ms,
            "stop": settings.timings.stop_timeout_ms,
            "local": list(local)[1:],
        }
        check(f"local_settings_{name}", actual)
