# SPDX-License-Identifier: MIT
"""Signals received while a platform program starts, stops, or misses its settings file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from platform_system import PlatformSystem, play
from programs import settings_mtime_ns, watch_seeds

_START_TIMEOUT_S = 20.0
# The interval at which the programs check their settings file, plus slack.
_RELOAD_S = 1.5
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def _read_signal_mask(pid: int, field: str) -> int:
    """Return a signal mask of a process from ``/proc``."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (mask,) = (line.split()[1] for line in lines if line.startswith(field))
    return int(mask, 16)


async def _until_reloaded(system: PlatformSystem, name: str, times: int) -> None:
    async def is_reloaded() -> bool:
        return len(system.events(name, "settings.reloaded")) == times

    await system.until(is_reloaded, f"{name} has reloaded its settings {times} times")


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


class TestReloadWhileStopping:
    """SIGHUP until the process is gone."""

    @pytest.mark.parametrize("name", ["e0", "c0"])
    def test_it_exits_by_itself(self, tmp_path: Path, name: str) -> None:
        """The exit code is that of a planned stop."""

        async def scenario(system: PlatformSystem) -> None:
            process = system.processes[name]
            exited = asyncio.create_task(process.wait())
            process.send_signal(signal.SIGTERM)
            while not exited.done():
                # Not Process.send_signal, which reaps a process that has exited.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGHUP)
                await asyncio.sleep(0.005)
            assert await exited == 0

        play(scenario, tmp_path)


class TestActionOfHangup:
    """What SIGHUP does in a program from the start of its watch to the end of its event loop."""

    def test_it_never_ends_the_process(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a SIGHUP that arrives while the action changes and ends the process."""
        settings = tmp_path / "settings.toml"
        settings.write_text("")
        monkeypatch.setenv("FOLDLOOM_SETTINGS", str(settings))
        actions: list[object] = []
        set_action = signal.signal

        def record(number: int, action: Any) -> Any:
            if number == signal.SIGHUP:
                actions.append(action)
            return set_action(number, action)

        monkeypatch.setattr(signal, "signal", record)

        async def watch_briefly() -> None:
            watcher = asyncio.create_task(watch_seeds(lambda seeds: None, settings_mtime_ns()))
            await asyncio.sleep(0.01)
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)

        before = signal.getsignal(signal.SIGHUP)
        try:
            asyncio.run(watch_briefly())
            assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        finally:
            set_action(signal.SIGHUP, before)
        assert actions
        assert signal.SIG_DFL not in actions


class TestMissingSettingsFile:
    """A settings file that is missing for a while, as when it is not replaced atomically."""

    @pytest.mark.parametrize("name", ["e0", "c0"])
    def test_it_is_reloaded(self, tmp_path: Path, name: str) -> None:
        """The program follows the file once it is there again."""

        async def scenario(system: PlatformSystem) -> None:
            path = tmp_path / f"{name}.toml"
            settings = path.read_text()
            path.unlink()
            await asyncio.sleep(_RELOAD_S)
            path.write_text(settings)
            await _until_reloaded(system, name, 1)
            system.processes[name].send_signal(signal.SIGHUP)
            await _until_reloaded(system, name, 2)

        play(scenario, tmp_path)
