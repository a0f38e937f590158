# SPDX-License-Identifier: MIT
"""Controllers that find each other through seeds: founding, losses, replacements."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from cluster import free_port
from foldloom.controllers.storage import LogStorage
from foldloom.seed_discovery.controller_box import ControllerHost
from foldloom.settings import Settings
from foldloom.settings_file import settings_from

_WAIT_S = 15.0
_TIMEOUT_MS = 1_000.0
_SLOW_SYNC_S = 0.04


def box_settings(port: int, seeds: list[str], role: str, folder: Path | str = "") -> Settings:
    """Return the settings of a box on loopback."""
    address = f"127.0.0.1:{port}"
    return settings_from(
        {
            "box": address,
            "zone": "a",
            "roles": [role],
            "listen": address,
            "seeds": seeds,
            "data_folder": str(folder),
            "http": {"host": "127.0.0.1", "port": free_port()},
        }
    )


class Core:
    """Controllers in one event loop, each with its own sockets and data folder."""

    def __init__(self, folder: Path, founders: int = 3) -> None:
        self._folder = folder
        self.ports = [free_port() for _ in range(founders)]
        self._seeds = [f"127.0.0.1:{port}" for port in self.ports]
        self.hosts: dict[int, ControllerHost] = {}

    async def start(self, port: int, is_first_start: bool = False) -> None:
        """Start the controller at *port*."""
        settings = box_settings(port, self._seeds, "controller", self._folder / str(port))
        self.hosts[port] = ControllerHost(settings, is_first_start, str(port))
        await self.hosts[port].start()

    async def start_all(self, is_first_start: bool = False) -> None:
        """Start every founder."""
        for port in self.ports:
            await self.start(port, is_first_start)

    async def kill(self, port: int) -> None:
        """End a controller without a word to the others."""
        await self.hosts.pop(port).kill()

    def wipe(self, port: int) -> None:
        """Lose the disk of a controller that does not run."""
        shutil.rmtree(self._folder / str(port))

    def folder_of(self, port: int) -> Path:
        """Return the data folder of the controller at *port*."""
        return self._folder / str(port)

    async def publish(self, version: int) -> None:
        """Publish through any controller until one acknowledges."""

        async def publish_once() -> bool:
            for host in list(self.hosts.values()):
                answer = await host.publish(version, b"%d" % version, _TIMEOUT_MS)
                if answer.is_ok():
                    return True
            return False

        await until(publish_once, f"version {version} is acknowledged")

    async def read(self) -> bytes:
        """Read the newest through any controller."""
        found: list[bytes] = []

        async def read_once() -> bool:
            for host in list(self.hosts.values()):
                answer = await host.newest(_TIMEOUT_MS)
                if answer.is_ok():
                    found.append(answer.ok.document)
                    return True
            return False

        await until(read_once, "the newest is read")
        return found[0]

    def leader(self) -> int:
        """Return the port of the leader, or 0."""
        leading = [port for port, host in self.hosts.items() if host.is_leading]
        return leading[0] if leading else 0

    def members(self) -> set[int]:
        """Return the ports of the controllers that count, as the leader knows."""
        host = self.hosts.get(self.leader())
        return set() if host is None else {int(one.rpartition(":")[2]) for one in host.members}

    async def stop(self) -> None:
        """End all."""
        for port in list(self.hosts):
            await self.kill(port)


async def until(condition: Callable[[], Awaitable[Any]], what: str) -> None:
    """Wait for *condition*; fail when it does not come true in time."""
    deadline = asyncio.get_running_loop().time() + _WAIT_S
    while asyncio.get_running_loop().time() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not within {_WAIT_S} s: {what}")


def play(folder: Path, scenario: Callable[[Core], Awaitable[None]]) -> None:
    """Found a core of three and play *scenario* on it."""

    async def run() -> None:
        core = Core(folder)
        try:
            await core.start_all(is_first_start=True)
            await core.publish(1)
            await scenario(core)
        finally:
            await core.stop()

    asyncio.run(run())


async def members_are(core: Core, ports: set[int]) -> None:
    """Wait until just *ports* count."""

    async def are() -> bool:
        return core.members() == ports

    await until(are, f"members {ports}, now {core.members()}")


class TestPublishing:
    """What is acknowledged holds."""

    def test_highest_version_holds(self, tmp_path: Path) -> None:
        """A version that is not above the one held is acknowledged and changes nothing."""

        async def scenario(core: Core) -> None:
            await core.publish(7)
            await core.publish(3)
            assert await core.read() == b"7"

        play(tmp_path, scenario)

    def test_all_killed(self, tmp_path: Path) -> None:
        """All are killed right after an acknowledgement and come back with what it said."""

        async def scenario(core: Core) -> None:
            await core.publish(5)
            for port in core.ports:
                await core.kill(port)
            await core.start_all()
            assert await core.read() == b"5"

        play(tmp_path, scenario)

    def test_wiped_then_another_lost(self, tmp_path: Path) -> None:
        """A wiped disk does not vote; what was acknowledged is read once both others are back."""

        async def scenario(core: Core) -> None:
            wiped, behind = core.leader(), next(p for p in core.ports if p != core.leader())
            await core.kill(behind)
            await core.publish(9)
            await core.kill(wiped)
            core.wipe(wiped)
            kept = next(port for port in core.ports if port not in (wiped, behind))
            await core.kill(kept)
            await core.start(wiped)
            await core.start(behind)
            await asyncio.sleep(2.5)
            assert core.leader() == 0
            await core.start(kept)
            assert await core.read() == b"9"
            await members_are(core, set(core.ports))

        play(tmp_path, scenario)


class TestReplacing:
    """Controllers that are gone for good."""

    @pytest.mark.parametrize("is_leader", [True, False])
    def test_another_address(self, tmp_path: Path, is_leader: bool) -> None:
        """An empty one at another address takes the place of one that is gone."""

        async def scenario(core: Core) -> None:
            leader = core.leader()
            gone = leader if is_leader else next(p for p in core.ports if p != leader)
            fresh = free_port()
            await core.kill(gone)
            await core.start(fresh)
            expected = {*core.ports, fresh} - {gone}
            await members_are(core, expected)
            await core.publish(4)
            # The newcomer counts: another one may be lost now.
            await core.kill(next(port for port in core.ports if port != gone))
            await core.publish(6)
            assert await core.read() == b"6"

        play(tmp_path, scenario)

    def test_replaced_one_comes_back(self, tmp_path: Path) -> None:
        """One that was replaced while it was away stands by and does no harm."""

        async def scenario(core: Core) -> None:
            away = next(port for port in core.ports if port != core.leader())
            fresh = free_port()
            await core.kill(away)
            await core.start(fresh)
            expected = {*core.ports, fresh} - {away}
            await members_are(core, expected)
            await core.start(away)
            await core.publish(8)
            await asyncio.sleep(1.5)
            assert core.members() == expected
            assert await core.read() == b"8"
            # It follows as a standby, so it can come in again.
            await core.kill(fresh)
            await members_are(core, set(core.ports))

        play(tmp_path, scenario)

    def test_spare_stands_by(self, tmp_path: Path) -> None:
        """One that is added while all are there gets no vote."""

        async def scenario(core: Core) -> None:
            await core.start(free_port())
            await asyncio.sleep(1.5)
            assert core.members() == set(core.ports)

        play(tmp_path, scenario)


class FullDisks:
    """Data folders whose writes are refused for want of space.

    Args:
        monkeypatch: Puts the refusal in.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folders: set[Path] = set()
        self.refused = 0
        write = LogStorage._write

        def write_or_refuse(storage: LogStorage, data: bytes) -> None:
            if storage._folder in self.folders:
                self.refused += 1
                # What a full disk leaves: the first part of a record.
                write(storage, data[: len(data) // 2])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            write(storage, data)

        monkeypatch.setattr(LogStorage, "_write", write_or_refuse)

    async def fill(self, core: Core, port: int) -> None:
        """Let the disk of the controller at *port* be full until a write was refused."""
        folder = core.folder_of(port)
        self.folders.add(folder)
        version = 20
        async with asyncio.timeout(_WAIT_S):
            while not self.refused:
                version += 1
                await core.publish(version)
        await asyncio.sleep(0.5)
        self.folders.discard(folder)


class TestFullDisk:
    """A disk that takes no writes for a while."""

    @pytest.mark.parametrize("is_leader", [True, False])
    def test_takes_part_again(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_leader: bool
    ) -> None:
        """Once its disk takes writes again, the controller counts: another one may be lost."""
        disks = FullDisks(monkeypatch)

        async def scenario(core: Core) -> None:
            leader = core.leader()
            full = leader if is_leader else next(p for p in core.ports if p != leader)
            await disks.fill(core, full)
            await core.kill(next(port for port in core.ports if port != full))
            await core.publish(90)
            assert await core.read() == b"90"

        play(tmp_path, scenario)

    def test_another_replaced_afterwards(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A second controller is replaced by an empty one; changes are acknowledged still."""
        disks = FullDisks(monkeypatch)

        async def scenario(core: Core) -> None:
            full, gone = [port for port in core.ports if port != core.leader()]
            await disks.fill(core, full)
            await core.kill(gone)
            fresh = free_port()
            await core.start(fresh)
            await core.publish(90)
            await members_are(core, {*core.ports, fresh} - {gone})
            assert await core.read() == b"90"

        play(tmp_path, scenario)


async def seconds_until_led(core: Core) -> float:
    """Wait until a controller leads; return how long that took."""
    began = asyncio.get_running_loop().time()

    async def is_led() -> bool:
        return core.leader() != 0

    await until(is_led, "another leads")
    return asyncio.get_running_loop().time() - began


class TestHandover:
    """A planned stop of the leader."""

    def test_another_leads_at_once(self, tmp_path: Path) -> None:
        """Another controller leads before an election time-out has passed."""

        async def scenario(core: Core) -> None:
            leader = core.leader()
            host = core.hosts.pop(leader)
            stopping = asyncio.create_task(host.stop())
            assert await seconds_until_led(core) < 0.5
            await stopping
            await core.publish(2)

        play(tmp_path, scenario)

    def test_another_leads_at_once_though_an_entry_is_on_its_way(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The leader has its newest entry acknowledged by another before it stops."""
        sync = LogStorage.sync

        def sync_slowly(storage: LogStorage) -> None:
            time.sleep(_SLOW_SYNC_S)
            sync(storage)

        async def scenario(core: Core) -> None:
            leader = core.leader()
            host = core.hosts.pop(leader)
            monkeypatch.setattr(LogStorage, "sync", sync_slowly)
            publishing = asyncio.create_task(host.publish(2, b"2", _TIMEOUT_MS))
            await asyncio.sleep(_SLOW_SYNC_S / 2)
            stopping = asyncio.create_task(host.stop())
            assert await seconds_until_led(core) < 0.5
            await asyncio.gather(publishing, stopping)
            assert await core.read() == b"2"

        play(tmp_path, scenario)
