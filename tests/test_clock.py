# SPDX-License-Identifier: MIT
"""Monotonic clocks of a process whose box is suspended."""

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


def _read_clocks(program: subprocess.Popen[str]) -> tuple[float, float]:
    """Return both clocks of the program: suspended time included, then excluded."""
    assert program.stdin is not None
    assert program.stdout is not None
    program.stdin.write("\n")
    program.stdin.flush()
    boot_ms, running_ms = program.stdout.readline().split()
    return float(boot_ms), float(running_ms)


class TestSuspension:
    """Guards against a clock that misses suspended time, which would keep leases too long."""

    def test_suspended_time_is_included(self, tmp_path: Path) -> None:
        """``monotonic_ms`` includes suspended time; ``running_ms`` does not."""
        clock = SuspendableClock(tmp_path / "suspended")
        with subprocess.Popen(
            [sys.executable, "-c", _PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, **clock.variables},
        ) as program:
            began_s = time.monotonic()
            before = _read_clocks(program)
            clock.suspend(program.pid)
            time.sleep(_SUSPENDED_S)
            suspended_ms = clock.resume(program.pid) * 1_000
            after = _read_clocks(program)
            passed_ms = (time.monotonic() - began_s) * 1_000
            program.kill()
        assert suspended_ms <= after[0] - before[0] <= passed_ms
        assert 0.0 < after[1] - before[1] <= passed_ms - suspended_ms
