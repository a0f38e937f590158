# SPDX-License-Identifier: MIT
"""Log lines by logbook: short sentences, a fixed prefix a part, text or JSON."""

from __future__ import annotations

import sys

import logbook
import msgspec

from foldloom.settings import LogSettings

ENTRY_LOG = logbook.Logger("entry")
CLAIM_LOG = logbook.Logger("claim")
PLACE_LOG = logbook.Logger("place")
CONTROLLER_LOG = logbook.Logger("controller")
CONFIG_LOG = logbook.Logger("config")
WORKER_LOG = logbook.Logger("worker")
PEER_LOG = logbook.Logger("peer")

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel}: {record.message}"
)


def _json_line(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Return *record* as one JSON object on one line."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
        **{str(key): str(value) for key, value in (record.kwargs or {}).items()},
    }
    return msgspec.json.encode(fields).decode()


def start_logging(settings: LogSettings) -> logbook.Handler:
    """Send every part's log lines where *settings* says; return the handler."""
    level = logbook.lookup_level(settings.level)
    handler: logbook.StreamHandler
    if settings.file:
        handler = logbook.FileHandler(settings.file, level=level, bubble=False)
    else:
        handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)
    if settings.format == "json":
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
