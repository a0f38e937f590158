# SPDX-License-Identifier: MIT
"""The life of one request, collected from the logs of several boxes.

Owns nothing: it reads log files and sorts their lines by time. Relies on the events' names, those
of the release before included.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

_HEADER_KEYS = ("time", "box", "event")
_HIDDEN_FIELDS = frozenset((*_HEADER_KEYS, "level", "part", "job"))
_JOB_ENDED = "job.ended"
_CONTEXT_EVENTS = frozenset(
    (
        "owner.claimed",
        "owner.left",
        "owner.heard",
        "endpoint.silent",
        "endpoint.lapsed",
        "endpoint.answers",
        "session.ended",
        "process.up",
        "process.stopping",
        "process.stopped",
        "config.held",
    )
)

# The release before called an endpoint a worker; its logs are still read.
_OLD_EVENT_PREFIX, _EVENT_PREFIX = "worker.", "endpoint."
_OLD_ENDPOINT_FIELD, _ENDPOINT_FIELD = "worker", "endpoint"


class LogLine(NamedTuple):
    """One event.

    Args:
        time: The box's time of day, ISO 8601.
        box: Who wrote it.
        event: What happened.
        fields: With which inputs and what outcome.
    """

    time: str
    box: str
    event: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """The event on one line."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items() if value != "")
        return f"{self.time}  {self.box:24s} {self.event:18s} {shown}"


class Life(NamedTuple):
    """What the logs show of a request.

    Args:
        job: Its id.
        lines: Its events, and what the boxes that ran it believed meanwhile, in order.
        outcome: How it was answered; empty if no log shows it.
        cause: Why, as far as its own events show.
    """

    job: str
    lines: list[LogLine]
    outcome: str
    cause: str


def read_lines(files: Iterable[str]) -> Iterator[LogLine]:
    """Return the events in *files*; what is no event is passed over.

    Raises:
        OSError: A file can't be read.
    """
    for file in files:
        with Path(file).open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                line = _parse(text)
                if line is not None:
                    yield line


def explain(job: str, lines: Iterable[LogLine]) -> Life:
    """Return the life of *job*, an id or the first part of one."""
    all_lines = sorted(lines, key=lambda line: line.time)
    job_lines = [line for line in all_lines if str(line.fields.get("job", "")).startswith(job)]
    if not job_lines:
        return Life(job, [], "", "no log tells of it")
    first, last = job_lines[0].time, job_lines[-1].time
    boxes = {line.box for line in job_lines}
    shown = [
        line
        for line in all_lines
        if line in job_lines or (line.event in _CONTEXT_EVENTS and line.box in boxes)
        if first <= line.time <= last
    ]
    end_lines = [line for line in job_lines if line.event == _JOB_ENDED]
    outcome = "" if not end_lines else str(end_lines[-1].fields.get("outcome", ""))
    return Life(str(job_lines[0].fields["job"]), shown, outcome, _cause(job_lines, end_lines))


def life_text(life: Life) -> str:
    """Return a life as a person reads it."""
    shown = [
        LogLine(
            line.time,
            line.box,
            line.event,
            {key: value for key, value in line.fields.items() if key not in _HIDDEN_FIELDS},
        ).text
        for line in life.lines
    ]
    return "\n".join([*shown, f"outcome: {life.outcome or 'unknown'}", f"cause: {life.cause}"])


def _cause(job_lines: list[LogLine], end_lines: list[LogLine]) -> str:
    """Return the reason that was given, and what went wrong on the way to it."""
    reasons = [str(line.fields.get("reason", "")) for line in end_lines]
    retries = [
        f"{line.fields.get('run')} {line.fields.get('cause')} on {line.fields.get('endpoint')}"
        for line in job_lines
        if line.event == "run.retried"
    ]
    lost = [
        f"owner {line.fields.get('owner')} lost" for line in job_lines if line.event == "run.lost"
    ]
    resumed = [
        f"resumed at owner {line.fields.get('owner')}"
        for line in job_lines
        if line.event == "runs.resumed"
    ]
    parts = [part for part in [*lost, *resumed, *retries, *reasons] if part]
    return "; ".join(parts) or "nothing went wrong"


def _parse(text: str) -> LogLine | None:
    """Return the event on a line; a bench or a supervisor may have put something before it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        # Another program may write to the same file.
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    time, box, event = (str(fields.pop(key, "")) for key in _HEADER_KEYS)
    return LogLine(time, box, _current_event_name(event), _current_field_names(fields))


def _current_event_name(event: str) -> str:
    """Return the name that *event* has in this release."""
    if not event.startswith(_OLD_EVENT_PREFIX):
        return event
    return _EVENT_PREFIX + event.removeprefix(_OLD_EVENT_PREFIX)


def _current_field_names(fields: dict[str, Any]) -> dict[str, Any]:
    """Return *fields* under the names that they have in this release, in the same order."""
    return {_ENDPOINT_FIELD if key == _OLD_ENDPOINT_FIELD else key: fields[key] for key in fields}
