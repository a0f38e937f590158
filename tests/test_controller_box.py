# SPDX-License-Identifier: MIT
"""Reports at a controller without a configuration, and disk writes of a stopped controller.

Guards against a writer thread that outlives its controller and changes the data folder.
"""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from pathlib import Path
from threading import Event

import pytest

from cluster import free_port
from foldloom.controllers import compaction, storage
from foldloom.controllers.state import Publication
from foldloom.controllers.storage import write_atomically
from foldloom.seed_discovery.controller_box import ControllerHost
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet import cache
from foldloom.seed_discovery.fleet.cache import PublicationCache
from foldloom.seed_discovery.jobs.spec import Demand
from test_boxes_controllers import ControllerGroup, box_settings, run_scenario, wait_until

_UNREACHABLE_SEEDS = ["127.0.0.1:1"]
# Duration of a slow write, and of the wait for one that outlives its controller.
_WRITE_S = 0.3
_OBSERVATION_S = 2 * _WRITE_S
# Within which a controller must stop whose disk blocks.
_STOP_S = 3.0


def _write_slowly(path: Path, data: bytes, fsync: Callable[[int], None]) -> None:
    time.sleep(_WRITE_S)
    write_atomically(path, data, fsync)


def _contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def _host(folder: Path, is_first_start: bool) -> ControllerHost:
    return ControllerHost(
        box_settings(free_port(), _UNREACHABLE_SEEDS, "controller", folder), is_first_start
    )


class TestReports:
    """Endpoint reports at a controller without a configuration."""

    @pytest.mark.parametrize("is_first_start", [True, False])
    def test_accepted_reports(self, tmp_path: Path, is_first_start: bool) -> None:
        """All are accepted at the first start, none after a loss of the configuration."""
        report = EndpointRecord("w1", "svc", "127.0.0.1:9", "a", Demand())
        host = _host(tmp_path, is_first_start)
        assert asyncio.run(host.handle_report(report)) is is_first_start


class TestEnd:
    """A stopped controller writes nothing to its data folder."""

    def test_nothing_is_written_afterwards(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Stopping waits for a pending write of the configuration cache."""
        monkeypatch.setattr(cache, "write_atomically", _write_slowly)

        async def scenario(core: ControllerGroup) -> None:
            await core.publish(9)
            for port in core.ports:
                await core.kill(port)
            contents_at_stop = [_contents(core.folder_of(port)) for port in core.ports]
            await asyncio.sleep(_OBSERVATION_S)
            assert [_contents(core.folder_of(port)) for port in core.ports] == contents_at_stop

        run_scenario(tmp_path, scenario)

    def test_no_snapshot_is_written_afterwards(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Stopping waits for a pending snapshot of the replicated log."""
        monkeypatch.setattr(compaction, "_SNAPSHOT_ENTRIES", 1)
        started: list[Path] = []

        def write(path: Path, data: bytes, fsync: Callable[[int], None]) -> None:
            started.append(path)
            _write_slowly(path, data, fsync)

        async def has_started() -> bool:
            return bool(started)

        async def scenario(core: ControllerGroup) -> None:
            monkeypatch.setattr(storage, "write_atomically", write)
            await core.publish(9)
            await wait_until(has_started, "a snapshot is being written")
            for port in core.ports:
                await core.kill(port)
            contents_at_stop = [_contents(core.folder_of(port)) for port in core.ports]
            await asyncio.sleep(_OBSERVATION_S)
            assert [_contents(core.folder_of(port)) for port in core.ports] == contents_at_stop

        run_scenario(tmp_path, scenario)

    def test_the_newest_is_kept(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """Closing the cache also writes a publication queued behind the current write."""
        monkeypatch.setattr(cache, "write_atomically", _write_slowly)

        async def write() -> None:
            written = PublicationCache(str(tmp_path))
            written.write_soon(Publication(1, b"1"))
            await asyncio.sleep(0)
            written.write_soon(Publication(2, b"2"))
            await written.close()

        asyncio.run(write())
        assert PublicationCache(str(tmp_path)).read().version == 2


class TestBlockedCache:
    """A write of the configuration cache that blocks until after its controller's end."""

    def test_the_next_file_is_kept(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """The write that was given up does not replace the file of the folder's next user."""
        is_unblocked = Event()

        def write(path: Path, data: bytes, fsync: Callable[[int], None]) -> None:
            is_unblocked.wait()
            write_atomically(path, data, fsync)

        async def write_in_turn() -> None:
            first = PublicationCache(str(tmp_path))
            monkeypatch.setattr(cache, "write_atomically", write)
            first.write_soon(Publication(1, b"1"))
            await asyncio.sleep(0)
            first.write_soon(Publication(2, b"2"))
            await first.close()
            monkeypatch.setattr(cache, "write_atomically", write_atomically)
            second = PublicationCache(str(tmp_path))
            second.write_soon(Publication(3, b"3"))
            await asyncio.sleep(_WRITE_S)
            assert second.read().version == 0
            is_unblocked.set()
            await second.close()
            await asyncio.sleep(_OBSERVATION_S)

        asyncio.run(write_in_turn())
        assert PublicationCache(str(tmp_path)).read().version == 3

    def test_nothing_is_written_after_the_end(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Without a next user, the file stays as it was when the write was given up."""
        is_unblocked = Event()

        def write(path: Path, data: bytes, fsync: Callable[[int], None]) -> None:
            is_unblocked.wait()
            write_atomically(path, data, fsync)

        async def give_up() -> None:
            given_up = PublicationCache(str(tmp_path))
            given_up.write_soon(Publication(1, b"1"))
            await asyncio.sleep(0)
            await given_up.close()
            is_unblocked.set()
            await asyncio.sleep(_OBSERVATION_S)

        monkeypatch.setattr(cache, "write_atomically", write)
        asyncio.run(give_up())
        assert PublicationCache(str(tmp_path)).read().version == 0


class TestBlockedLog:
    """A write of the replicated log that blocks until after its controller's end."""

    def test_the_folder_is_not_shared(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The stop gives the write up; the folder is refused until that write has ended."""
        monkeypatch.setattr(compaction, "_SNAPSHOT_ENTRIES", 1)
        is_started = Event()
        is_unblocked = Event()

        async def scenario(core: ControllerGroup) -> None:
            port = core.ports[0]

            def write(path: Path, data: bytes, fsync: Callable[[int], None]) -> None:
                if path.parent == core.folder_of(port):
                    is_started.set()
                    is_unblocked.wait()
                write_atomically(path, data, fsync)

            async def has_started() -> bool:
                return is_started.is_set()

            monkeypatch.setattr(storage, "write_atomically", write)
            await core.publish(9)
            await wait_until(has_started, "a snapshot is being written")
            try:
                async with asyncio.timeout(_STOP_S):
                    await core.kill(port)
                with pytest.raises(OSError, match="still in progress") as refusal:
                    await core.start(port)
                assert refusal.value.errno == errno.EBUSY
            finally:
                is_unblocked.set()
            await asyncio.sleep(_WRITE_S)
            await core.start(port)
            await core.read()

        run_scenario(tmp_path, scenario)
