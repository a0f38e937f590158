# SPDX-License-Identifier: MIT
"""A program that did not exit within the grace period.

Requests never arrived whole, responses were not read, or storage blocked.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from aiohttp import ClientSession

from platform_system import PlatformSystem, play, steps

# As in the programs' settings: the platform kills a process that is still there after it.
_GRACE_S = 6.0
_PLATFORM = Path(__file__).parent.parent / "platform"
_JOB_PATH = "/jobs/00000000000000ab"
# From the start of the stop: signals that are sent again.
_SIGNAL_GAPS_S = (0.0, 0.05, 0.5, 1.0)

# The interval at which the programs check their settings file, plus slack.
_RELOAD_S = 1.5
# As in local_settings.py.
_METRICS_PORT = 9464
# Longer than a scrape takes.
_SCRAPE_S = 1.0
_RECEIVE_BUFFER_BYTES = 2_048


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


def _metrics_address(system: PlatformSystem, name: str) -> str:
    host, _, _ = system.address(name, "peer").rpartition(":")
    return f"{host}:{_METRICS_PORT}"


def _connect(address: str) -> socket.socket:
    """Return a connection to *address* with a small receive buffer."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    connection.connect((host, int(port)))
    connection.setblocking(False)
    return connection


async def _fill(scraper: socket.socket) -> None:
    """Send scrapes without reading a response, until the server has stopped reading them."""
    accepted_s = time.monotonic()
    while time.monotonic() - accepted_s < _SCRAPE_S:
        try:
            scraper.send(b"GET /metrics HTTP/1.1\r\nHost: box\r\n\r\n" * 50)
            accepted_s = time.monotonic()
        except BlockingIOError:
            await asyncio.sleep(0.01)


async def _exit_code(
    system: PlatformSystem, name: str, gaps_s: tuple[float, ...] = _SIGNAL_GAPS_S
) -> int:
    """Send SIGTERM after each gap; return the exit code."""
    process = system.processes[name]
    async with asyncio.timeout(_GRACE_S):
        for gap_s in gaps_s:
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


class TestMetricsPort:
    """Scrapes that are open when the box stops."""

    @pytest.mark.parametrize("name", ["e1", "c0"])
    def test_incomplete_request(self, tmp_path: Path, name: str) -> None:
        """The process exits in time; the rest of the request is not waited for."""

        async def scenario(system: PlatformSystem) -> None:
            host, _, port = _metrics_address(system, name).rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /metrics HTTP/1.1\r\nHost: box\r\nContent-Length: 1000\r\n\r\nab")
            await asyncio.sleep(_SCRAPE_S)
            assert await _exit_code(system, name, gaps_s=(0.0,)) == 0
            assert system.events(name, "process.stopped")
            writer.close()

        play(scenario, tmp_path)

    @pytest.mark.parametrize("name", ["e1", "c0"])
    def test_unread_responses(self, tmp_path: Path, name: str) -> None:
        """The process exits in time, although a scraper reads none of its responses."""

        async def scenario(system: PlatformSystem) -> None:
            address = _metrics_address(system, name)
            # The first scrape imports prometheus_client, during which no response is written.
            async with ClientSession() as session:
                await (await session.get(f"http://{address}/metrics")).read()
            with _connect(address) as scraper:
                await _fill(scraper)
                assert await _exit_code(system, name, gaps_s=(0.0,)) == 0
                assert system.events(name, "process.stopped")

        play(scenario, tmp_path)


class TestBlockedSettingsFile:
    """A reload whose storage blocks, here a FIFO that nobody writes to."""

    @pytest.mark.parametrize("name", ["e1", "c0"])
    def test_it_goes_on(self, tmp_path: Path, name: str) -> None:
        """The box answers meanwhile, and exits in time."""

        async def scenario(system: PlatformSystem) -> None:
            path = tmp_path / f"{name}.toml"
            path.unlink()
            os.mkfifo(path)
            await asyncio.sleep(_RELOAD_S)
            assert await system.is_up(name)
            assert (await system.submit("e1", 1, steps())).status == 200
            assert await _exit_code(system, name, gaps_s=(0.0,)) == 0
            assert system.events(name, "process.stopped")

        play(scenario, tmp_path)


class TestBlockedDisk:
    """A controller's write of its configuration cache blocks, here in opening a FIFO."""

    def test_it_exits(self, tmp_path: Path) -> None:
        """The process exits in time; the cache is best effort."""

        async def scenario(system: PlatformSystem) -> None:
            os.mkfifo(tmp_path / "c0" / "published.tmp")
            assert await system.configure(2)
            assert await _exit_code(system, "c0", gaps_s=(0.0,)) == 0

        play(scenario, tmp_path)

    def test_it_exits_during_a_snapshot(self, tmp_path: Path) -> None:
        """The process exits in time, although a write of its replicated log blocks."""

        async def scenario(system: PlatformSystem) -> None:
            os.mkfifo(tmp_path / "c0" / "snapshot.tmp")
            version = 2
            # Until a snapshot is due, whose write holds the log.
            while await system.configure(version):
                version += 1
            assert await _exit_code(system, "c0", gaps_s=(0.0,)) == 0
            assert system.events("c0", "process.stopped")

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
