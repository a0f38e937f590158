# SPDX-License-Identifier: MIT
"""Controllers that use seeds: founding, failures and replacement."""

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


class ControllerGroup:
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
        """Stop a controller without notifying the others."""
        await self.hosts.pop(port).kill()

    def wipe(self, port: int) -> None:
        """Delete the data folder of a stopped controller."""
        shutil.rmtree(self._folder / str(port))

    def folder_of(self, port: int) -> Path:
        """Return the data folder of the controller at *port*."""
        return self._folder / str(port)

    async def publish(self, version: int) -> None:
        """Publish through any controller until one acknowledges it."""

        async def publish_once() -> bool:
            for host in list(self.hosts.values()):
                answer = await host.publish(version, b"%d" % version, _TIMEOUT_MS)
                if answer.is_ok():
                    return True
            return False

        await wait_until(publish_once, f"version {version} is acknowledged")

    async def read(self) -> bytes:
        """Read the newest document through any controller."""
        documents: list[bytes] = []

        async def read_once() -> bool:
            for host in list(self.hosts.values()):
                answer = await host.newest(_TIMEOUT_MS)
                if answer.is_ok():
                    documents.append(answer.ok.document)
                    return True
            return False

        await wait_until(read_once, "the newest is read")
        return documents[0]

    def leader(self) -> int:
        """Return the port of the leader, or 0."""
        leaders = [port for port, host in self.hosts.items() if host.is_leading]
        return leaders[0] if leaders else 0

    def members(self) -> set[int]:
        """Return the ports of the voters as reported by the leader."""
        host = self.hosts.get(self.leader())
        return set() if host is None else {int(one.rpartition(":")[2]) for one in host.members}

    async def stop(self) -> None:
        """Stop all controllers."""
        for port in list(self.hosts):
            await self.kill(port)


async def wait_until(condition: Callable[[], Awaitable[Any]], description: str) -> None:
    """Wait for *condition*; fail if it is not met in time."""
    deadline = asyncio.get_running_loop().time() + _WAIT_S
    while asyncio.get_running_loop().time() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not within {_WAIT_S} s: {description}")


def run_scenario(folder: Path, scenario: Callable[[ControllerGroup], Awaitable[None]]) -> None:
    """Found a group of three and run *scenario* on it."""

    async def run() -> None:
        group = ControllerGroup(folder)
        try:
            await group.start_all(is_first_start=True)
            await group.publish(1)
            await scenario(group)
        finally:
            await group.stop()

    asyncio.run(run())


async def wait_for_members(group: ControllerGroup, ports: set[int]) -> None:
    """Wait until exactly *ports* are voters."""

    async def has_members() -> bool:
        return group.members() == ports

    await wait_until(has_members, f"members {ports}, now {group.members()}")


class TestPublishing:
    """Acknowledged documents are kept."""

    def test_highest_version_holds(self, tmp_path: Path) -> None:
        """A version that is not newer is acknowledged and has no effect."""

        async def scenario(group: ControllerGroup) -> None:
            await group.publish(7)
            await group.publish(3)
            assert await group.read() == b"7"

        run_scenario(tmp_path, scenario)

    def test_all_killed(self, tmp_path: Path) -> None:
        """An acknowledged document survives a kill of all controllers."""

        async def scenario(group: ControllerGroup) -> None:
            await group.publish(5)
            for port in group.ports:
                await group.kill(port)
            await group.start_all()
            assert await group.read() == b"5"

        run_scenario(tmp_path, scenario)

    def test_wiped_then_another_lost(self, tmp_path: Path) -> None:
        """A wiped controller does not vote; acknowledged data is read once both others are back."""

        async def scenario(group: ControllerGroup) -> None:
            wiped, behind = group.leader(), next(p for p in group.ports if p != group.leader())
            await group.kill(behind)
            await group.publish(9)
            await group.kill(wiped)
            group.wipe(wiped)
            kept = next(port for port in group.ports if port not in (wiped, behind))
            await group.kill(kept)
            await group.start(wiped)
            await group.start(behind)
            await asyncio.sleep(2.5)
            assert group.leader() == 0
            await group.start(kept)
            assert await group.read() == b"9"
            await wait_for_members(group, set(group.ports))

        run_scenario(tmp_path, scenario)


