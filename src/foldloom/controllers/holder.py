# SPDX-License-Identifier: MIT
"""The configuration in effect on this box; its version never decreases.

Owns the current configuration and its cached copy on disk, if there is a disk. Newer versions come
from the local controller or are pulled from peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import msgspec

from foldloom.controllers.config import Config, apply_changes, decode_config, encode_config
from foldloom.controllers.messages import ConfigPull, ConfigReply
from foldloom.controllers.state import CHANGE_SETS_RETAINED_MAX, ChangeSet
from foldloom.controllers.storage import write_atomically
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import CONFIG_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.tasks import TaskSet
from foldloom.time_limits import SuspendAwareTimeout

_CACHE_NAME = "config-in-force"
# Timeout of a pull; allows for a few hundred kilobytes on a slow link.
_PULL_TIMEOUT_MS = 1_000


class ConfigStore:
    """Holds the newest confirmed configuration seen by this box.

    Args:
        network: The peers.
        initial: Version 0.
        cache_folder: Folder for a copy that survives a restart; empty for a box without a disk.
    """

    def __init__(self, network: PeerNetwork, initial: Config, cache_folder: str = "") -> None:
        self._network = network
        self._config = initial
        self._cache = Path(cache_folder) / _CACHE_NAME if cache_folder else None
        self._change_sets: list[ChangeSet] = []
        self._version_changed = asyncio.Event()
        self._is_pulling = False
        self._tasks = TaskSet()
        self._read_cache()
        network.on(ConfigPull, self._on_pull)

    @property
    def config(self) -> Config:
        """The configuration in effect."""
        return self._config

    def adopt(self, config: Config, change_sets: Sequence[ChangeSet] = ()) -> None:
        """Adopt *config* if it is newer; *change_sets* are the known changes up to it."""
        if config.version <= self._config.version:
            return
        if not change_sets or change_sets[0].version != self._config.version + 1:
            self._change_sets.clear()
        self._change_sets.extend(change_sets)
        del self._change_sets[:-CHANGE_SETS_RETAINED_MAX]
        self._config = config
        CONFIG_LOG.info("Configuration version {} is in effect.", config.version)
        self._write_cache()
        self._version_changed.set()

    async def wait_version(self, version: int, timeout_s: float) -> bool:
        """Return whether *version* or a later one takes effect here within *timeout_s*."""
        try:
            async with SuspendAwareTimeout(timeout_s * 1_000):
                while self._config.version < version:
                    self._version_changed.clear()
                    await self._version_changed.wait()
        except TimeoutError:
            # The caller reports that its answer may be outdated.
            return False
        return True

    def pull_if_newer(self, box: str, version: int) -> None:
        """Pull from *box* if its version is newer."""
        if version <= self._config.version or self._is_pulling:
            return
        self._is_pulling = True
        self._tasks.spawn(self._pull(box))

    async def _pull(self, box: str) -> None:
        known_version = self._config.version
        try:
            reply: ConfigReply = await self._network.request(
                box, ConfigPull(known_version), _PULL_TIMEOUT_MS
            )
        except PeerUnreachableError:
            # The next heartbeat with a newer version starts another pull.
            return
        finally:
            self._is_pulling = False
        if reply.config:
            self.adopt(decode_config(reply.config))
            return
        if known_version != self._config.version:
            return
        config = self._config
        for change_set in reply.change_sets:
            config = apply_changes(config, change_set.changes, change_set.version)
        self.adopt(config, reply.change_sets)

    def _on_pull(self, _sender: str, message: ConfigPull) -> ConfigReply:
        missing = [known for known in self._change_sets if known.version > message.have]
        is_complete = len(missing) == self._config.version - message.have
        # Version 0 depends on each box's settings, so changes can't be applied to it.
        if missing and is_complete and message.have:
            return ConfigReply(missing, b"")
        return ConfigReply([], encode_config(self._config))

    def _read_cache(self) -> None:
        if self._cache is None or not self._cache.exists():
            return
        try:
            cached = decode_config(self._cache.read_bytes())
        except msgspec.DecodeError:
            CONFIG_LOG.warning("Ignoring the cached configuration: it can't be decoded.")
            return
        if cached.version > self._config.version:
            self._config = cached

    def _write_cache(self) -> None:
        if self._cache is None:
            return
        try:
            write_atomically(self._cache, encode_config(self._config), lambda _fd: None)
        except OSError as error:
            CONFIG_LOG.warning("Writing the configuration cache failed: {}.", error)
