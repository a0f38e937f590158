# SPDX-License-Identifier: MIT
"""Log lines: formats, rate limits, and a reader that does not drain its pipe."""

from __future__ import annotations

import contextlib
import os
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import logbook
import msgspec
import pytest

from foldloom.logs import PLACE_LOG, BatchHandler, EventRateLimits, start_logging
from foldloom.settings import LogSettings

_PROGRAM_TIMEOUT_S = 10.0


def _read_records(path: Path) -> list[dict[str, Any]]:
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]


class TestEventLines:
    """Events, which are queued without a log record."""

    @pytest.mark.parametrize("line_format", ["json", "text"])
    @pytest.mark.parametrize("fields", [{}, {"job": "a1", "boxes": ("e1", "e2"), "is_late": True}])
    def test_same_as_a_record(
        self, tmp_path: Path, line_format: str, fields: dict[str, Any]
    ) -> None:
        """The line is that of a log record, apart from its time."""
        path = tmp_path / "log"
        handler = start_logging(LogSettings(format=line_format, file=str(path)), "b1")
        try:
            PLACE_LOG.event("run.placed", **fields)
            PLACE_LOG.info("run.placed", **fields)
        finally:
            handler.pop_application()
            handler.close()
        lines = path.read_text().splitlines()
        without_time = [re.sub(r"\d{4}-\d\d-\d\dT[\d:.]+", "", line) for line in lines]
        assert len(lines) == 2
        assert without_time[0] == without_time[1]


class TestEvents:
    """Guards the formats of log lines."""

    def test_json_fields_keep_their_types(self, tmp_path: Path) -> None:
        """Strings, numbers and booleans keep their types in JSON lines."""
        path = tmp_path / "log"
        handler = start_logging(LogSettings(format="json", file=str(path)), "b1")
        PLACE_LOG.event("run.placed.test", job="ab", age_ms=3, is_moved=False)
        handler.pop_application()
        handler.close()
        line = _read_records(path)[0]
        assert (line["box"], line["part"], line["event"]) == ("b1", "place", "run.placed.test")
        assert (line["job"], line["age_ms"], line["is_moved"]) == ("ab", 3, False)

    def test_text_form(self, tmp_path: Path) -> None:
        """A text line holds the event, followed by its fields."""
        path = tmp_path / "log"
        handler = start_logging(LogSettings(file=str(path)), "b1")
        PLACE_LOG.event("run.text.test", job="ab", age_ms=3)
        handler.pop_application()
        handler.close()
        assert path.read_text().endswith("place: run.text.test job=ab age_ms=3\n")


class TestLimits:
    """Guards against log floods and slow readers that block the caller."""

    def test_suppressed_events_are_counted(self) -> None:
        """The next admitted event carries the count of suppressed events of its kind only."""
        limits = EventRateLimits(per_s=1.0)
        assert [limits.try_acquire("a", 0.0) for _ in range(4)] == [0, 0, None, None]
        assert limits.try_acquire("b", 0.0) == 0
        assert limits.try_acquire("a", 1.5) == 2
        assert limits.try_acquire("a", 3.0) == 0

    def test_slow_reader(self) -> None:
        """Logging does not block while the pipe is full; dropped lines are counted."""
        reading, writing = os.pipe()
        os.set_blocking(reading, False)
        handler = BatchHandler(writing, logbook.INFO, "json", "b1", lines_max=100)
        began = time.monotonic()
        with handler.applicationbound():
            for number in range(5_000):
                PLACE_LOG.info("x" * 500, number=number)
                if number == 1_000:
                    time.sleep(0.15)
        assert time.monotonic() - began < 5.0
        data = b""
        deadline = time.monotonic() + 5.0
        while b"logs.dropped" not in data and time.monotonic() < deadline:
            try:
                data += os.read(reading, 1_000_000)
            except BlockingIOError:
                time.sleep(0.02)
        assert b"logs.dropped" in data
        handler.close()
        os.close(reading)
        os.close(writing)


class TestLibraries:
    """Records that libraries log through the standard library, such as aiohttp's errors."""

    def test_they_are_log_lines(self, tmp_path: Path) -> None:
        """The record is a line of the box's log, with its traceback."""
        done = _run_program("json", str(tmp_path / "log"), subprocess.DEVNULL)
        assert done.returncode == 0
        (line,) = _read_records(tmp_path / "log")
        assert (line["box"], line["part"], line["message"]) == ("b1", "library", "failed")
        assert line["exception"].endswith("ValueError: the cause")

    def test_slow_reader(self) -> None:
        """Logging does not block while nobody reads the output."""
        reading, writing = os.pipe()
        os.set_blocking(writing, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writing, b"x")
        os.set_blocking(writing, True)
        done = _run_program("json", "", writing)
        assert done.returncode == 0
        os.close(reading)
        os.close(writing)


def _run_program(line_format: str, file: str, output: int) -> subprocess.CompletedProcess[bytes]:
    """Run a program that logs an exception through the standard library."""
    program = (
        "import logging\n"
        "from foldloom.logs import start_logging\n"
        "from foldloom.settings import LogSettings\n"
        f"start_logging(LogSettings(format={line_format!r}, file={file!r}), 'b1')\n"
        "try:\n"
        "    raise ValueError('the cause')\n"
        "except ValueError:\n"
        "    logging.getLogger('library').exception('failed')\n"
    )
    return subprocess.run(
        [sys.executable, "-c", program],
        stdout=output,
        stderr=output,
        timeout=_PROGRAM_TIMEOUT_S,
        check=False,
    )