class TestReplacing:
    """Controllers that fail permanently."""

    @pytest.mark.parametrize("is_leader", [True, False])
    def test_another_address(self, tmp_path: Path, is_leader: bool) -> None:
        """A new controller at another address replaces a failed one."""

        async def scenario(group: ControllerGroup) -> None:
            leader = group.leader()
            gone = leader if is_leader else next(p for p in group.ports if p != leader)
            fresh = free_port()
            await group.kill(gone)
            await group.start(fresh)
            expected = {*group.ports, fresh} - {gone}
            await wait_for_members(group, expected)
            await group.publish(4)
            # The new controller is a voter: another one may fail now.
            await group.kill(next(port for port in group.ports if port != gone))
            await group.publish(6)
            assert await group.read() == b"6"

        run_scenario(tmp_path, scenario)

    def test_replaced_one_comes_back(self, tmp_path: Path) -> None:
        """A controller that was replaced in its absence becomes a standby."""

        async def scenario(group: ControllerGroup) -> None:
            away = next(port for port in group.ports if port != group.leader())
            fresh = free_port()
            await group.kill(away)
            await group.start(fresh)
            expected = {*group.ports, fresh} - {away}
            await wait_for_members(group, expected)
            await group.start(away)
            await group.publish(8)
            await asyncio.sleep(1.5)
            assert group.members() == expected
            assert await group.read() == b"8"
            # As a standby it can become a voter again.
            await group.kill(fresh)
            await wait_for_members(group, set(group.ports))

        run_scenario(tmp_path, scenario)

    def test_additional_controller_is_standby(self, tmp_path: Path) -> None:
        """A controller added while all voters respond does not become a voter."""

        async def scenario(group: ControllerGroup) -> None:
            await group.start(free_port())
            await asyncio.sleep(1.5)
            assert group.members() == set(group.ports)

        run_scenario(tmp_path, scenario)


class FullDisks:
    """Data folders whose writes fail for lack of space.

    Args:
        monkeypatch: Installs the failure.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folders: set[Path] = set()
        self.refused = 0
        write = LogStorage._write

        def write_or_refuse(storage: LogStorage, data: bytes) -> None:
            if storage._folder in self.folders:
                self.refused += 1
                # A full disk leaves the first part of a record.
                write(storage, data[: len(data) // 2])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            write(storage, data)

        monkeypatch.setattr(LogStorage, "_write", write_or_refuse)

    async def fill(self, group: ControllerGroup, port: int) -> None:
        """Keep the disk of the controller at *port* full until a write fails."""
        folder = group.folder_of(port)
        self.folders.add(folder)
        version = 20
        async with asyncio.timeout(_WAIT_S):
            while not self.refused:
                version += 1
                await group.publish(version)
        await asyncio.sleep(0.5)
        self.folders.discard(folder)


class TestFullDisk:
    """A disk that temporarily rejects writes."""

    @pytest.mark.parametrize("is_leader", [True, False])
    def test_voter_after_disk_recovers(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_leader: bool
    ) -> None:
        """Once its disk is writable again, the controller is a voter: another one may fail."""
        disks = FullDisks(monkeypatch)

        async def scenario(group: ControllerGroup) -> None:
            leader = group.leader()
            full = leader if is_leader else next(p for p in group.ports if p != leader)
            await disks.fill(group, full)
            await group.kill(next(port for port in group.ports if port != full))
            await group.publish(90)
            assert await group.read() == b"90"

        run_scenario(tmp_path, scenario)

    def test_another_replaced_afterwards(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """With a second controller replaced by an empty one, changes are still acknowledged."""
        disks = FullDisks(monkeypatch)

        async def scenario(group: ControllerGroup) -> None:
            full, gone = [port for port in group.ports if port != group.leader()]
            await disks.fill(group, full)
            await group.kill(gone)
            fresh = free_port()
            await group.start(fresh)
            await group.publish(90)
            await wait_for_members(group, {*group.ports, fresh} - {gone})
            assert await group.read() == b"90"

        run_scenario(tmp_path, scenario)


async def seconds_until_leader(group: ControllerGroup) -> float:
    """Wait until there is a leader; return the duration."""
    started_s = asyncio.get_running_loop().time()

    async def has_leader() -> bool:
        return group.leader() != 0

    await wait_until(has_leader, "another leads")
    return asyncio.get_running_loop().time() - started_s


class TestHandover:
    """A planned stop of the leader."""

    def test_another_leads_at_once(self, tmp_path: Path) -> None:
        """Another controller becomes leader before an election timeout has passed."""

        async def scenario(group: ControllerGroup) -> None:
            leader = group.leader()
            host = group.hosts.pop(leader)
            stopping = asyncio.create_task(host.stop())
            assert await seconds_until_leader(group) < 0.5
            await stopping
            await group.publish(2)

        run_scenario(tmp_path, scenario)

    def test_handover_with_entry_in_flight(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The leader waits for its newest entry to reach another controller before it stops."""
        sync = LogStorage.sync

        def sync_slowly(storage: LogStorage) -> None:
            time.sleep(_SLOW_SYNC_S)
            sync(storage)

        async def scenario(group: ControllerGroup) -> None:
            leader = group.leader()
            host = group.hosts.pop(leader)
            monkeypatch.setattr(LogStorage, "sync", sync_slowly)
            publishing = asyncio.create_task(host.publish(2, b"2", _TIMEOUT_MS))
            await asyncio.sleep(_SLOW_SYNC_S / 2)
            stopping = asyncio.create_task(host.stop())
            assert await seconds_until_leader(group) < 0.5
            await asyncio.gather(publishing, stopping)
            assert await group.read() == b"2"

        run_scenario(tmp_path, scenario)
