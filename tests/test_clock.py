# SPDX-License-Identifier: MIT
"""The clock that decisions use, in a process whose machine is suspended."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

from suspension import SuspendableClock

_SUSPENDED_S = 1.0
_PROGRAM = """
from foldloom.clock import monotonic_ms, running_ms
while True:
    input()
    print(monotonic_ms(), running_ms(), flush=True)
"""


def _read(program: subprocess.Popen[str]) -> tuple[float, float]:
    """Return what both clocks of the program show."""
    assert program.stdin is not None
    assert program.stdout is not None
    program.stdin.write("\n")
    program.stdin.flush()
    steady_ms, running_ms = program.stdout.readline().split()
    return float(steady_ms), float(running_ms)


class TestSuspended:
    """A suspension of the machine, between two looks at the clocks."""

    def test_it_counts(self, tmp_path: Path) -> None:
        """The clock of decisions counts it, and the clock of timers does not."""
        clock = SuspendableClock(tmp_path / "suspended")
        with subprocess.Popen(
            [sys.executable, "-c", _PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, **clock.variables},
        ) as program:
            began_s = time.monotonic()
            before = _read(program)
            clock.suspend(program.pid)
            time.sleep(_SUSPENDED_S)
            suspended_ms = clock.resume(program.pid) * 1_000
            after = _read(program)
            passed_ms = (time.monotonic() - began_s) * 1_000
            program.kill()
        assert suspended_ms <= after[0] - before[0] <= passed_ms
        assert 0.0 < after[1] - before[1] <= passed_ms - suspended_ms
