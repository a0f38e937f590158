# SPDX-License-Identifier: MIT
"""Logging with logbook: structured events for decisions, plain sentences otherwise.

Logging never blocks the event loop: each kind of event is rate-limited, and lines go through a
bounded queue that a background thread writes. Suppressed events and dropped lines are counted, and
the counts are logged.
"""

from __future__ import annotations

import atexit
import logging
import os
import sys
import threading
import time
from collections import deque
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar, NamedTuple

import logbook
import msgspec
from logbook.compat import RedirectLoggingHandler

from foldloom.settings import LogSettings

# Sustained rate of each kind of event.
EVENTS_PER_S = 200.0
# Burst size for each kind of event.
_BURST_EVENTS = 400.0
# Seconds between two writes.
_WRITE_INTERVAL_S = 0.1
# Lines queued for writing; about 8 MB.
_PENDING_LINES_MAX = 20_000
# Seconds to wait for the last write at process exit.
_CLOSE_TIMEOUT_S = 0.5
_INFO_NAME = logbook.get_level_name(logbook.INFO)
_JSON_SCALARS = (int, float, bool, str)


class _TokenBucket(NamedTuple):
    """Rate limit state of one kind of event: tokens at a point in time, and events suppressed."""

    tokens: float
    updated_s: float
    suppressed: int


class EventRateLimits:
    """A token bucket for each kind of event.

    Args:
        per_s: Events per second; the burst size is twice that.
    """

    def __init__(self, per_s: float = EVENTS_PER_S) -> None:
        self._per_s = per_s
        self._burst = per_s * _BURST_EVENTS / EVENTS_PER_S
        self._buckets: dict[str, _TokenBucket] = {}

    def try_acquire(self, kind: str, now_s: float) -> int | None:
        """Take a token for an event of *kind*.

        Returns:
            The number of events suppressed since the last admitted one, or ``None`` if this event
            is suppressed as well.
        """
        bucket = self._buckets.get(kind, _TokenBucket(self._burst, now_s, 0))
        refilled = bucket.tokens + (now_s - bucket.updated_s) * self._per_s
        tokens = min(self._burst, refilled)
        if tokens < 1:
            self._buckets[kind] = _TokenBucket(tokens, now_s, bucket.suppressed + 1)
            return None
        self._buckets[kind] = _TokenBucket(tokens - 1, now_s, 0)
        return bucket.suppressed


_RATE_LIMITS = EventRateLimits()


class ComponentLogger(logbook.Logger):  # type: ignore[misc]
    """The logger of one component."""

    def event(self, kind: str, **fields: Any) -> None:
        """Log a decision or a state change with its inputs, unless *kind* exceeds its rate limit.

        Args:
            kind: Event name, such as ``run.placed``.
            fields: Ids, inputs with their age or version, and the outcome.
        """
        if self.disabled:
            return
        suppressed = _RATE_LIMITS.try_acquire(kind, time.monotonic())
        if suppressed is None:
            return
        if suppressed:
            fields["left_out"] = suppressed
        if BatchHandler.of_events is None:
            self.info(kind, **fields)
        else:
            BatchHandler.of_events.add_event(self.name, kind, fields)


ENTRY_LOG = ComponentLogger("entry")
CLAIM_LOG = ComponentLogger("claim")
PLACE_LOG = ComponentLogger("place")
CONTROLLER_LOG = ComponentLogger("controller")
CONFIG_LOG = ComponentLogger("config")
ENDPOINT_LOG = ComponentLogger("endpoint")
PEER_LOG = ComponentLogger("peer")
PROCESS_LOG = ComponentLogger("process")


class BatchHandler(logbook.Handler):  # type: ignore[misc]
    """Queues log lines for a background thread; drops and counts lines while the queue is full.

    Events are queued without a ``LogRecord``, whose creation costs several times as much as the
    line.

    Args:
        descriptor: File descriptor that lines are written to.
        level: Minimum level.
        line_format: ``text`` or ``json``.
        box: Name of this box in JSON lines.
        lines_max: Capacity of the queue, in lines.
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

    of_events: ClassVar[BatchHandler | None] = None
    """The handler that events go to directly, if any."""

    def add_event(self, component: str, kind: str, fields: Mapping[str, Any]) -> None:
        """Queue the line of an event, as for a record of level ``INFO``."""
        if self.level > logbook.INFO:
            return
        if not self._is_json:
            record = logbook.LogRecord(component, logbook.INFO, kind, kwargs=dict(fields))
            record.heavy_init()
            self.emit(record)
            return
        if len(self._lines) >= self._lines_max:
            self._dropped += 1
            return
        line = {
            "time": datetime.now(UTC).replace(tzinfo=None).isoformat(),
            "level": _INFO_NAME,
            "box": self._box,
            "part": component,
            "event" if fields else "message": kind,
            **_json_fields(fields),
        }
        self._lines.append(msgspec.json.encode(line).decode())

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one line."""
        if len(self._lines) >= self._lines_max:
            self._dropped += 1
            return
        self._lines.append(self._format_json(record) if self._is_json else _format_text(record))

    def close(self) -> None:
        """Write the queued lines; give up when the timeout expires."""
        if BatchHandler.of_events is self:
            BatchHandler.of_events = None
        self._is_closed.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _write_batches(self) -> None:
        while not self._is_closed.wait(_WRITE_INTERVAL_S):
            self._write()
        self._write()

    def _write(self) -> None:
        # Other threads append lines concurrently, so the deque can't be copied and cleared.
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
            # The reader has closed its end; a failed log write must not stop the box.
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
        fields.update(_json_fields(kwargs))
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        return msgspec.json.encode(fields).decode()

    def _dropped_line(self, dropped: int) -> str:
        if not self._is_json:
            return f"logs: {dropped} lines were dropped."
        fields = {"box": self._box, "part": "logs", "event": "logs.dropped", "lines": dropped}
        return msgspec.json.encode(fields).decode()


def _json_fields(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Return *fields* with other values than scalars as text."""
    return {
        str(key): value if isinstance(value, _JSON_SCALARS) else str(value)
        for key, value in fields.items()
    }


def _format_text(record: logbook.LogRecord) -> str:
    """Return *record* as text: a line of time, level, component, message, fields; a traceback."""
    fields = "".join(f" {key}={value}" for key, value in (record.kwargs or {}).items())
    moment = f"{record.time:%Y-%m-%dT%H:%M:%S.%f}"
    exception = f"\n{record.formatted_exception}" if record.formatted_exception else ""
    return f"{moment} {record.level_name} {record.channel}: {record.message}{fields}{exception}"


def start_logging(settings: LogSettings, box: str = "") -> logbook.Handler:
    """Install a handler for the log lines of all components and libraries, and return it.

    Args:
        settings: Minimum level, format, and the file if not standard output.
        box: Name of this box in JSON lines.
    """
    level = logbook.lookup_level(settings.level)
    descriptor = sys.stdout.fileno()
    if settings.file:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(Path(settings.file), flags, 0o644)
    handler = BatchHandler(descriptor, level, settings.format, box)
    handler.push_application()
    BatchHandler.of_events = handler
    # Without a handler, the logging module writes records of libraries to the standard error
    # stream, which blocks the event loop while the reader does not drain its pipe.
    logging.basicConfig(handlers=[RedirectLoggingHandler()])
    # The writer is a daemon thread: without this, the lines queued last would be lost.
    atexit.register(handler.close)
    return handler
