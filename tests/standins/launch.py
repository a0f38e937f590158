# SPDX-License-Identifier: MIT
"""Start a program on a machine whose time of day steps and whose disk stalls.

``launch.py FOLDER PROGRAM``: the time of day is off by the seconds in ``FOLDER/clock``, and a sync
takes as long as ``FOLDER/stall`` exists. The program's code is the same; so are its log lines'
times, by which the lines of all machines are put in order.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from pathlib import Path

CLOCK, STALL = "clock", "stall"
# Seconds between two looks at whether the disk still stalls.
_CHECK_INTERVAL_S = 0.005
_NS_PER_S = 10**9

_time, _time_ns, _fsync = time.time, time.time_ns, os.fsync


class _Box:
    """The clock and the disk as the files in *folder* say."""

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
            # It has not stepped yet.
            return 0.0


def main() -> None:
    """Run the program named on the command line as if it had been started itself."""
    folder, program = sys.argv[1:]
    machine = _Box(Path(folder))
    # Before the program is imported: its code may bind these as defaults.
    time.time, time.time_ns, os.fsync = machine.time, machine.time_ns, machine.fsync
    sys.argv = [program]
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
