# SPDX-License-Identifier: MIT
"""Runs a program with a stepped wall clock and a stalling disk.

``launch.py FOLDER PROGRAM``: the wall clock is offset by the seconds in ``FOLDER/clock``, and
``os.fsync`` blocks while ``FOLDER/stall`` exists. Log timestamps are not affected, so that the logs
of all boxes can be merged by time.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from pathlib import Path

CLOCK, STALL = "clock", "stall"
# Interval at which a blocked fsync checks for the end of the stall.
_CHECK_INTERVAL_S = 0.005
_NS_PER_S = 10**9

_time, _time_ns, _fsync = time.time, time.time_ns, os.fsync


class _Box:
    """The clock and the disk as controlled by the files in *folder*."""

    def __init__(self, folder: Path) -> None:
        self._clock = folder / CLOCK
        self._stall = folder / STALL

    def time(self) -> float:
        return _time() + self._offset_s()

    def time_ns(self) -> int:
        return _time_ns() + int(self._offset_s() * _NS_PER_S)

    def fsync(self, descriptor: int) -> None:
        while self._stall.exists():
            time.sleep(_CHECK_INTERVAL_S)
        _fsync(descriptor)

    def _offset_s(self) -> float:
        try:
            return float(self._clock.read_text())
        except FileNotFoundError:
            # The clock has not stepped yet.
            return 0.0


def main() -> None:
    """Run the program given on the command line as ``__main__``."""
    folder, program = sys.argv[1:]
    box = _Box(Path(folder))
    # Before the program's imports, which may bind these functions.
    time.time, time.time_ns, os.fsync = box.time, box.time_ns, box.fsync
    sys.argv = [program]
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
