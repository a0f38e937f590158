# SPDX-License-Identifier: MIT
"""Log lines by logbook: decisions as events with fields, other news as short sentences.

Owns the loggers of all parts and the batch of lines that wait. Relies on logbook and on one
thread.

Neither a slow reader nor a flood of events may hold a decision up: a kind of event has a rate,
and lines wait in a bounded batch that a thread writes. What is left out is counted, and the count
is logged.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from collections import deque
from pathlib import Path
from typing import Any, NamedTuple

import logbook
import msgspec

from foldloom.settings import LogSettings

# Events of a kind a second: above the 60 jobs a second of the users' days, so that it cuts only
# floods.
EVENTS_PER_S = 200.0
# Events of a kind at once: two seconds' worth.
_BURST_EVENTS = 400.0
# Seconds between two batches, so that a log is never far behind.
_WRITE_INTERVAL_S = 0.1
# Lines that may wait for a slow reader: some 8 MB.
_PENDING_LINES_MAX = 20_000
# Seconds for the last batch when a process ends.
_CLOSE_TIMEOUT_S = 0.5
_JSON_SCALARS = (int, float, bool, str)


class _TokenBucket(NamedTuple):
    """How many events of a kind may be logged now, as of a time, and how many were left out."""

    tokens: float
    updated_s: float
    suppressed: int


class EventLimits:
    """A rate for each kind of event.

    Args:
        per_s: How many a second; twice as many at once.
    """

    def __init__(self, per_s: float = EVENTS_PER_S) -> None:
        self._per_s = per_s
        self._burst = per_s * _BURST_EVENTS / EVENTS_PER_S
        self._buckets: dict[str, _TokenBucket] = {}

    def admit(self, kind: str, now_s: float) -> int | None:
        """Count an event of *kind*; return how many were left out before, ``None`` if it is too."""
        bucket = self._buckets.get(kind, _TokenBucket(self._burst, now_s, 0))
        refilled = bucket.tokens + (now_s - bucket.updated_s) * self._per_s
        tokens = min(self._burst, refilled)
        if tokens < 1:
            self._buckets[kind] = _TokenBucket(tokens, now_s, bucket.suppressed + 1)
            return None
        self._buckets[kind] = _TokenBucket(tokens - 1, now_s, 0)
        return bucket.suppressed


_LIMITS = EventLimits()


class ComponentLogger(logbook.Logger):  # type: ignore[misc]
    """The logger of one part of the code."""

    def event(self, kind: str, **fields: Any) -> None:
        """Log a decision or a state change with its inputs, unless the kind is over its rate.

        Args:
            kind: ``thing.what-happened``.
            fields: Ids, inputs, their age or version, and the outcome.
        """
        if self.disabled:
            return
        suppressed = _LIMITS.admit(kind, time.monotonic())
        if suppressed is None:
            return
        if suppressed:
            fields["left_out"] = suppressed
        self.info(kind, **fields)


ENTRY_LOG = ComponentLogger("entry")
CLAIM_LOG = ComponentLogger("claim")
PLACE_LOG = ComponentLogger("place")
CONTROLLER_LOG = ComponentLogger("controller")
CONFIG_LOG = ComponentLogger("config")
ENDPOINT_LOG = ComponentLogger("endpoint")
PEER_LOG = ComponentLogger("peer")
PROCESS_LOG = ComponentLogger("process")


class BatchHandler(logbook.Handler):  # type: ignore[misc]
    """Keep lines and let a thread write them; lines beyond the bound are dropped and counted.

    Args:
        descriptor: The open file that takes the lines.
        level: The least level.
        line_format: ``text`` or ``json``.
        box: What this process is called in JSON lines.
        lines_max: How many lines may wait.
    """

    def __init__(
        self,
        descriptor: int,
        level: int,
        line_format: str,
        box: str = "",
        lines_max: int = _PENDING_LINES_MAX,
    ) -> None:
        super().__init__(level, bubble=False)
        self._descriptor = descriptor
        self._is_json = line_format == "json"
        self._box = box
        self._lines_max = lines_max
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._write_batches, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Keep one line."""
        if len(self._lines) >= self._lines_max:
            self._dropped += 1
            return
        self._lines.append(self._format_json(record) if self._is_json else _format_text(record))

    def close(self) -> None:
        """Write what waits, unless the reader does not take it in time."""
        self._is_closed.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _write_batches(self) -> None:
        while not self._is_closed.wait(_WRITE_INTERVAL_S):
            self._write()
        self._write()

    def _write(self) -> None:
        # One at a time: another thread goes on adding lines meanwhile.
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(self._dropped_line(dropped))
        if not lines:
            return
        data = ("\n".join(lines) + "\n").encode(errors="replace")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # Nobody reads the lines any more; the work goes on.
            return

    def _format_json(self, record: logbook.LogRecord) -> str:
        fields: dict[str, Any] = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "box": self._box,
            "part": record.channel,
        }
        kwargs = record.kwargs or {}
        fields["event" if kwargs else "message"] = record.message
        for key, value in kwargs.items():
            fields[str(key)] = value if isinstance(value, _JSON_SCALARS) else str(value)
        return msgspec.json.encode(fields).decode()

    def _dropped_line(self, dropped: int) -> str:
        if not self._is_json:
            return f"logs: {dropped} lines were dropped."
        fields = {"box": self._box, "part": "logs", "event": "logs.dropped", "lines": dropped}
        return msgspec.json.encode(fields).decode()


def _format_text(record: logbook.LogRecord) -> str:
    """Return *record* as a sentence with its fields behind it."""
    fields = "".join(f" {key}={value}" for key, value in (record.kwargs or {}).items())
    moment = f"{record.time:%Y-%m-%dT%H:%M:%S.%f}"
    return f"{moment} {record.level_name} {record.channel}: {record.message}{fields}"


def start_logging(settings: LogSettings, box: str = "") -> logbook.Handler:
    """Send every part's log lines where *settings* says; return the handler.

    Args:
        settings: Level, form, and the file if it is not standard output.
        box: What this process is called.
    """
    level = logbook.lookup_level(settings.level)
    descriptor = sys.stdout.fileno()
    if settings.file:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(Path(settings.file), flags, 0o644)
    handler = BatchHandler(descriptor, level, settings.format, box)
    handler.push_application()
    return handler
