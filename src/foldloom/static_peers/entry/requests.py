# SPDX-License-Identifier: MIT
"""A caller's job: checked before anything is done with it.

Owns nothing. Relies on the settings' limits.
"""

from __future__ import annotations

import re
from typing import Annotated, NamedTuple

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from foldloom.ids import content_digest
from foldloom.settings import Settings
from foldloom.verdicts import Problem, not_run

# No control characters: names go into log lines.
_NAME = Meta(min_length=1, max_length=128, pattern=r"^[^\x00-\x1f\x7f]*$")
_MISSING_FIELD = re.compile(r"Object missing required field `(.+?)`")


class TaskBody(msgspec.Struct):
    """One task of a job as the caller sent it."""

    payload: msgspec.Raw


class _JobBody(msgspec.Struct):
    service: Annotated[str, _NAME]
    customer: Annotated[str, _NAME] = msgspec.field(name="member")
    tasks: Annotated[list[TaskBody], Meta(min_length=1)]
    repeatable: bool = False
    deadline_ms: Annotated[int, Meta(ge=1)] = 0


class JobRequest(NamedTuple):
    """A checked job.

    Args:
        service: The service.
        customer: The customer on whose account it runs.
        repeatable: Whether its tasks may run again after an endpoint died.
        deadline_ms: How long the answer is of use, from its arrival.
        payloads: One JSON value a task.
        digest: Of all of the above but the deadline.
    """

    service: str
    customer: str
    repeatable: bool
    deadline_ms: int
    payloads: list[msgspec.Raw]
    digest: str


_BODY_DECODER = msgspec.json.Decoder(_JobBody)


def parse_job(body: bytes, settings: Settings) -> Result[JobRequest, Problem]:
    """Check a job's JSON *body*; a problem names the field."""
    try:
        parsed = _BODY_DECODER.decode(body)
    except msgspec.DecodeError as error:
        return Error(not_run("bad-request", _field_prefixed(str(error)), status=400))
    tasks_max = settings.limits.tasks_per_job_max
    if len(parsed.tasks) > tasks_max:
        return Error(not_run("too-many-tasks", f"tasks: more than {tasks_max}", status=413))
    deadline_ms = parsed.deadline_ms or settings.timings.deadline_default_ms
    deadline_ms = min(deadline_ms, settings.timings.deadline_max_ms)
    # A Raw over the body would keep all of it alive; tasks outlive it, so copy.
    payloads = [msgspec.Raw(bytes(task.payload)) for task in parsed.tasks]
    content = [parsed.service, parsed.customer, parsed.repeatable, _canonical(payloads)]
    digest = content_digest(content)
    return Ok(
        JobRequest(
            parsed.service, parsed.customer, parsed.repeatable, deadline_ms, payloads, digest
        )
    )


def _canonical(payloads: list[msgspec.Raw]) -> list[object]:
    """Return the payloads decoded, so that white space and key order do not matter."""
    return [msgspec.json.decode(payload) for payload in payloads]


def _field_prefixed(message: str) -> str:
    """Return the checker's *message* with the field at the front."""
    reason, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    missing = _MISSING_FIELD.match(reason)
    if missing is not None:
        path = ".".join(filter(None, (path, missing.group(1))))
        reason = "is required"
    return f"{path}: {reason}" if path else reason
