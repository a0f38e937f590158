# SPDX-License-Identifier: MIT
"""A program that did not exit within the grace period, because a request never arrived whole."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from platform_system import PlatformSystem, play, steps

# As in the programs' settings: the platform kills a process that is still there after it.
_GRACE_S = 6.0
_PLATFORM = Path(__file__).parent.parent / "platform"
_JOB_PATH = "/jobs/00000000000000ab"
# From the start of the stop: signals that are sent again.
_SIGNAL_GAPS_S = (0.0, 0.05, 0.5, 1.0)


async def _send_part(
    system: PlatformSystem, name: str, listener: str, path: str
) -> asyncio.StreamWriter:
    """Send a request whose body ends early; return the open connection."""
    host, _, port = system.address(name, listener).rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    lines = [f"PUT {path} HTTP/1.1", "Host: desk.example", "Content-Length: 1000", "", '{"spec"']
    if listener == "front":
        lines[0] = f"POST {path} HTTP/1.1"
    writer.write("\r\n".join(lines).encode())
    await writer.drain()
    return writer


async def _exit_code(system: PlatformSystem, name: str) -> int:
    """Send SIGTERM several times; return the exit code."""
    process = system.processes[name]
    async with asyncio.timeout(_GRACE_S):
        for gap_s in _SIGNAL_GAPS_S:
            await asyncio.sleep(gap_s)
            process.send_signal(signal.SIGTERM)
        return await process.wait()


class TestGracePeriod:
    """Connections stay open until the process is gone."""

    @pytest.mark.parametrize(
        ("name", "listener", "path"),
        [
            ("e1", "front", _JOB_PATH),
            ("e1", "front", "/unknown"),
            ("e1", "ready", "/foldloom/readyz"),
            ("c0", "control", "/foldloom/config"),
            ("c0", "control", "/unknown"),
        ],
    )
    def test_incomplete_request(self, tmp_path: Path, name: str, listener: str, path: str) -> None:
        """The process exits in time, after its own log line."""

        async def scenario(system: PlatformSystem) -> None:
            writer = await _send_part(system, name, listener, path)
            assert await _exit_code(system, name) == 0
            assert system.events(name, "process.stopped")
            writer.close()

        play(scenario, tmp_path)

    def test_incomplete_request_beside_a_job(self, tmp_path: Path) -> None:
        """A job in flight is answered; it needs most of the time that a stop may take."""

        async def scenario(system: PlatformSystem) -> None:
            writer = await _send_part(system, "e1", "front", _JOB_PATH)
            body = steps(1, ms=4_000, estimate_ms=4_000)
            job = asyncio.create_task(system.submit("e1", 1, body, 8_000))
            await asyncio.sleep(0.2)
            assert await _exit_code(system, "e1") == 0
            assert (await job).status == 200
            writer.close()

        play(scenario, tmp_path)


class TestStuckProcess:
    """A process that is still there after the timeout of its planned stop."""

    def test_stacks_are_written(self) -> None:
        """The standard error stream shows where it stands still."""
        program = (
            "import asyncio, os, signal, time\n"
            "from programs import wait_for_stop_signal\n"
            "async def run():\n"
            "    asyncio.get_running_loop().call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)\n"
            "    await wait_for_stop_signal(100.0)\n"
            "asyncio.run(run())\n"
            "time.sleep(2.0)\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONPATH": str(_PLATFORM)},
            capture_output=True,
            text=True,
            timeout=20.0,
            check=True,
        )
        assert 'File "<string>", line 7 in <module>' in done.stderr
