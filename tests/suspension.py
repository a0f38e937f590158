# SPDX-License-Identifier: MIT
"""Processes that are suspended as by their machine: their steady clock leaves that time out.

A process is stopped by a signal, and while it is, a preloaded library is told for how long; the
library takes that from every steady clock that the process reads. It never steps back: less is
taken than the process has stood still for. ``CLOCK_BOOTTIME`` goes on, unless the test wants it to
stop too, as that of a guest that its host has paused; the time of day always goes on.
"""

from __future__ import annotations

import functools
import hashlib
import os
import signal
import struct
import subprocess
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path

_SOURCE = Path(__file__).resolve().parent / "standins" / "suspended_clock.c"
_INT64 = struct.Struct("=q")
_NS_PER_S = 10**9
_STOP_TIMEOUT_S = 5.0
_CHECK_INTERVAL_S = 0.002


@functools.cache
def _library() -> Path:
    """Return the compiled library, which all test processes share."""
    text = _SOURCE.read_bytes()
    name = f"foldloom-suspended-clock-{os.getuid()}-{hashlib.sha256(text).hexdigest()[:16]}.so"
    library = Path(tempfile.gettempdir()) / name
    if not library.exists():
        fresh = library.with_suffix(f".{os.getpid()}")
        command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(fresh)]
        subprocess.run([*command, str(_SOURCE), "-ldl"], check=True, timeout=60)
        # By renaming: another test process may load it at any moment.
        fresh.rename(library)
    return library


class SuspendableClock:
    """The steady clock of one machine's program.

    Args:
        path: The file that holds for how long the program was suspended in all.
        boot_clock_stops: Whether the clock of time since boot stops too.
    """

    def __init__(self, path: Path, boot_clock_stops: bool = False) -> None:
        self._path = path
        self._boot_clock_stops = boot_clock_stops
        self._suspended_ns = 0
        self._stopped_ns = 0
        self._write()

    @property
    def variables(self) -> Mapping[str, str]:
        """The environment variables with which the program must be started."""
        variables = {"LD_PRELOAD": str(_library()), "FOLDLOOM_SUSPENDED": str(self._path)}
        return variables | ({"FOLDLOOM_BOOT_CLOCK_STOPS": "1"} if self._boot_clock_stops else {})

    def suspend(self, pid: int) -> None:
        """Suspend the program's process; return once it stands still."""
        os.kill(pid, signal.SIGSTOP)
        deadline_s = time.monotonic() + _STOP_TIMEOUT_S
        while not _is_stopped(pid):
            assert time.monotonic() < deadline_s, f"{pid} does not stop"
            time.sleep(_CHECK_INTERVAL_S)
        self._stopped_ns = time.monotonic_ns()

    def resume(self, pid: int) -> float:
        """Let the process go on; return for how many seconds its clock stood still."""
        suspended_ns = time.monotonic_ns() - self._stopped_ns
        self._suspended_ns += suspended_ns
        self._write()
        os.kill(pid, signal.SIGCONT)
        return suspended_ns / _NS_PER_S

    def _write(self) -> None:
        # Into the file that the program has mapped, in one piece.
        with self._path.open("r+b" if self._path.exists() else "wb") as file:
            file.write(_INT64.pack(self._suspended_ns))


def _is_stopped(pid: int) -> bool:
    """Return whether every thread of a process has stopped."""
    states = []
    for status in Path(f"/proc/{pid}/task").glob("*/stat"):
        # The name in parentheses may hold anything; the state is the first field behind it.
        states.append(status.read_text().rpartition(")")[2].split()[0])
    return bool(states) and set(states) <= {"T", "t", "Z", "X"}
