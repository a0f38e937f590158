# SPDX-License-Identifier: MIT
"""Timeline of one job, merged from the JSON logs of several boxes.

Relies on the names of log events, including those of the previous release.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

_HEADER_KEYS = ("time", "box", "event")
_HIDDEN_FIELDS = frozenset((*_HEADER_KEYS, "level", "part", "job"))
_JOB_ENDED = "job.ended"
_BEHIND = "process.behind"
# Reach of a delay's line before and after the job's own lines: boxes log their delay once a second.
_BEHIND_MARGIN = timedelta(seconds=1)
_CONTEXT_EVENTS = frozenset(
    (
        "owner.claimed",
        "owner.left",
        "owner.heard",
        "endpoint.silent",
        "endpoint.lapsed",
        "endpoint.answers",
        "session.ended",
        "process.behind",
        "process.up",
        "process.stopping",
        "process.stopped",
        "config.held",
    )
)

# The previous release used "worker" for "endpoint"; its logs remain readable.
_OLD_EVENT_PREFIX, _EVENT_PREFIX = "worker.", "endpoint."
_OLD_ENDPOINT_FIELD, _ENDPOINT_FIELD = "worker", "endpoint"


class LogLine(NamedTuple):
    """One log event.

    Args:
        time: Wall-clock time of the box, ISO 8601.
        box: Name of the box that logged the event.
        event: Name of the event.
        fields: Remaining fields of the event.
    """

    time: str
    box: str
    event: str
    fields: dict[str, Any]

    @property
    def text(self) -> str:
        """The event as one line of text."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items() if value != "")
        return f"{self.time}  {self.box:24s} {self.event:18s} {shown}"


class Life(NamedTuple):
    """The timeline of one job.

    Args:
        job: Id of the job.
        lines: Events of the job, and context events of the boxes involved, ordered by time.
        outcome: Outcome of the job; empty if it is not in the logs.
        cause: Cause of the outcome, derived from the events of the job.
    """

    job: str
    lines: list[LogLine]
    outcome: str
    cause: str


def read_lines(files: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in *files*; skip lines that are not events.

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
    """Return the timeline of *job*, a job id or a prefix of one."""
    all_lines = sorted(lines, key=lambda line: line.time)
    job_lines = [line for line in all_lines if str(line.fields.get("job", "")).startswith(job)]
    if not job_lines:
        return Life(job, [], "", "not found in the logs")
    first, last = job_lines[0].time, job_lines[-1].time
    earliest, latest = _with_margin(first, last)
    boxes = {line.box for line in job_lines}
    shown = [
        line
        for line in all_lines
        if line in job_lines or (line.event in _CONTEXT_EVENTS and line.box in boxes)
        if first <= line.time <= last or (line.event == _BEHIND and earliest <= line.time <= latest)
    ]
    delays = [line for line in shown if line.event == _BEHIND]
    end_lines = [line for line in job_lines if line.event == _JOB_ENDED]
    outcome = "" if not end_lines else str(end_lines[-1].fields.get("outcome", ""))
    return Life(
        str(job_lines[0].fields["job"]), shown, outcome, _cause(job_lines, end_lines, delays)
    )


def life_text(life: Life) -> str:
    """Return a timeline as human-readable text."""
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


def _with_margin(first: str, last: str) -> tuple[str, str]:
    """Return the times between which a delay of a box may concern a job; ISO 8601."""
    try:
        return (
            (datetime.fromisoformat(first) - _BEHIND_MARGIN).isoformat(),
            (datetime.fromisoformat(last) + _BEHIND_MARGIN).isoformat(),
        )
    except ValueError:
        # Lines of other programs may have another format; they are ordered as text all the same.
        return first, last


def _longest_delays(delays: list[LogLine]) -> list[str]:
    """Return for each box that was late how late it was at the most."""
    longest: dict[str, int] = {}
    for line in delays:
        longest[line.box] = max(longest.get(line.box, 0), int(line.fields.get("delay_ms", 0)))
    return [f"{box} was behind by {delay_ms} ms" for box, delay_ms in longest.items()]


def _cause(job_lines: list[LogLine], end_lines: list[LogLine], delays: list[LogLine]) -> str:
    """Return late boxes, lost owners, resumed runs, retries and the final reason."""
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
    parts = [
        part for part in [*_longest_delays(delays), *lost, *resumed, *retries, *reasons] if part
    ]
    return "; ".join(parts) or "no failures in the logs"


def _parse(text: str) -> LogLine | None:
    """Return the event on a line, or ``None``; a supervisor may have added a prefix to the line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        # Other programs may write to the same file.
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    time, box, event = (str(fields.pop(key, "")) for key in _HEADER_KEYS)
    return LogLine(time, box, _current_event_name(event), _current_field_names(fields))


def _current_event_name(event: str) -> str:
    """Return the name of *event* in this release."""
    if not event.startswith(_OLD_EVENT_PREFIX):
        return event
    return _EVENT_PREFIX + event.removeprefix(_OLD_EVENT_PREFIX)


def _current_field_names(fields: dict[str, Any]) -> dict[str, Any]:
    """Return *fields* with the field names of this release, in the same order."""
    return {_ENDPOINT_FIELD if key == _OLD_ENDPOINT_FIELD else key: fields[key] for key in fields}
