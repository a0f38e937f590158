# SPDX-License-Identifier: MIT
"""Simulates the suspension of a box: its process stops and its monotonic clock excludes that time.

The process is stopped with SIGSTOP. A preloaded library subtracts the total suspended time from
every monotonic clock reading; it subtracts less than the real stop, so the clock never steps back.
``CLOCK_BOOTTIME`` continues unless the test stops it too, as for a paused virtual machine; the wall
clock always continues.
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
    """Return the compiled library, shared by all test processes."""
    source = _SOURCE.read_bytes()
    name = f"foldloom-suspended-clock-{os.getuid()}-{hashlib.sha256(source).hexdigest()[:16]}.so"
    library = Path(tempfile.gettempdir()) / name
    if not library.exists():
        new_library = library.with_suffix(f".{os.getpid()}")
        command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(new_library)]
        subprocess.run([*command, str(_SOURCE), "-ldl"], check=True, timeout=60)
        # Atomic rename: another test process may load the library at any time.
        new_library.rename(library)
    return library


class SuspendableClock:
    """The monotonic clock of one box's program.

    Args:
        path: File that holds the total suspended time in ns.
        boot_clock_stops: Whether ``CLOCK_BOOTTIME`` stops too.
    """

    def __init__(self, path: Path, boot_clock_stops: bool = False) -> None:
        self._path = path
        self._boot_clock_stops = boot_clock_stops
        self._suspended_ns = 0
        self._stopped_ns = 0
        self._write()

    @property
    def variables(self) -> Mapping[str, str]:
        """Environment variables for starting the program."""
        variables = {"LD_PRELOAD": str(_library()), "FOLDLOOM_SUSPENDED": str(self._path)}
        return variables | ({"FOLDLOOM_BOOT_CLOCK_STOPS": "1"} if self._boot_clock_stops else {})

    def suspend(self, pid: int) -> None:
        """Stop the process; return once all its threads have stopped."""
        os.kill(pid, signal.SIGSTOP)
        deadline_s = time.monotonic() + _STOP_TIMEOUT_S
        while not _is_stopped(pid):
            assert time.monotonic() < deadline_s, f"process {pid} did not stop after SIGSTOP"
            time.sleep(_CHECK_INTERVAL_S)
        self._stopped_ns = time.monotonic_ns()

    def resume(self, pid: int) -> float:
        """Continue the process; return the length of the suspension in seconds."""
        suspended_ns = time.monotonic_ns() - self._stopped_ns
        self._suspended_ns += suspended_ns
        self._write()
        os.kill(pid, signal.SIGCONT)
        return suspended_ns / _NS_PER_S

    def _write(self) -> None:
        # In place and in one write: the program has the file mapped.
        with self._path.open("r+b" if self._path.exists() else "wb") as file:
            file.write(_INT64.pack(self._suspended_ns))


def _is_stopped(pid: int) -> bool:
    """Return whether every thread of the process is stopped or dead."""
    states = []
    for status in Path(f"/proc/{pid}/task").glob("*/stat"):
        # The state follows the parenthesized name, which may contain any character.
        states.append(status.read_text().rpartition(")")[2].split()[0])
    return bool(states) and set(states) <= {"T", "t", "Z", "X"}
