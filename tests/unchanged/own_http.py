# SPDX-License-Identifier: MIT
"""Print the responses of foldloom's own HTTP interface as JSON.

Run as a program: static_peers and seed_discovery share the message numbers 80 to 83, so their
modules cannot be imported into one process.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from foldloom.metrics import Metrics
from foldloom.settings_file import settings_from
from foldloom.static_peers.box import Box
from foldloom.static_peers.entry.http import HttpServer
from foldloom.static_peers.entry.jobs import complete_response, problem_response
from foldloom.verdicts import may_have_run, not_run
from unchanged.http_answers import answers_of
from unchanged.samples import INTENTS, SETTINGS


class _Coordinator:
    """A coordinator whose result depends on the submission's name."""

    async def submit(self, submission: str, _request: Any) -> Any:
        problems = {
            "refused": not_run("overload", "the queue is full", 1_200),
            "failed": may_have_run("worker-lost", "ClientOSError"),
            "conflict": not_run("conflict", "other content", status=409),
        }
        if submission in problems:
            return problem_response(submission, "a", problems[submission])
        return complete_response(submission, "a", [msgspec.Raw(b'{"x":1}')])

    async def look_up(self, submission: str) -> Any:
        if submission == "running":
            return None
        return await self.submit(submission, None)


_JOB = {"service": "s", "member": "m", "tasks": [{"payload": {"ms": 1}}]}
_REQUESTS: list[tuple[str, str, Any]] = [
    ("GET", "/healthz", None),
    ("GET", "/readyz", None),
    ("PUT", "/v1/jobs/complete", _JOB),
    ("PUT", "/v1/jobs/refused", _JOB),
    ("PUT", "/v1/jobs/failed", _JOB),
    ("PUT", "/v1/jobs/conflict", _JOB),
    ("PUT", "/v1/jobs/missing", {"service": "s", "member": "m"}),
    ("PUT", "/v1/jobs/member", {"service": "s", "tasks": [{"payload": 1}]}),
    ("PUT", "/v1/jobs/none", {**_JOB, "tasks": []}),
    ("PUT", "/v1/jobs/many", {**_JOB, "tasks": [{"payload": 1}] * 2_001}),
    ("PUT", "/v1/jobs/bad%20id", _JOB),
    ("GET", "/v1/jobs/running", None),
    ("GET", "/v1/jobs/refused", None),
    ("GET", "/v1/unknown", None),
    ("POST", "/v1/jobs/complete", _JOB),
    ("POST", "/v1/intents", {"intents": INTENTS}),
    ("GET", "/v1/config", None),
    ("GET", "/v1/status", None),
]


async def collect_answers(folder: Path) -> Any:
    """Return the responses of a box and of an HTTP server with a stub coordinator."""
    tokens = folder / "tokens"
    tokens.write_text("secret\n")
    settings = settings_from({**SETTINGS, "operator_tokens_file": str(tokens)})
    callers = HttpServer(
        settings,
        _Coordinator(),
        _Coordinator(),
        lambda: True,
        Metrics(),
        lambda _app: None,  # type: ignore
    )
    unauthorized, box = Box(settings), Box(settings)
    token = {"Authorization": "Bearer secret"}
    status = box.status()
    answers = {
        "callers": await answers_of(callers._app, _REQUESTS[:15], {}),
        "unauthorized": await answers_of(unauthorized._http._app, _REQUESTS[15:], {}),
        "operators": await answers_of(box._http._app, [("GET", "/v1/config", None)], token),
        "status": [sorted(status), sorted(status["boxes"]["a1"])],
    }
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return answers


def main() -> None:
    """Print the responses."""
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(asyncio.run(collect_answers(Path(folder)))))


if __name__ == "__main__":
    main()
