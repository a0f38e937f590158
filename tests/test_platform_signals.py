# SPDX-License-Identifier: MIT
"""Signals received while a platform program starts."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from platform_system import PlatformSystem, play

_START_TIMEOUT_S = 20.0
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def _read_signal_mask(pid: int, field: str) -> int:
    """Return a signal mask of a process from ``/proc``."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (mask,) = (line.split()[1] for line in lines if line.startswith(field))
    return int(mask, 16)


class TestReloadWhileStarting:
    """SIGHUP before the program has installed its handler."""

    @pytest.mark.parametrize("name", ["e0", "c0"])
    def test_it_goes_on(self, tmp_path: Path, name: str) -> None:
        """An early SIGHUP does not end the process, and a later one reloads the settings."""

        async def scenario(system: PlatformSystem) -> None:
            await system.kill(name)
            await system.start(name)
            process = system.processes[name]
            deadline_s = time.monotonic() + _START_TIMEOUT_S
            while not _read_signal_mask(process.pid, "SigIgn:") & _SIGHUP_BIT:
                assert not _read_signal_mask(process.pid, "SigCgt:") & _SIGHUP_BIT, (
                    "the handler came first"
                )
                assert time.monotonic() < deadline_s
                await asyncio.sleep(0.001)
            while not await system.is_up(name):
                assert time.monotonic() < deadline_s
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.005)
            assert process.returncode is None
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            assert system.events(name, "settings.reloaded")

        play(scenario, tmp_path)
