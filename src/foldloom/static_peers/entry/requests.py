# SPDX-License-Identifier: MIT
"""Parse and validate job requests against the limits in the settings."""

from __future__ import annotations

import re
from typing import Annotated, NamedTuple

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from foldloom.ids import content_digest
from foldloom.settings import Settings
from foldloom.verdicts import Problem, not_run

# No control characters, because names are written to log lines.
_NAME = Meta(min_length=1, max_length=128, pattern=r"^[^\x00-\x1f\x7f]*$")
_MISSING_FIELD = re.compile(r"Object missing required field `(.+?)`")


class TaskBody(msgspec.Struct):
    """One task of a job request."""

    payload: msgspec.Raw


class _JobBody(msgspec.Struct):
    service: Annotated[str, _NAME]
    customer: Annotated[str, _NAME] = msgspec.field(name="member")
    tasks: Annotated[list[TaskBody], Meta(min_length=1)]
    repeatable: bool = False
    deadline_ms: Annotated[int, Meta(ge=1)] = 0


class JobRequest(NamedTuple):
    """A validated job request.

    Args:
        service: The service that runs the tasks.
        customer: The customer that the job is accounted to.
        repeatable: Whether tasks may be retried after an endpoint failed while running them.
        deadline_ms: Time limit of the job from its arrival, in milliseconds.
        payloads: One JSON value per task.
        digest: Digest of all fields above except the deadline.
    """

    service: str
    customer: str
    repeatable: bool
    deadline_ms: int
    payloads: list[msgspec.Raw]
    digest: str


_BODY_DECODER = msgspec.json.Decoder(_JobBody)


def parse_job(body: bytes, settings: Settings) -> Result[JobRequest, Problem]:
    """Parse and validate a job's JSON *body*; a validation error names the field."""
    try:
        parsed = _BODY_DECODER.decode(body)
    except msgspec.DecodeError as error:
        return Error(not_run("bad-request", _field_prefixed(str(error)), status=400))
    tasks_max = settings.limits.tasks_per_job_max
    if len(parsed.tasks) > tasks_max:
        return Error(not_run("too-many-tasks", f"tasks: more than {tasks_max}", status=413))
    deadline_ms = parsed.deadline_ms or settings.timings.deadline_default_ms
    deadline_ms = min(deadline_ms, settings.timings.deadline_max_ms)
    # Copied, because each Raw would otherwise keep the whole body in memory.
    payloads = [msgspec.Raw(bytes(task.payload)) for task in parsed.tasks]
    content = [parsed.service, parsed.customer, parsed.repeatable, _canonical(payloads)]
    digest = content_digest(content)
    return Ok(
        JobRequest(
            parsed.service, parsed.customer, parsed.repeatable, deadline_ms, payloads, digest
        )
    )


def _canonical(payloads: list[msgspec.Raw]) -> list[object]:
    """Decode the payloads, so that the digest ignores white space and key order."""
    return [msgspec.json.decode(payload) for payload in payloads]


def _field_prefixed(message: str) -> str:
    """Return msgspec's error *message* prefixed with the field's path."""
    reason, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    missing = _MISSING_FIELD.match(reason)
    if missing is not None:
        path = ".".join(filter(None, (path, missing.group(1))))
        reason = "is required"
    return f"{path}: {reason}" if path else reason
