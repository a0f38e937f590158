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

_KEYS_FIRST = ("time", "box", "event")
_NOT_TOLD = frozenset((*_KEYS_FIRST, "level", "part", "job"))
_ENDED = "job.ended"
_BELIEFS = frozenset(
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


class Line(NamedTuple):
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
    lines: list[Line]
    outcome: str
    cause: str


def read_lines(files: Iterable[str]) -> Iterator[Line]:
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


def explain(job: str, lines: Iterable[Line]) -> Life:
    """Return the life of *job*, an id or the first part of one."""
    every = sorted(lines, key=lambda line: line.time)
    own = [line for line in every if str(line.fields.get("job", "")).startswith(job)]
    if not own:
        return Life(job, [], "", "no log tells of it")
    first, last = own[0].time, own[-1].time
    boxes = {line.box for line in own}
    shown = [
        line
        for line in every
        if line in own or (line.event in _BELIEFS and line.box in boxes)
        if first <= line.time <= last
    ]
    ended = [line for line in own if line.event == _ENDED]
    outcome = "" if not ended else str(ended[-1].fields.get("outcome", ""))
    return Life(str(own[0].fields["job"]), shown, outcome, _cause(own, ended))


def life_text(life: Life) -> str:
    """Return a life as a person reads it."""
    shown = [
        Line(
            line.time,
            line.box,
            line.event,
            {key: value for key, value in line.fields.items() if key not in _NOT_TOLD},
        ).text
        for line in life.lines
    ]
    return "\n".join([*shown, f"outcome: {life.outcome or 'unknown'}", f"cause: {life.cause}"])


def _cause(own: list[Line], ended: list[Line]) -> str:
    """Return the reason that was given, and what went wrong on the way to it."""
    reasons = [str(line.fields.get("reason", "")) for line in ended]
    retries = [
        f"{line.fields.get('run')} {line.fields.get('cause')} on {line.fields.get('endpoint')}"
        for line in own
        if line.event == "run.retried"
    ]
    lost = [f"owner {line.fields.get('owner')} lost" for line in own if line.event == "run.lost"]
    resumed = [
        f"resumed at owner {line.fields.get('owner')}"
        for line in own
        if line.event == "runs.resumed"
    ]
    parts = [part for part in [*lost, *resumed, *retries, *reasons] if part]
    return "; ".join(parts) or "nothing went wrong"


def _parse(text: str) -> Line | None:
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
    time, box, event = (str(fields.pop(key, "")) for key in _KEYS_FIRST)
    return Line(time, box, _present_event(event), _present_fields(fields))


def _present_event(event: str) -> str:
    """Return the name that *event* has in this release."""
    if not event.startswith(_OLD_EVENT_PREFIX):
        return event
    return _EVENT_PREFIX + event.removeprefix(_OLD_EVENT_PREFIX)


def _present_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Return *fields* under the names that they have in this release, in the same order."""
    return {_ENDPOINT_FIELD if key == _OLD_ENDPOINT_FIELD else key: fields[key] for key in fields}
